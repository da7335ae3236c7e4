/**
 * Membership on real processes: a killed router leaves every view in time, and
 * a router that was paused and returns does no harm and is a member again.
 */
import {
  type FleetProcesses,
  startFleetProcesses,
} from "../stand_ins/fleet_processes.ts";
import type {
  Invariant,
  InvariantOptions,
  InvariantOutcome,
} from "./invariant.ts";
import {
  readRouterStatus,
  type RouterStatus,
  sleep,
  waitUntil,
} from "./router_status.ts";
import { startWorkload } from "../demo/workload.ts";

const ROUTERS = 6;
const WORKSPACES = ["temple"];
/** Stated target: a killed router is out of all views within this time. */
const REMOVAL_MILLISECONDS = 5_000;
/** Longer than the membership needs to declare a paused router dead. */
const PAUSE_MILLISECONDS = 10_000;
const WARM_UP_MILLISECONDS = 1_000;

type ReadStatus = (address: string) => Promise<RouterStatus | undefined>;

function startFleet(): Promise<FleetProcesses> {
  return startFleetProcesses({
    dataCentres: ["north", "south"],
    routers: ROUTERS,
    engines: 2,
    services: 1,
    workspaces: WORKSPACES,
    keepMilliseconds: 1_000,
  });
}

/** Counts the routers among these whose view has or lacks a host. */
async function countViews(
  addresses: readonly string[],
  host: string,
  isListed: boolean,
  read: ReadStatus,
): Promise<number> {
  const statuses = await Promise.all(addresses.map(read));
  return statuses.filter((status) =>
    status && status.hosts.includes(host) === isListed
  ).length;
}

/** Waits until every view has or lacks a host; undefined if the time is over. */
function waitForViews(
  addresses: readonly string[],
  host: string,
  isListed: boolean,
  read: ReadStatus = readRouterStatus,
): Promise<number | undefined> {
  return waitUntil(
    async () =>
      await countViews(addresses, host, isListed, read) === addresses.length,
    REMOVAL_MILLISECONDS,
  );
}

function othersOf(fleet: FleetProcesses, index: number): string[] {
  return fleet.routerAddresses.filter((_address, other) => other !== index);
}

async function killOne(
  seed: number,
  freeze: (fleet: FleetProcesses) => Promise<ReadStatus>,
): Promise<InvariantOutcome> {
  const fleet = await startFleet();
  try {
    const victim = seed % ROUTERS;
    const host = `host-${victim}`;
    const others = othersOf(fleet, victim);
    const faults: string[] = [];
    const joined = await waitForViews(others, host, true);
    if (joined === undefined) faults.push(`${host} is not in all views`);
    const read = await freeze(fleet);
    await fleet.routers[victim]?.kill();
    const removed = await waitForViews(others, host, false, read);
    if (removed === undefined) {
      faults.push(
        `${host} is in a view ${REMOVAL_MILLISECONDS} ms after it was killed`,
      );
    }
    return { faults, figures: { removedMilliseconds: removed ?? -1 } };
  } finally {
    await fleet.stop();
  }
}

/** Reads each status once and then repeats it, as a router with a stuck view would. */
async function freezeViews(fleet: FleetProcesses): Promise<ReadStatus> {
  const frozen = new Map<string, RouterStatus | undefined>();
  for (const address of fleet.routerAddresses) {
    frozen.set(address, await readRouterStatus(address));
  }
  return async (address) => frozen.get(address);
}

async function pauseOne(seed: number): Promise<InvariantOutcome> {
  const fleet = await startFleet();
  try {
    const paused = seed % ROUTERS;
    const host = `host-${paused}`;
    const others = othersOf(fleet, paused);
    const faults: string[] = [];
    await waitForViews(others, host, true);
    const workload = startWorkload({
      routers: others,
      workspaces: WORKSPACES,
      chatsPerWorkspace: 4,
      callsPerWorkspace: 4,
      seed,
    });
    await sleep(WARM_UP_MILLISECONDS);
    fleet.routers[paused]?.pause();
    const removed = await waitForViews(others, host, false);
    if (removed === undefined) faults.push(`${host} stayed in a view`);
    await sleep(PAUSE_MILLISECONDS - (removed ?? REMOVAL_MILLISECONDS));
    fleet.routers[paused]?.resume();
    const rejoined = await waitForViews(fleet.routerAddresses, host, true);
    if (rejoined === undefined) faults.push(`${host} did not rejoin`);
    for (const other of others.keys()) {
      const name = `host-${other < paused ? other : other + 1}`;
      const seen = await waitForViews(fleet.routerAddresses, name, true);
      if (seen === undefined) faults.push(`${name} is missing from a view`);
    }
    await sleep(WARM_UP_MILLISECONDS);
    const { notRun, truncatedAnswers } = workload.counts;
    const before = workload.counts.completed;
    await sleep(2 * WARM_UP_MILLISECONDS);
    if (workload.counts.completed === before) {
      faults.push("no request completed after the return");
    }
    await workload.stop();
    if (truncatedAnswers > 0) {
      faults.push(`${truncatedAnswers} answers were not whole`);
    }
    const doubled = await countDoubles(fleet);
    if (doubled > 0) faults.push(`${doubled} requests ran twice`);
    const generations = await Promise.all(
      fleet.routerAddresses.map(readRouterStatus),
    );
    if (new Set(generations.map((status) => status?.generation)).size !== 1) {
      faults.push("routers differ in their generation");
    }
    return {
      faults,
      figures: {
        removedMilliseconds: removed ?? -1,
        rejoinedMilliseconds: rejoined ?? -1,
        completed: workload.counts.completed,
        notRun,
        unknown: workload.counts.unknown,
      },
    };
  } finally {
    await fleet.stop();
  }
}

async function countDoubles(fleet: FleetProcesses): Promise<number> {
  let doubles = 0;
  for (const service of fleet.services) {
    const response = await fetch(`http://${service.address}/counters`);
    const counters = await response.json() as { doubles: string[] };
    doubles += counters.doubles.length;
  }
  return doubles;
}

/** Detection of killed routers and return of paused ones. */
export const MEMBERSHIP_INVARIANTS: readonly Invariant[] = [
  {
    name: "killed_router_leaves_views",
    promise: "a killed router is out of all views within 5 s",
    isNaive: false,
    run: ({ seed }: InvariantOptions) =>
      killOne(seed, async () => readRouterStatus),
  },
  {
    name: "killed_router_frozen_views",
    promise: "the same check on views that do not change",
    isNaive: true,
    run: ({ seed }: InvariantOptions) => killOne(seed, freezeViews),
  },
  {
    name: "paused_router_returns",
    promise: "a router paused for 10 s rejoins and does no harm",
    isNaive: false,
    run: ({ seed }: InvariantOptions) => pauseOne(seed),
  },
];
