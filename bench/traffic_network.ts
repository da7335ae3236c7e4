/**
 * In-memory network in simulated time. Every message passes through the frame
 * codec and counts at its sender and at its receiver.
 */
import { err, ok, type Result } from "neverthrow";
import { type ApplicationError, createError } from "../src/core/errors.ts";
import type { SocketAddress } from "../src/core/ids.ts";
import {
  createFrameReader,
  encodeFrame,
  FRAME_VERSION,
} from "../src/frame_codec.ts";
import {
  type PeerHandler,
  type PeerIdentity,
  type PeerMessageKind,
} from "../src/peer_network.ts";
import { PeerTraffic } from "../src/peer_traffic.ts";
import type { Clock } from "../src/timer_service.ts";
import { SimulatedTimers } from "./simulated_time.ts";
import { StandInPeerNetwork } from "../stand_ins/stand_in_peer_network.ts";

const LATENCY_MILLISECONDS = 1;
/** IP and TCP headers of a message that is sent in its own segment. */
const TCP_OVERHEAD_BYTES = 60;

/** Simulated time that advances in steps of one millisecond. */
export class TrafficTime {
  now = 0;
  readonly #due = new Map<number, (() => void)[]>();
  readonly clock: Clock = {
    monotonicMilliseconds: () => this.now,
    wallMilliseconds: () => this.now,
  };

  after(delay: number, run: () => void): void {
    const at = this.now + Math.max(1, Math.round(delay));
    const list = this.#due.get(at);
    if (list) list.push(run);
    else this.#due.set(at, [run]);
  }

  timers(): SimulatedTimers {
    return new SimulatedTimers(
      this.clock,
      (delay, run) => this.after(delay, run),
    );
  }

  /** Advances time; pending promises run after each step with due callbacks. */
  async advance(milliseconds: number): Promise<void> {
    const end = this.now + milliseconds;
    while (this.now < end) {
      this.now++;
      const list = this.#due.get(this.now);
      if (!list) continue;
      this.#due.delete(this.now);
      for (const run of list) run();
      await new Promise(setImmediate);
    }
  }
}

/** Networks of all routers by address. */
export type TrafficPeers = Map<SocketAddress, SimulatedNetwork>;

/** Network of one simulated router. */
export class SimulatedNetwork extends StandInPeerNetwork {
  readonly traffic = new PeerTraffic();
  readonly #self: PeerIdentity;
  readonly #peers: TrafficPeers;
  readonly #time: TrafficTime;
  readonly #handlers = new Map<string, PeerHandler>();
  #nextCorrelation = 1;

  constructor(self: PeerIdentity, peers: TrafficPeers, time: TrafficTime) {
    super();
    this.#self = self;
    this.#peers = peers;
    this.#time = time;
    peers.set(self.address, this);
  }

  override start() {
    return Promise.resolve(this.#self.address);
  }

  override send(to: SocketAddress, kind: PeerMessageKind, body: unknown): void {
    void this.#transfer(to, kind, 0, body);
  }

  override request(
    to: SocketAddress,
    kind: PeerMessageKind,
    body: unknown,
    timeoutMilliseconds: number,
  ): Promise<Result<unknown, ApplicationError>> {
    return new Promise((resolve) => {
      void this.#transfer(to, kind, this.#nextCorrelation++, body, resolve);
      this.#time.after(
        timeoutMilliseconds,
        () => resolve(err(createError("outcome_unknown", "no reply"))),
      );
    });
  }

  override handle(kind: PeerMessageKind, handler: PeerHandler): void {
    this.#handlers.set(kind, handler);
  }

  override counters() {
    return this.traffic.counters;
  }

  override describe(): unknown {
    return this.traffic.byKind();
  }

  #transfer(
    to: SocketAddress,
    kind: PeerMessageKind,
    correlation: number,
    body: unknown,
    onReply?: (reply: Result<unknown, ApplicationError>) => void,
  ): void {
    const peer = this.#peers.get(to);
    if (!peer) return;
    const bytes = this.#encode(peer, kind, correlation, onReply === undefined, {
      body,
    });
    this.#time.after(LATENCY_MILLISECONDS, () => {
      void peer.#respond(this, kind, _decode(bytes), correlation, onReply);
    });
  }

  async #respond(
    from: SimulatedNetwork,
    kind: PeerMessageKind,
    body: unknown,
    correlation: number,
    onReply?: (reply: Result<unknown, ApplicationError>) => void,
  ): Promise<void> {
    const value = await this.#handlers.get(kind)?.(body, from.#self);
    if (!onReply) return;
    const bytes = this.#encode(from, kind, correlation, true, { body: value });
    this.#time.after(
      LATENCY_MILLISECONDS,
      () => onReply(ok(_decode(bytes))),
    );
  }

  #encode(
    peer: SimulatedNetwork,
    kind: PeerMessageKind,
    correlation: number,
    reply: boolean,
    { body }: { readonly body: unknown },
  ): Buffer {
    const bytes = encodeFrame({
      v: FRAME_VERSION,
      k: kind,
      i: correlation,
      r: reply && correlation !== 0,
      g: 1_000,
      b: body,
    })._unsafeUnwrap();
    this.traffic.recordSent(kind, bytes.length + TCP_OVERHEAD_BYTES);
    peer.traffic.recordReceived(kind, bytes.length + TCP_OVERHEAD_BYTES);
    return bytes;
  }
}

function _decode(bytes: Buffer): unknown {
  return createFrameReader().push(bytes)._unsafeUnwrap()[0]?.b;
}
