/** A TCP proxy on the loopback address that injects faults into connections. */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** How the proxy treats connections while the fault is set. */
export type LinkFault =
  | "none"
  | "delay"
  /** Resets open connections, and new ones as they arrive. */
  | "reset"
  /** Drops all data; affected connections stay silent after the fault ends. */
  | "silence"
  /** Drops data from the target; affected connections never recover either. */
  | "one_way";

const DELAY_MILLISECONDS = 120;

interface _Link {
  readonly client: Socket;
  readonly target: Socket;
  fault: LinkFault;
}

/** Forwards connections to a target and applies the current fault. */
export class LoopbackProxy {
  readonly #target: () => string;
  readonly #server: Server;
  readonly #links = new Set<_Link>();
  #fault: LinkFault = "none";

  constructor(target: () => string) {
    this.#target = target;
    this.#server = createServer(
      { allowHalfOpen: true },
      (client) => this.#accept(client),
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
      // A connection that has lost data does not recover when the fault ends.
      const losesData = link.fault === "silence" || link.fault === "one_way";
      if (!losesData) link.fault = fault;
    }
  }

  #reset({ client, target }: _Link): void {
    client.resetAndDestroy();
    target.resetAndDestroy();
  }

  #accept(client: Socket): void {
    if (this.#fault === "reset") return void client.resetAndDestroy();
    const [host = "", port = ""] = this.#target().split(":");
    const target = connect({ host, port: Number(port), allowHalfOpen: true });
    const link: _Link = { client, target, fault: this.#fault };
    this.#links.add(link);
    this.#pipe(link, client, target, false);
    this.#pipe(link, target, client, true);
  }

  #pipe(link: _Link, from: Socket, to: Socket, isFromTarget: boolean): void {
    from.on("data", (chunk: Buffer) => {
      if (link.fault === "silence") return;
      if (link.fault === "one_way" && isFromTarget) return;
      if (link.fault !== "delay") return void to.write(chunk);
      setTimeout(() => to.write(chunk), DELAY_MILLISECONDS);
    });
    from.on("end", () => {
      const delay = link.fault === "delay" ? DELAY_MILLISECONDS : 0;
      if (link.fault !== "silence") setTimeout(() => to.end(), delay);
    });
    // An error on one side resets the other side.
    from.on("error", () => to.resetAndDestroy());
    from.on("close", () => {
      this.#links.delete(link);
      if (link.fault !== "silence" && !to.destroyed) to.end();
    });
  }
}
