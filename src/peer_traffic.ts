/** Counts the traffic between a router and its peers, in total and by message kind. */
import {
  PEER_MESSAGE_KINDS,
  type PeerCounters,
  type PeerMessageKind,
} from "./peer_network.ts";

/** Counts the handshake and kinds that this version does not know. */
const OTHER_KIND = "other";
const _knownKinds = new Set<string>(PEER_MESSAGE_KINDS);

/** Bytes and messages of one kind; replies count with their request's kind. */
export interface KindTraffic {
  bytesSent: number;
  bytesReceived: number;
  messagesSent: number;
  messagesReceived: number;
}

/** The traffic of one router since it started. */
export class PeerTraffic {
  readonly counters: PeerCounters = _emptyTraffic();
  readonly #byKind = new Map<string, KindTraffic>();

  /** Counts a frame sent to a peer. */
  recordSent(kind: string, bytes: number): void {
    for (const traffic of [this.counters, this.#trafficOf(kind)]) {
      traffic.bytesSent += bytes;
      traffic.messagesSent++;
    }
  }

  /** Counts a frame received from a peer. */
  recordReceived(kind: string, bytes: number): void {
    for (const traffic of [this.counters, this.#trafficOf(kind)]) {
      traffic.bytesReceived += bytes;
      traffic.messagesReceived++;
    }
  }

  /** Returns the traffic by kind; unknown kinds share one entry, which bounds the size. */
  byKind(): Record<string, KindTraffic> {
    return Object.fromEntries(this.#byKind);
  }

  #trafficOf(kind: string): KindTraffic {
    const name = _knownKinds.has(kind) ? kind as PeerMessageKind : OTHER_KIND;
    let traffic = this.#byKind.get(name);
    if (!traffic) this.#byKind.set(name, traffic = _emptyTraffic());
    return traffic;
  }
}

function _emptyTraffic(): KindTraffic {
  return {
    bytesSent: 0,
    bytesReceived: 0,
    messagesSent: 0,
    messagesReceived: 0,
  };
}
