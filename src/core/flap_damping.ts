/**
 * Flap damping for backend servers. A server that recovers from a failure stays
 * suppressed for a time that doubles with each flap; the flap count decays
 * while the server stays up.
 */
import type { BackendServerId } from "./ids.ts";

/** Suppression time after the first flap. */
const FIRST_SUPPRESSION_MILLISECONDS = 2_000;
/** Longest suppression; a server that flaps for hours is still retried. */
const MAXIMUM_SUPPRESSION_MILLISECONDS = 5 * 60_000;
/**
 * Uptime after the end of a suppression that decreases the flap count by one.
 */
const UP_TIME_PER_FLAP_MILLISECONDS = 5 * 60_000;

/** Overrides of the default suppression times. */
export interface FlapDampingOptions {
  readonly firstSuppressionMilliseconds?: number;
  readonly maximumSuppressionMilliseconds?: number;
  readonly upTimePerFlapMilliseconds?: number;
}

/** Tracks which backend servers are suppressed for flapping. */
export interface FlapDamping {
  /** Records that a server failed. */
  recordDown(backendServer: BackendServerId, now: number): void;
  /** Records that a server is up; if it was down, its suppression starts. */
  recordUp(backendServer: BackendServerId, now: number): void;
  /** Whether a server gets no requests because it is down or suppressed. */
  isSuppressed(backendServer: BackendServerId, now: number): boolean;
  /** Drops servers that are no longer configured. */
  retain(isKept: (backendServer: BackendServerId) => boolean): void;
}

interface _FlapRecord {
  flaps: number;
  down: boolean;
  /** End of the last suppression; the flap count decays from then on. */
  suppressedUntil: number;
}

/** Creates flap damping without any recorded failures. */
export function createFlapDamping(
  options: FlapDampingOptions = {},
): FlapDamping {
  const first = options.firstSuppressionMilliseconds ??
    FIRST_SUPPRESSION_MILLISECONDS;
  const maximum = options.maximumSuppressionMilliseconds ??
    MAXIMUM_SUPPRESSION_MILLISECONDS;
  const upTime = options.upTimePerFlapMilliseconds ??
    UP_TIME_PER_FLAP_MILLISECONDS;
  const records = new Map<BackendServerId, _FlapRecord>();

  function flapCount(record: _FlapRecord, now: number): number {
    const up = Math.max(0, now - record.suppressedUntil);
    return Math.max(0, record.flaps - Math.floor(up / upTime));
  }

  return {
    recordDown(backendServer, now) {
      const record = records.get(backendServer);
      if (record?.down) return;
      const flaps = record ? flapCount(record, now) : 0;
      records.set(backendServer, {
        flaps: flaps + 1,
        down: true,
        suppressedUntil: 0,
      });
    },
    recordUp(backendServer, now) {
      const record = records.get(backendServer);
      if (!record) return;
      if (record.down) {
        record.down = false;
        record.suppressedUntil = now +
          Math.min(maximum, first * 2 ** (record.flaps - 1));
      } else if (flapCount(record, now) === 0) records.delete(backendServer);
    },
    isSuppressed(backendServer, now) {
      const record = records.get(backendServer);
      return record !== undefined &&
        (record.down || now < record.suppressedUntil);
    },
    retain(isKept) {
      for (const backendServer of records.keys()) {
        if (!isKept(backendServer)) records.delete(backendServer);
      }
    },
  };
}
