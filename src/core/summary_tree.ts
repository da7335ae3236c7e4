/**
 * Determines which router of a data centre aggregates loads, and the tree
 * through which its summaries reach the other routers.
 */
import type { DataCentreId, HostId } from "./ids.ts";
import { rankByRendezvous } from "./rendezvous.ts";

/**
 * Number of routers to which a router forwards a summary. Two keep the traffic
 * of inner routers low; the tree of 59 routers is then five hops deep.
 */
export const SUMMARY_FAN_OUT = 2;

/**
 * Returns the routers to which a router forwards a summary: its children in the
 * tree with the aggregator as root. Leaving routers receive summaries but come
 * last, since they cannot be aggregators.
 */
export function summaryChildren<
  T extends { readonly host: HostId; readonly leaving: boolean },
>(dataCentre: DataCentreId, members: readonly T[], self: HostId): T[] {
  const ranked = rankByRendezvous(
    aggregatorKey(dataCentre),
    members,
    (member) => member.host,
  );
  const order = [
    ...ranked.filter((member) => !member.leaving),
    ...ranked.filter((member) => member.leaving),
  ];
  const rank = order.findIndex((member) => member.host === self);
  if (rank < 0) return [];
  const first = rank * SUMMARY_FAN_OUT + 1;
  return order.slice(first, first + SUMMARY_FAN_OUT);
}

/** Returns the rendezvous key for the load aggregator of a data centre. */
export function aggregatorKey(dataCentre: DataCentreId): string {
  return `load/${dataCentre}`;
}
