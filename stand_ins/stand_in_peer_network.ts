/** What the peer networks of tests and benches have in common. */
import { type PeerCounters, PeerNetwork } from "../src/peer_network.ts";

/** Returns counters of a network that has carried nothing. */
export function createPeerCounters(): PeerCounters {
  return {
    bytesSent: 0,
    bytesReceived: 0,
    messagesSent: 0,
    messagesReceived: 0,
  };
}

/** A network without sockets or generations; subclasses carry the messages. */
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
