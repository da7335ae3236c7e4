/**
 * Which router of a data centre aggregates loads, and the tree in which its
 * summaries reach the others.
 */
import type { DataCentreId, HostId } from "./ids.ts";
import { rankByRendezvous } from "./rendezvous.ts";

/**
 * Routers that one router passes a summary on to. Two keep the traffic of inner
 * routers low; the tree of 59 routers is then five hops deep.
 */
export const SUMMARY_FAN_OUT = 2;

/**
 * The routers that a router passes a summary on to: its children in the tree
 * that has the aggregator at its root. Leaving routers receive summaries but
 * come last, since they are no aggregators.
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

/** The key whose rendezvous choice aggregates the loads of a data centre. */
export function aggregatorKey(dataCentre: DataCentreId): string {
  return `load/${dataCentre}`;
}
