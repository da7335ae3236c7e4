/**
 * Checks membership on real processes: a killed router leaves every view in time,
 * and a router that resumes after a pause rejoins without duplicate runs, wrong
 * responses or differing generations.
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
/** Target for a killed router to be removed from all views. */
const REMOVAL_MILLISECONDS = 5_000;
/** Longer than the membership protocol takes to declare a paused router dead. */
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

/** Counts the routers whose view contains a host, or does not, as requested. */
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

/** Waits until every view contains a host, or none does; undefined on timeout. */
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

function otherAddresses(fleet: FleetProcesses, index: number): string[] {
  return fleet.routerAddresses.filter((_address, other) => other !== index);
}

async function runKilledRouter(
  seed: number,
  createReader: (fleet: FleetProcesses) => Promise<ReadStatus>,
): Promise<InvariantOutcome> {
  const fleet = await startFleet();
  try {
    const killed = seed % ROUTERS;
    const host = `host-${killed}`;
    const others = otherAddresses(fleet, killed);
    const faults: string[] = [];
    const joined = await waitForViews(others, host, true);
    if (joined === undefined) faults.push(`${host} is not in all views`);
    const read = await createReader(fleet);
    await fleet.routers[killed]?.kill();
    const removed = await waitForViews(others, host, false, read);
    if (removed === undefined) {
      faults.push(
        `${host} is still in a view ${REMOVAL_MILLISECONDS} ms after it was killed`,
      );
    }
    return { faults, figures: { removedMilliseconds: removed ?? -1 } };
  } finally {
    await fleet.stop();
  }
}

/** Returns a reader that repeats the first status of each router, like a stuck view. */
async function freezeViews(fleet: FleetProcesses): Promise<ReadStatus> {
  const frozen = new Map<string, RouterStatus | undefined>();
  for (const address of fleet.routerAddresses) {
    frozen.set(address, await readRouterStatus(address));
  }
  return async (address) => frozen.get(address);
}

async function runPausedRouter(seed: number): Promise<InvariantOutcome> {
  const fleet = await startFleet();
  try {
    const paused = seed % ROUTERS;
    const host = `host-${paused}`;
    const others = otherAddresses(fleet, paused);
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
    if (removed === undefined) faults.push(`${host} is still in a view`);
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
    const completedBefore = workload.counts.completed;
    await sleep(2 * WARM_UP_MILLISECONDS);
    if (workload.counts.completed === completedBefore) {
      faults.push("no request completed after the resume");
    }
    await workload.stop();
    if (truncatedAnswers > 0) {
      faults.push(`${truncatedAnswers} responses were truncated or wrong`);
    }
    const duplicates = await countDuplicates(fleet);
    if (duplicates > 0) faults.push(`${duplicates} requests ran twice`);
    const generations = await Promise.all(
      fleet.routerAddresses.map(readRouterStatus),
    );
    if (new Set(generations.map((status) => status?.generation)).size !== 1) {
      faults.push("routers have different generations");
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

async function countDuplicates(fleet: FleetProcesses): Promise<number> {
  let doubles = 0;
  for (const service of fleet.services) {
    const response = await fetch(`http://${service.address}/counters`);
    const counters = await response.json() as { doubles: string[] };
    doubles += counters.doubles.length;
  }
  return doubles;
}

/** Removal of killed routers and return of paused ones. */
export const MEMBERSHIP_INVARIANTS: readonly Invariant[] = [
  {
    name: "killed_router_leaves_views",
    guarantee: "a killed router is removed from all views within 5 s",
    isNegativeControl: false,
    run: ({ seed }: InvariantOptions) =>
      runKilledRouter(seed, async () => readRouterStatus),
  },
  {
    name: "killed_router_frozen_views",
    guarantee: "the same check on views that are never updated",
    isNegativeControl: true,
    run: ({ seed }: InvariantOptions) => runKilledRouter(seed, freezeViews),
  },
  {
    name: "paused_router_returns",
    guarantee:
      "a router paused for 10 s rejoins without duplicate runs or wrong responses",
    isNegativeControl: false,
    run: ({ seed }: InvariantOptions) => runPausedRouter(seed),
  },
];
