/**
 * The messaging interface between routers: one-way messages, requests with a
 * reply, and a configuration generation on every frame. Tasks depend only on this
 * class, so that tests and benchmarks can substitute the network.
 */
import type { Result } from "neverthrow";
import type { ApplicationError } from "./core/errors.ts";
import type {
  DataCentreId,
  HostId,
  IncarnationId,
  SocketAddress,
} from "./core/ids.ts";

/**
 * Kinds of message that frames encode as their index in this list. A router of an
 * earlier release closes a connection on an index that it does not know, so new
 * kinds belong into {@link NAMED_MESSAGE_KINDS}.
 */
export const NUMBERED_MESSAGE_KINDS = [
  "membership.probe",
  "membership.probe_indirect",
  "membership.updates",
  "membership.sync",
  "configuration.announce",
  "configuration.fetch_head",
  "configuration.fetch_chunks",
  "load.report",
  "load.summary",
  "admission.request",
  "admission.release",
  "admission.renew",
  "admission.cancel",
  "chat.lookup",
  "chat.remember",
  "execution.run",
  "execution.outcome",
  "limits.renew",
  "backend.state",
  "hosts.listed",
  "network.keepalive",
  "gateway.report",
  "gateway.peers",
  "gateway.state",
  "gateway.registry",
  "gateway.configuration",
] as const;

/** Kinds of message that travel by name; a router that has no handler ignores them. */
export const NAMED_MESSAGE_KINDS = [
  "gateway.rate_limits",
  "gateway.leaving",
  "gateway.evacuations",
] as const;

/** Every kind of message between routers. */
export const PEER_MESSAGE_KINDS = [
  ...NUMBERED_MESSAGE_KINDS,
  ...NAMED_MESSAGE_KINDS,
] as const;

/** One of {@link PEER_MESSAGE_KINDS}. */
export type PeerMessageKind = typeof PEER_MESSAGE_KINDS[number];

/** The identity of a peer, authenticated by the handshake. */
export interface PeerIdentity {
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  readonly incarnation: IncarnationId;
  readonly address: SocketAddress;
}

/** Traffic between one router and its peers since it started. */
export interface PeerCounters {
  bytesSent: number;
  bytesReceived: number;
  messagesSent: number;
  messagesReceived: number;
}

/** Handles one kind of message; the returned value is the reply to a request. */
export type PeerHandler = (body: unknown, from: PeerIdentity) => unknown;

/** Sends messages to other routers and receives theirs. */
export abstract class PeerNetwork {
  /** Opens the listening socket and resolves with its address. */
  abstract start(): Promise<SocketAddress>;
  /** Closes all sockets. */
  abstract stop(): Promise<void>;
  /** Sends a message without waiting for a reply. It may be lost. */
  abstract send(to: SocketAddress, kind: PeerMessageKind, body: unknown): void;
  /**
   * Sends a request and waits for its reply. Fails with `peer_unreachable` when
   * no connection could be made (the frame was never written) and with
   * `outcome_unknown` when the frame was written but no reply arrived.
   */
  abstract request(
    to: SocketAddress,
    kind: PeerMessageKind,
    body: unknown,
    timeoutMilliseconds: number,
  ): Promise<Result<unknown, ApplicationError>>;
  /** Closes the connection to an unresponsive peer; the next message opens a new one. */
  reset(_to: SocketAddress): void {}
  /** Registers the handler of a message kind. */
  abstract handle(kind: PeerMessageKind, handler: PeerHandler): void;
  /** Calls the listener with the generation on every frame from a peer. */
  abstract onGeneration(
    listener: (generation: number, from: PeerIdentity) => void,
  ): void;
  /** Sets the generation on outgoing frames. */
  abstract setGeneration(generation: number): void;
  /** Returns the traffic counters. */
  abstract counters(): Readonly<PeerCounters>;
  /** Returns plain data for the state dump. */
  abstract describe(): unknown;
}
