/** The systems under test: a fleet of routers, and naive proxies for comparison. */
import { type Caller, createCaller } from "../src/caller.ts";
import { createSeededRandom } from "../src/core/random.ts";
import { startFleetProcesses } from "../stand_ins/fleet_processes.ts";
import { STAND_IN_SERVICE, workspaceKey } from "../stand_ins/fleet_text.ts";
import { findFreePorts } from "../stand_ins/free_ports.ts";
import {
  createProcessGroup,
  type ManagedProcess,
} from "../stand_ins/processes.ts";

const ROUTERS = 4;
const SERVICES = 2;
const CALL_DEADLINE_MILLISECONDS = 4_000;

/** The outcome of a call as its caller sees it. */
export type CallOutcome = "completed" | "not_run" | "unknown";

/** A system that executes non-idempotent calls. */
export interface SystemUnderTest {
  readonly routers: readonly ManagedProcess[];
  readonly services: readonly ManagedProcess[];
  /** Changes one item and returns the outcome that the caller got. */
  call(item: string): Promise<CallOutcome>;
  restartRouter(index: number): Promise<unknown>;
  setPlatformOutage(isDown: boolean): Promise<void>;
  stop(): Promise<void>;
}

/** Starts routers, services and a platform as separate processes. */
export async function startRouterSystem(
  seed: number,
): Promise<SystemUnderTest> {
  const fleet = await startFleetProcesses({
    dataCentres: ["north", "south"],
    routers: ROUTERS,
    engines: 1,
    services: SERVICES,
    workspaces: ["temple"],
    keepMilliseconds: 1_000,
  });
  const caller: Caller = createCaller({
    routers: fleet.routerAddresses,
    workspaceKey: workspaceKey("temple"),
    random: createSeededRandom(seed),
  });
  return {
    routers: fleet.routers,
    services: fleet.services,
    async call(item) {
      const result = await caller.call({
        service: STAND_IN_SERVICE,
        method: "POST",
        path: `/slots/${item}/release`,
        deadlineMilliseconds: CALL_DEADLINE_MILLISECONDS,
      });
      if (result.isOk()) {
        return result.value.status === 200 ? "completed" : "unknown";
      }
      return result.error.kind === "not_run" ? "not_run" : "unknown";
    },
    restartRouter: (index) => fleet.restartRouter(index),
    async setPlatformOutage(isDown) {
      await fetch(`http://${fleet.platform.address}/control/faults`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({ outage: isDown }),
      });
    },
    async stop() {
      await caller.close();
      await fleet.stop();
    },
  };
}

/** Calls one naive proxy; returns whether the response had status 200. */
async function _callNaiveProxy(
  address: string,
  item: string,
): Promise<boolean> {
  try {
    const response = await fetch(`http://${address}/slots/${item}/release`, {
      method: "POST",
      signal: AbortSignal.timeout(CALL_DEADLINE_MILLISECONDS / 2),
    });
    await response.text();
    return response.status === 200;
  } catch {
    return false;
  }
}

/** Starts proxies that retry calls, and callers that fail over to the next proxy. */
export async function startNaiveSystem(): Promise<SystemUnderTest> {
  const group = createProcessGroup();
  const services = await Promise.all(
    Array.from(
      { length: SERVICES },
      (_unused, index) =>
        group.start(`service-${index}`, "stand_ins/plain_service_main.js", []),
    ),
  );
  const ports = await findFreePorts(ROUTERS);
  const backends = services.map((service) => service.address).join(",");

  function startProxy(index: number): Promise<ManagedProcess> {
    return group.start(`proxy-${index}`, "bench/naive_proxy_main.js", [
      "--port",
      String(ports[index]),
      "--backends",
      backends,
    ]);
  }

  const routers = await Promise.all(
    ports.map((_port, index) => startProxy(index)),
  );
  let nextIndex = 0;
  return {
    routers,
    services,
    async call(item) {
      for (let attempt = 0; attempt < ROUTERS; attempt++) {
        const address = `127.0.0.1:${ports[nextIndex++ % ROUTERS]}`;
        if (await _callNaiveProxy(address, item)) return "completed";
      }
      return "not_run";
    },
    async restartRouter(index) {
      routers[index] = await startProxy(index);
    },
    setPlatformOutage: async () => undefined,
    stop: () => group.stop(),
  };
}
