/**
 * Checks planned stops under load: every router is restarted and every backend
 * server is drained, one at a time. No request may fail, and a draining server
 * must get no new work once the notice period is over.
 */
import { startWorkload, type Workload } from "../demo/workload.ts";
import {
  type FleetProcesses,
  startFleetProcesses,
} from "../stand_ins/fleet_processes.ts";
import type { ManagedProcess } from "../stand_ins/processes.ts";
import type {
  Invariant,
  InvariantOptions,
  InvariantOutcome,
} from "./invariant.ts";

const WORKSPACES = ["temple", "market"];
const KEEP_MILLISECONDS = 1_500;
/** A draining backend server gets no new work this long after the command. */
const DRAIN_NOTICE_MILLISECONDS = 3_000;
/** Time after the notice period in which new work is counted. */
const DRAIN_WATCH_MILLISECONDS = 2_000;
const WARM_UP_MILLISECONDS = 2_000;
/** Duration of a call, so that some are in flight whenever a router stops. */
const CALL_MILLISECONDS = 250;

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

async function countRuns(server: ManagedProcess): Promise<number> {
  const response = await fetch(`http://${server.address}/counters`);
  const { runs } = await response.json() as { runs: Record<string, number> };
  return Object.values(runs).reduce((sum, count) => sum + count, 0);
}

function startLoad(fleet: FleetProcesses, seed: number): Workload {
  return startWorkload({
    routers: fleet.routerAddresses,
    workspaces: WORKSPACES,
    chatsPerWorkspace: 8,
    callsPerWorkspace: 4,
    seed,
  });
}

async function startFleet(): Promise<FleetProcesses> {
  const fleet = await startFleetProcesses({
    dataCentres: ["north", "south"],
    routers: 4,
    engines: 3,
    services: 2,
    workspaces: WORKSPACES,
    keepMilliseconds: KEEP_MILLISECONDS,
  });
  for (const service of fleet.services) {
    await fetch(`http://${service.address}/faults`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ delay_milliseconds: CALL_MILLISECONDS }),
    });
  }
  return fleet;
}

function findFailedRequests({ counts }: Workload): string[] {
  const faults: string[] = [];
  if (counts.unknown > 0) {
    faults.push(`${counts.unknown} requests ended with an unknown outcome`);
  }
  if (counts.notRun > 0) faults.push(`${counts.notRun} requests were not run`);
  if (counts.truncatedAnswers > 0) {
    faults.push(`${counts.truncatedAnswers} responses were truncated or wrong`);
  }
  for (const [error, count] of counts.errors) faults.push(`${count}: ${error}`);
  if (counts.completed === 0) faults.push("no request completed");
  return faults;
}

/** Stops and restarts each router under load. */
async function restartRouters(seed: number): Promise<InvariantOutcome> {
  const fleet = await startFleet();
  try {
    const workload = startLoad(fleet, seed);
    const faults: string[] = [];
    await sleep(WARM_UP_MILLISECONDS);
    for (const [index, router] of [...fleet.routers].entries()) {
      const exitCode = await router.terminate();
      if (exitCode !== 0) {
        faults.push(`${router.name} ended with exit code ${exitCode}`);
      }
      await fleet.restartRouter(index);
    }
    await sleep(WARM_UP_MILLISECONDS);
    await workload.stop();
    return {
      faults: [...faults, ...findFailedRequests(workload)],
      figures: {
        restarts: fleet.routers.length,
        requests: workload.counts.requests,
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** Drains one server, counts its new work and restores it; returns violations. */
async function drainAndRestore(
  fleet: FleetProcesses,
  server: ManagedProcess,
): Promise<string[]> {
  const drained = await fleet.command("drain", server.name);
  if (drained.exitCode !== 0) {
    return [`drain ${server.name}: ${drained.errors}`];
  }
  await sleep(DRAIN_NOTICE_MILLISECONDS);
  const before = await countRuns(server);
  await sleep(DRAIN_WATCH_MILLISECONDS);
  const newWork = await countRuns(server) - before;
  const restored = await fleet.command("drain", server.name, "--undo");
  const faults = newWork > 0
    ? [`${server.name} got ${newWork} requests while draining`]
    : [];
  if (restored.exitCode !== 0) {
    faults.push(`undo ${server.name}: ${restored.errors}`);
  }
  return faults;
}

async function drainBackendServers(seed: number): Promise<InvariantOutcome> {
  const fleet = await startFleet();
  try {
    const workload = startLoad(fleet, seed);
    const faults: string[] = [];
    await sleep(WARM_UP_MILLISECONDS);
    for (const server of [...fleet.engines, ...fleet.services]) {
      faults.push(...await drainAndRestore(fleet, server));
    }
    await workload.stop();
    return {
      faults: [...faults, ...findFailedRequests(workload)],
      figures: {
        drains: fleet.engines.length + fleet.services.length,
        requests: workload.counts.requests,
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** Kills and restarts each router, like a stop without draining. */
async function killRouters(seed: number): Promise<InvariantOutcome> {
  const fleet = await startFleet();
  try {
    const workload = startLoad(fleet, seed);
    await sleep(WARM_UP_MILLISECONDS);
    for (const [index, router] of [...fleet.routers].entries()) {
      await router.kill();
      await fleet.restartRouter(index);
      await sleep(KEEP_MILLISECONDS);
    }
    await workload.stop();
    return {
      faults: findFailedRequests(workload),
      figures: {
        restarts: fleet.routers.length,
        requests: workload.counts.requests,
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** Planned stops of routers and backend servers. */
export const GRACEFUL_STOP_INVARIANTS: readonly Invariant[] = [
  {
    name: "rolling_restart",
    guarantee: "a planned stop of a router fails no request",
    isNegativeControl: false,
    run: ({ seed }: InvariantOptions) => restartRouters(seed),
  },
  {
    name: "rolling_restart_naive",
    guarantee: "the same check with routers that are killed",
    isNegativeControl: true,
    run: ({ seed }: InvariantOptions) => killRouters(seed),
  },
  {
    name: "drain_backend_servers",
    guarantee:
      "a draining backend server gets no new work after 3 s, and no request fails",
    isNegativeControl: false,
    run: ({ seed }: InvariantOptions) => drainBackendServers(seed),
  },
];
