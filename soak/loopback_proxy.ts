/** A TCP proxy on the loopback address that harms what passes through it. */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** What happens to connections while the fault lasts. */
export type LinkFault =
  | "none"
  | "delay"
  /** Open connections are reset, and new ones at once. */
  | "reset"
  /** Open connections fall silent for good; new ones hang until the end. */
  | "silence"
  /** What the target sends is lost; open connections stay so for good. */
  | "one_way";

const DELAY_MILLISECONDS = 120;

interface _Link {
  readonly caller: Socket;
  readonly target: Socket;
  fault: LinkFault;
}

/** A running proxy. */
export class LoopbackProxy {
  readonly #target: () => string;
  readonly #server: Server;
  readonly #links = new Set<_Link>();
  #fault: LinkFault = "none";

  constructor(target: () => string) {
    this.#target = target;
    this.#server = createServer(
      { allowHalfOpen: true },
      (caller) => this.#accept(caller),
    );
  }

  async start(): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.#server.close();
    for (const link of this.#links) this.#reset(link);
  }

  setFault(fault: LinkFault): void {
    this.#fault = fault;
    for (const link of [...this.#links]) {
      if (fault === "reset") this.#reset(link);
      // A connection that fell silent stays silent when the fault is over.
      const isDead = link.fault === "silence" || link.fault === "one_way";
      if (!isDead) link.fault = fault;
    }
  }

  #reset({ caller, target }: _Link): void {
    caller.resetAndDestroy();
    target.resetAndDestroy();
  }

  #accept(caller: Socket): void {
    if (this.#fault === "reset") return void caller.resetAndDestroy();
    const [host = "", port = ""] = this.#target().split(":");
    const target = connect({ host, port: Number(port), allowHalfOpen: true });
    const link: _Link = { caller, target, fault: this.#fault };
    this.#links.add(link);
    this.#pipe(link, caller, target, false);
    this.#pipe(link, target, caller, true);
  }

  #pipe(link: _Link, from: Socket, to: Socket, isAnswer: boolean): void {
    from.on("data", (chunk: Buffer) => {
      if (link.fault === "silence") return;
      if (link.fault === "one_way" && isAnswer) return;
      if (link.fault !== "delay") return void to.write(chunk);
      setTimeout(() => to.write(chunk), DELAY_MILLISECONDS);
    });
    from.on("end", () => {
      const wait = link.fault === "delay" ? DELAY_MILLISECONDS : 0;
      if (link.fault !== "silence") setTimeout(() => to.end(), wait);
    });
    // An error of one side is passed on as a reset of the other.
    from.on("error", () => to.resetAndDestroy());
    from.on("close", () => {
      this.#links.delete(link);
      if (link.fault !== "silence" && !to.destroyed) to.end();
    });
  }
}
