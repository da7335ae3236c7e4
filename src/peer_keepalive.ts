/**
 * Finds connections whose peer vanished: its host may fail or be cut off without
 * closing them, and then nothing ends a connection that is written to.
 */
import { createError } from "./core/errors.ts";
import type { PeerConnection } from "./peer_connection.ts";
import type { PeerMessageKind } from "./peer_network.ts";

/** The message that a peer answers at once. */
export const KEEPALIVE_KIND: PeerMessageKind = "network.keepalive";
/** A peer that sent nothing for this long after a request is taken as gone. */
const SILENCE_TIMEOUT_MILLISECONDS = 3_000;
/**
 * A keepalive is sent this long after a request without any reply, since the
 * work for the request itself may take longer than the limit of silence.
 */
const KEEPALIVE_DELAY_MILLISECONDS = 1_000;
const CHECK_PERIOD_MILLISECONDS = 500;

/** What the check works on. */
export interface KeepaliveOptions {
  readonly connections: ReadonlySet<PeerConnection>;
  readonly nextCorrelation: () => number;
}

/** The periodic check of one router's connections. */
export interface Keepalive {
  /** Connections closed since the start because their peer fell silent. */
  silentConnections(): number;
  stop(): void;
}

/** Starts the check. */
export function startKeepalive(options: KeepaliveOptions): Keepalive {
  const reason = createError("peer_unreachable", "the peer fell silent");
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

  const timer = setInterval(check, CHECK_PERIOD_MILLISECONDS);
  return {
    silentConnections: () => silentConnections,
    stop: () => clearInterval(timer),
  };
}
