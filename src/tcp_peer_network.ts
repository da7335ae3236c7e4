/**
 * The peer network over TCP. Connections are opened on demand, kept open and used
 * by both sides.
 */
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { err, ok, type Result } from "neverthrow";
import {
  type ApplicationError,
  createError,
  ERROR_RESPONSES,
  type ErrorKind,
} from "./core/errors.ts";
import { brandId, type SocketAddress } from "./core/ids.ts";
import type { Frame } from "./frame_codec.ts";
import {
  type Keepalive,
  KEEPALIVE_KIND,
  startKeepalive,
} from "./peer_keepalive.ts";
import { dialPeer } from "./peer_dial.ts";
import {
  createPeerConnection,
  type PeerConnection,
} from "./peer_connection.ts";
import {
  type PeerCounters,
  type PeerHandler,
  type PeerIdentity,
  type PeerMessageKind,
  PeerNetwork,
} from "./peer_network.ts";
import { PeerTraffic } from "./peer_traffic.ts";
import { PendingRequests } from "./pending_requests.ts";

/** No new connection to a peer is tried for this long after a failed one. */
const REDIAL_DELAY_MILLISECONDS = 200;
const MAXIMUM_WAITING_MESSAGES = 256;

/** Options of {@link createTcpPeerNetwork}. */
export interface TcpPeerNetworkOptions {
  readonly host: string;
  readonly port: number;
  readonly fleetKey: string;
  readonly identity: Omit<PeerIdentity, "address">;
}

interface _WaitingMessage {
  readonly kind: PeerMessageKind;
  readonly correlation: number;
  readonly body: unknown;
}

interface _Link {
  connection: PeerConnection | undefined;
  waiting: _WaitingMessage[];
  dialing: boolean;
  nextDialAt: number;
}

function _toError(body: unknown): ApplicationError {
  const candidate = body as { error?: ApplicationError };
  const kind: ErrorKind =
    candidate.error && candidate.error.kind in ERROR_RESPONSES
      ? candidate.error.kind
      : "internal";
  return createError(kind, String(candidate.error?.detail ?? ""));
}

class _TcpPeerNetwork extends PeerNetwork {
  readonly #options: TcpPeerNetworkOptions;
  readonly #handlers = new Map<string, PeerHandler>();
  readonly #links = new Map<string, _Link>();
  readonly #connections = new Set<PeerConnection>();
  readonly #pending = new PendingRequests();
  readonly #traffic = new PeerTraffic();
  readonly #generationListeners:
    ((generation: number, from: PeerIdentity) => void)[] = [];
  #server: Server | undefined;
  #address = brandId<SocketAddress>("");
  #generation = 0;
  #stopped = false;
  #rejectedConnections = 0;
  #keepalive: Keepalive | undefined;

  constructor(options: TcpPeerNetworkOptions) {
    super();
    this.#options = options;
    this.handle(KEEPALIVE_KIND, () => ({}));
  }

