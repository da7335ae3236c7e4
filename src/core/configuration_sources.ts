/**
 * The sources of a pending configuration's chunks: peers first, then the
 * platform, and again after a growing delay.
 */
import type {
  ConfigurationSource,
  PendingConfiguration,
} from "./configuration_events.ts";

const INITIAL_BACKOFF_MILLISECONDS = 200;
const MAXIMUM_BACKOFF_MILLISECONDS = 5_000;

export const PLATFORM: ConfigurationSource = { kind: "platform" };

/** Returns the sources in order of use: peers first, then the platform. */
function _orderSources(pending: PendingConfiguration): ConfigurationSource[] {
  const peers = pending.sources.filter((source) => source.kind === "peer");
  return [...peers, PLATFORM];
}

/** Whether every source has failed to provide the chunks at least once. */
export function hasFailedEverywhere(pending: PendingConfiguration): boolean {
  return pending.attempt >= _orderSources(pending).length;
}

/** Returns the source of the next attempt. */
export function nextSource(pending: PendingConfiguration): ConfigurationSource {
  const candidates = _orderSources(pending);
  return candidates[pending.attempt % candidates.length] ?? PLATFORM;
}

/**
 * Returns the delay before an attempt: 0 until every source has failed once, then
 * growing with every further round. `random` is in [0, 1).
 */
export function backoffBefore(
  attempt: number,
  pending: PendingConfiguration,
  random: number,
): number {
  const rounds = Math.floor(attempt / _orderSources(pending).length);
  if (rounds === 0) return 0;
  const longest = Math.min(
    MAXIMUM_BACKOFF_MILLISECONDS,
    INITIAL_BACKOFF_MILLISECONDS * 2 ** Math.min(rounds, 10),
  );
  return longest * (0.5 + random / 2);
}

/** Whether two sources are the same. */
export function isSameSource(
  left: ConfigurationSource,
  right: ConfigurationSource,
): boolean {
  return left.kind === "peer"
    ? right.kind === "peer" && left.address === right.address
    : right.kind === "platform";
}
