/** Checks that no request reaches a server of an evacuated data centre. */
import { suspensionScope } from "./disturbances.ts";
import { EVACUATE_MILLISECONDS, type EvacuationSpan } from "./evacuations.ts";
import type { Arrival } from "./soak_backends.ts";
import type { SoakRecord } from "./soak_record.ts";
import { stillnessWithin } from "./stalls.ts";

/** Time that a router needs to hear of an entry after it could not. */
const CONTACT_MILLISECONDS = 3_000;

/** What the check of evacuations needs of a soak run. */
export type EvacuationRecord = Pick<
  SoakRecord,
  | "attempts"
  | "greedyRequests"
  | "arrivals"
  | "evacuations"
  | "disturbances"
  | "stalls"
>;

interface _Sender {
  readonly router: string;
  readonly sentAt: number;
}

/**
 * Returns from when an evacuation binds a router. A store that fails shortly before
 * the bound leaves all routers without the entry, and a suspended router hears nothing.
 */
function _bindsFrom(
  { acknowledgedAt }: EvacuationSpan,
  router: string,
  { disturbances }: EvacuationRecord,
): number {
  return disturbances.stableFrom(
    ["store", suspensionScope(router)],
    acknowledgedAt + EVACUATE_MILLISECONDS,
    CONTACT_MILLISECONDS,
  );
}

/** Whether a router may have sent a request before the time, although it arrived later. */
function _mayBeSentBefore(
  time: number,
  { at }: Arrival,
  sentAt: number,
  { disturbances, stalls }: EvacuationRecord,
): boolean {
  if (sentAt >= time) return false;
  const isDelayed = !disturbances.isStable(["backends"], sentAt, at);
  return isDelayed || at - stillnessWithin(stalls, time, at) <= time;
}

function _checkArrival(
  arrival: Arrival,
  sender: _Sender,
  record: EvacuationRecord,
): string | undefined {
  const { requestId, server, dataCentre, at } = arrival;
  const { router, sentAt } = sender;
  for (const span of record.evacuations) {
    if (span.dataCentre !== dataCentre || at >= span.removedAt) continue;
    const from = _bindsFrom(span, router, record);
    if (at <= from || _mayBeSentBefore(from, arrival, sentAt, record)) continue;
    return `${requestId}: reached ${server} by ${router} ${
      Math.round(at - span.acknowledgedAt)
    } ms after the evacuation of ${dataCentre} was acknowledged`;
  }
  return undefined;
}

/** Returns a line for each request that reached an evacuated data centre. */
export function findEvacuationViolations(record: EvacuationRecord): string[] {
  if (record.evacuations.length === 0) return [];
  const senders = new Map<string, _Sender>(
    [...record.attempts, ...record.greedyRequests].map((sent) =>
      [sent.requestId, sent] as const
    ),
  );
  return record.arrivals.flatMap((arrival) => {
    const sender = senders.get(arrival.requestId);
    return sender ? _checkArrival(arrival, sender, record) ?? [] : [];
  });
}