  override async start(): Promise<SocketAddress> {
    const server = createServer((socket) => this.#addSocket(socket, false));
    this.#server = server;
    this.#keepalive = startKeepalive({
      connections: this.#connections,
      nextCorrelation: () => this.#pending.nextCorrelation(),
    });
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(this.#options.port, this.#options.host, () => {
        server.off("error", reject);
        // A connection that cannot be accepted is dialled again by its peer.
        server.on("error", () => this.#rejectedConnections++);
        resolve();
      });
    });
    const { port } = server.address() as AddressInfo;
    this.#address = brandId<SocketAddress>(`${this.#options.host}:${port}`);
    return this.#address;
  }

  override async stop(): Promise<void> {
    this.#stopped = true;
    this.#keepalive?.stop();
    const reason = createError("stopping", "the router is stopping");
    for (const connection of [...this.#connections]) connection.close(reason);
    this.#pending.settleAll("the router is stopping");
    await new Promise<void>((resolve) => {
      if (this.#server) this.#server.close(() => resolve());
      else resolve();
    });
  }

  override send(to: SocketAddress, kind: PeerMessageKind, body: unknown): void {
    this.#deliver(to, { kind, correlation: 0, body });
  }

  override request(
    to: SocketAddress,
    kind: PeerMessageKind,
    body: unknown,
    timeoutMilliseconds: number,
  ): Promise<Result<unknown, ApplicationError>> {
    if (this.#stopped) {
      return Promise.resolve(
        err(createError("peer_unreachable", "the peer network is stopped")),
      );
    }
    return new Promise((resolve) => {
      const correlation = this.#pending.add(resolve, to, timeoutMilliseconds);
      this.#deliver(to, { kind, correlation, body });
    });
  }

  override reset(to: SocketAddress): void {
    this.#links.get(to)?.connection?.close(
      createError("peer_unreachable", "the peer stopped responding"),
    );
  }

  override handle(kind: PeerMessageKind, handler: PeerHandler): void {
    this.#handlers.set(kind, handler);
  }

  override onGeneration(
    listener: (generation: number, from: PeerIdentity) => void,
  ): void {
    this.#generationListeners.push(listener);
  }

  override setGeneration(generation: number): void {
    this.#generation = generation;
  }

  override counters(): Readonly<PeerCounters> {
    return this.#traffic.counters;
  }

  override describe(): unknown {
    return {
      address: this.#address,
      connections: [...this.#connections].map((connection) =>
        connection.identity()?.host
      ),
      pendingRequests: this.#pending.size(),
      rejectedConnections: this.#rejectedConnections,
      ...this.#traffic.counters,
      byKind: this.#traffic.byKind(),
      silentConnections: this.#keepalive?.silentConnections() ?? 0,
    };
  }

  #link(to: SocketAddress): _Link {
    let link = this.#links.get(to);
    if (!link) {
      link = {
        connection: undefined,
        waiting: [],
        dialing: false,
        nextDialAt: 0,
      };
      this.#links.set(to, link);
    }
    return link;
  }

  #deliver(to: SocketAddress, message: _WaitingMessage): void {
    if (this.#stopped) return;
    const link = this.#link(to);
    if (link.connection) {
      this.#write(link.connection, message);
      return;
    }
    const refused = !link.dialing && performance.now() < link.nextDialAt;
    if (refused || link.waiting.length >= MAXIMUM_WAITING_MESSAGES) {
      this.#pending.settle(
        message.correlation,
        err(createError("peer_unreachable", to)),
      );
      return;
    }
    link.waiting.push(message);
    if (!link.dialing) this.#dial(to, link);
  }

  #write(connection: PeerConnection, message: _WaitingMessage): void {
    const { correlation } = message;
    if (
      correlation !== 0 && !this.#pending.markWritten(correlation, connection)
    ) {
      return;
    }
    if (
      !connection.send(message.kind, message.correlation, false, message.body)
    ) {
      this.#pending.settle(
        message.correlation,
        err(createError("peer_unreachable", "the connection is not writable")),
      );
    }
  }

  #dial(to: SocketAddress, link: _Link): void {
    link.dialing = true;
    dialPeer(to, {
      onConnected: (socket) => this.#addSocket(socket, true, to),
      onFailed: () => this.#onDialFailure(to),
    });
  }

  #onDialFailure(to: SocketAddress): void {
    const link = this.#link(to);
    if (link.connection) return;
    link.dialing = false;
    link.nextDialAt = performance.now() + REDIAL_DELAY_MILLISECONDS;
    const waiting = link.waiting;
    link.waiting = [];
    for (const message of waiting) {
      this.#pending.settle(
        message.correlation,
        err(createError("peer_unreachable", to)),
      );
    }
  }

  #addSocket(socket: Socket, isInitiator: boolean, to?: SocketAddress): void {
    const connection = createPeerConnection({
      socket,
      isInitiator,
      self: { ...this.#options.identity, address: this.#address },
      fleetKey: this.#options.fleetKey,
      traffic: this.#traffic,
      generation: () => this.#generation,
      onFrame: (frame, source) => this.#receive(frame, source),
      onReady: (ready) => this.#onReady(ready, to),
      onClose: (reason, closed) => this.#onClose(reason, closed, to),
    });
    this.#connections.add(connection);
  }

  #onReady(connection: PeerConnection, to: SocketAddress | undefined): void {
    const key = to ?? connection.identity()?.address;
    if (!key) return;
    const link = this.#link(key);
    if (link.connection && !to) return;
    link.connection = connection;
    link.dialing = false;
    const waiting = link.waiting;
    link.waiting = [];
    for (const message of waiting) this.#write(connection, message);
  }

  #onClose(
    reason: ApplicationError,
    connection: PeerConnection,
    to: SocketAddress | undefined,
  ): void {
    this.#connections.delete(connection);
    if (reason.kind !== "peer_unreachable" && reason.kind !== "stopping") {
      this.#rejectedConnections++;
    }
    for (const [key, link] of this.#links) {
      if (link.connection === connection) this.#links.delete(key);
    }
    if (to) this.#onDialFailure(to);
    this.#pending.settleAll(reason.detail, connection);
  }

  #receive(frame: Frame, connection: PeerConnection): void {
    const from = connection.identity();
    if (!from) return;
    for (const listener of this.#generationListeners) listener(frame.g, from);
    if (frame.r) {
      const failed = frame.k === "error";
      this.#pending.settle(
        frame.i,
        failed ? err(_toError(frame.b)) : ok(frame.b),
      );
      return;
    }
    void this.#dispatch(frame, from, connection);
  }

  async #dispatch(
    frame: Frame,
    from: PeerIdentity,
    connection: PeerConnection,
  ): Promise<void> {
    const handler = this.#handlers.get(frame.k);
    try {
      const reply = handler ? await handler(frame.b, from) : undefined;
      if (frame.i === 0) return;
      if (handler) connection.send(frame.k, frame.i, true, reply);
      else this.#reject(connection, frame, createError("not_found", frame.k));
    } catch (cause) {
      if (frame.i !== 0) {
        this.#reject(connection, frame, createError("internal", String(cause)));
      }
    }
  }

  #reject(
    connection: PeerConnection,
    frame: Frame,
    error: ApplicationError,
  ): void {
    connection.send("error", frame.i, true, { error });
  }
}

/** Creates the TCP peer network of one router. */
export function createTcpPeerNetwork(
  options: TcpPeerNetworkOptions,
): PeerNetwork {
  return new _TcpPeerNetwork(options);
}
