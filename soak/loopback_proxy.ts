/** A TCP proxy on the loopback address that injects faults into connections. */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** Fault that the proxy injects into its connections. */
export type LinkFault =
  | "none"
  | "delay"
  /** Resets open connections at once and new connections on arrival. */
  | "reset"
  /** Drops all data; affected connections stay silent after the fault ends. */
  | "silence"
  /** Drops data from the target, on affected connections until they close. */
  | "one_way";

const DELAY_MILLISECONDS = 120;

/** Runs actions in the order in which they were added, each after its delay. */
class _DelayQueue {
  readonly #actions: { readonly at: number; readonly run: () => void }[] = [];

  add(delayMilliseconds: number, run: () => void): void {
    if (delayMilliseconds === 0 && this.#actions.length === 0) return run();
    this.#actions.push({ at: performance.now() + delayMilliseconds, run });
    if (this.#actions.length === 1) this.#wait();
  }

  #wait(): void {
    const [next] = this.#actions;
    if (!next) return;
    setTimeout(() => {
      this.#actions.shift();
      next.run();
      this.#wait();
    }, Math.max(0, next.at - performance.now()));
  }
}

/**
 * Resets a socket. One that is being ended is closed instead: Node.js cannot reset
 * it and would keep its handle, and with it the process, for ever.
 */
function _reset(socket: Socket): void {
  if (socket.writableEnded || socket.destroyed) socket.destroy();
  else socket.resetAndDestroy();
}

interface _Link {
  readonly client: Socket;
  readonly target: Socket;
  fault: LinkFault;
}

/** Forwards connections to a target and injects the current fault. */
export class LoopbackProxy {
  readonly #target: () => string;
  readonly #server: Server;
  readonly #links = new Set<_Link>();
  /** Ports of clients whose newest connection reached the target. */
  readonly #reachedPorts = new Set<number>();
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

  /** Whether the newest connection from a client's port reached the target. */
  hasReachedTarget(clientPort: number): boolean {
    return this.#reachedPorts.has(clientPort);
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
    _reset(client);
    _reset(target);
  }

  #accept(client: Socket): void {
    // Without a port, the client has closed the connection already.
    const { remotePort } = client;
    if (remotePort !== undefined) this.#reachedPorts.delete(remotePort);
    if (this.#fault === "reset") return _reset(client);
    const [host = "", port = ""] = this.#target().split(":");
    const target = connect({ host, port: Number(port), allowHalfOpen: true });
    target.once("connect", () => {
      if (remotePort !== undefined) this.#reachedPorts.add(remotePort);
    });
    const link: _Link = { client, target, fault: this.#fault };
    this.#links.add(link);
    this.#pipe(link, client, target, false);
    this.#pipe(link, target, client, true);
  }

  #pipe(link: _Link, from: Socket, to: Socket, isFromTarget: boolean): void {
    const queue = new _DelayQueue();
    function add(run: () => void): void {
      queue.add(link.fault === "delay" ? DELAY_MILLISECONDS : 0, run);
    }
    function end(): void {
      if (!to.destroyed) to.end();
    }

    from.on("data", (chunk: Buffer) => {
      if (link.fault === "silence") return;
      if (link.fault === "one_way" && isFromTarget) return;
      add(() => void (to.destroyed || to.write(chunk)));
    });
    from.on("end", () => {
      if (link.fault !== "silence") add(end);
    });
    // An error on one side resets the other side.
    from.on("error", () => _reset(to));
    from.on("close", () => {
      // The silenced side of a link stays open until the proxy stops.
      if (to.destroyed) this.#links.delete(link);
      else if (link.fault !== "silence") add(end);
    });
  }
}
