/**
 * Hold-out of flapping backend servers. A server that comes back after a
 * failure stays excluded for a time that doubles with each flap; the count of
 * flaps decays while the server stays up.
 */
import type { BackendServerId } from "./ids.ts";

/** A server is held out this long after its first flap. */
const FIRST_SUPPRESSION_MILLISECONDS = 2_000;
/** A server that flaps for hours is still tried again after this time. */
const MAXIMUM_SUPPRESSION_MILLISECONDS = 5 * 60_000;
/** Time of staying up, after its hold-out, that takes back one flap. */
const UP_TIME_PER_FLAP_MILLISECONDS = 5 * 60_000;

/** The lengths of hold-outs. */
export interface FlapDampingOptions {
  readonly firstSuppressionMilliseconds?: number;
  readonly maximumSuppressionMilliseconds?: number;
  readonly upTimePerFlapMilliseconds?: number;
}

/** Which backend servers are excluded for flapping. */
export interface FlapDamping {
  /** Records that a server failed. */
  serverDown(backendServer: BackendServerId, now: number): void;
  /** Records that a server is up; its hold-out starts if it had failed. */
  serverUp(backendServer: BackendServerId, now: number): void;
  /** Whether a server gets no requests: it is down or in its hold-out. */
  isSuppressed(backendServer: BackendServerId, now: number): boolean;
  /** Drops servers that are no longer configured. */
  retain(isKept: (backendServer: BackendServerId) => boolean): void;
}

interface _Record {
  flaps: number;
  down: boolean;
  /** End of the last hold-out; flaps decay from here on. */
  heldUntil: number;
}

/** Creates a hold-out that excludes no server. */
export function createFlapDamping(
  options: FlapDampingOptions = {},
): FlapDamping {
  const first = options.firstSuppressionMilliseconds ??
    FIRST_SUPPRESSION_MILLISECONDS;
  const maximum = options.maximumSuppressionMilliseconds ??
    MAXIMUM_SUPPRESSION_MILLISECONDS;
  const upTime = options.upTimePerFlapMilliseconds ??
    UP_TIME_PER_FLAP_MILLISECONDS;
  const records = new Map<BackendServerId, _Record>();

  function flapsLeft(record: _Record, now: number): number {
    const up = Math.max(0, now - record.heldUntil);
    return Math.max(0, record.flaps - Math.floor(up / upTime));
  }

  return {
    serverDown(backendServer, now) {
      const record = records.get(backendServer);
      if (record?.down) return;
      const flaps = record ? flapsLeft(record, now) : 0;
      records.set(backendServer, {
        flaps: flaps + 1,
        down: true,
        heldUntil: 0,
      });
    },
    serverUp(backendServer, now) {
      const record = records.get(backendServer);
      if (!record) return;
      if (record.down) {
        record.down = false;
        record.heldUntil = now +
          Math.min(maximum, first * 2 ** (record.flaps - 1));
      } else if (flapsLeft(record, now) === 0) records.delete(backendServer);
    },
    isSuppressed(backendServer, now) {
      const record = records.get(backendServer);
      return record !== undefined && (record.down || now < record.heldUntil);
    },
    retain(isKept) {
      for (const backendServer of records.keys()) {
        if (!isKept(backendServer)) records.delete(backendServer);
      }
    },
  };
}
