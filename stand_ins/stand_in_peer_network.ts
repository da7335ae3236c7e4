/** Base class of the peer networks in tests and benches. */
import { type PeerCounters, PeerNetwork } from "../src/peer_network.ts";

/** Creates counters that are all zero. */
export function createPeerCounters(): PeerCounters {
  return {
    bytesSent: 0,
    bytesReceived: 0,
    messagesSent: 0,
    messagesReceived: 0,
  };
}

/** A network without sockets or generations; subclasses deliver messages. */
export abstract class StandInPeerNetwork extends PeerNetwork {
  override async stop(): Promise<void> {}
  override onGeneration(): void {}
  override setGeneration(): void {}

  override counters(): Readonly<PeerCounters> {
    return createPeerCounters();
  }

  override describe(): unknown {
    return {};
  }
}
