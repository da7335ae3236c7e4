/**
 * Detects half-open connections. A host that crashes or loses its network does
 * not close its connections, and writes to them keep succeeding, so nothing else
 * reveals the loss.
 */
import { createError } from "./core/errors.ts";
import { afterPendingInput } from "./pending_input.ts";
import type { PeerConnection } from "./peer_connection.ts";
import type { PeerMessageKind } from "./peer_network.ts";

/** Kind of the message to which a peer replies immediately. */
export const KEEPALIVE_KIND: PeerMessageKind = "network.keepalive";
/** A peer that sent nothing for this long after a request is considered dead. */
const SILENCE_TIMEOUT_MILLISECONDS = 3_000;
/**
 * A keepalive is sent if nothing arrived for this long after a request, since
 * processing the request itself may take longer than the silence timeout.
 */
const KEEPALIVE_DELAY_MILLISECONDS = 1_000;
const CHECK_PERIOD_MILLISECONDS = 500;

/** Options of {@link startKeepalive}. */
export interface KeepaliveOptions {
  readonly connections: ReadonlySet<PeerConnection>;
  readonly nextCorrelation: () => number;
}

/** The periodic keepalive check of one router's connections. */
export interface Keepalive {
  /** Number of connections closed because their peer stopped responding. */
  silentConnections(): number;
  stop(): void;
}

/** Starts the periodic keepalive check. */
export function startKeepalive(options: KeepaliveOptions): Keepalive {
  const reason = createError("peer_unreachable", "the peer stopped responding");
  let silentConnections = 0;

  function check(): void {
    for (const connection of [...options.connections]) {
      const silence = connection.unansweredMilliseconds();
      if (silence >= SILENCE_TIMEOUT_MILLISECONDS) {
        silentConnections++;
        connection.close(reason);
      } else if (silence >= KEEPALIVE_DELAY_MILLISECONDS) {
        connection.send(KEEPALIVE_KIND, options.nextCorrelation(), false, {});
      }
    }
  }

  const timer = setInterval(
    () => afterPendingInput(check),
    CHECK_PERIOD_MILLISECONDS,
  );
  return {
    silentConnections: () => silentConnections,
    stop: () => clearInterval(timer),
  };
}
