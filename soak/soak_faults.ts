/** Injects scheduled faults from outside the router processes. */
import { setTimeout as sleep } from "node:timers/promises";
import type { StoreFault } from "../platform/store_stand_in.ts";
import { restartCold } from "./cold_restart_fault.ts";
import { suspensionScope } from "./disturbances.ts";
import { evacuateDataCentre } from "./evacuation_fault.ts";
import type { FaultKind, ScheduledFault } from "./fault_schedule.ts";
import { type FaultAction, type FaultTargets, pick } from "./fault_targets.ts";
import { openGreedyClient } from "./greedy_client.ts";
import type { LinkFault } from "./loopback_proxy.ts";
import type { BackendFault, SoakBackend } from "./soak_backends.ts";
import type { SoakRouter } from "./soak_routers.ts";
import { suspendAmidRequests } from "./suspended_callers.ts";

const BACKEND_FAULTS: readonly BackendFault[] = [
  "errors",
  "loses_answers",
  "mute",
];
const LINK_FAULTS: readonly LinkFault[] = [
  "delay",
  "reset",
  "silence",
  "one_way",
];
const STORE_FAULTS: readonly StoreFault[] = [
  "busy",
  "reset",
  "silent",
  "slow",
  "loses_answers",
];
/** Time by which the registry lags behind a server that says it is leaving. */
const REGISTRY_LAG_MILLISECONDS = 4_000;
/** Time for which a draining server keeps serving before it is replaced. */
const DRAIN_MILLISECONDS = 3_500;
/** Longest time for which a draining server finishes its requests. */
const LONGEST_DRAIN_MILLISECONDS = 12_000;
const IDLE_POLL_MILLISECONDS = 50;
/** Age of the copy from which the store returns, at least. */
const SHORTEST_COPY_AGE_MILLISECONDS = 1_500;
/** Time after the return until servers and operators have written again. */
const WRITE_AGAIN_MILLISECONDS = 1_000;
/** Limits that servers name, in requests per second. */
const RATE_LIMITS = [0, 0.5, 2, 6];
/** Shortest time for which a limit is named; it binds after three seconds. */
const SHORTEST_LIMIT_MILLISECONDS = 6_000;
/** Time after a disturbance from which on the bounds hold again. */
const CONTACT_MILLISECONDS = 3_000;
const RESTART_TIMEOUT_MILLISECONDS = 15_000;
const STOPS_IN_SERIES = 2;
const RELOADS_IN_SERIES = 4;
const RETRY_ALLOWANCES_REQUESTS = [20, 100, 200];
/** Longer than the time that callers have for a head. */
const SHORTEST_SUSPENSION_MILLISECONDS = 3_200;
/** Names that no header can carry. */
const ODD_NAMES = ["\u8a66\u9a13\u7528-1", "s\n1", "s\u0000"];

async function _killRouter(
  router: SoakRouter,
  targets: FaultTargets,
): Promise<void> {
  const end = targets.begin(router.settings.host, false);
  await router.restart("kill", RESTART_TIMEOUT_MILLISECONDS);
  end();
}

async function _crashBackend(
  backend: SoakBackend,
  { forMilliseconds }: ScheduledFault,
  targets: FaultTargets,
): Promise<void> {
  const end = targets.begin("backends", false);
  const { id } = backend;
  backend.crash();
  await sleep(forMilliseconds);
  targets.deregister(id);
  // A replacement in the meantime has started a new incarnation already.
  if (backend.id === id) {
    await backend.start();
    targets.register(backend);
  }
  end();
}

/** Waits until an incarnation of a server has finished its requests. */
async function _waitUntilIdle(
  backend: SoakBackend,
  id: string,
): Promise<void> {
  const deadline = performance.now() + LONGEST_DRAIN_MILLISECONDS;
  while (
    backend.id === id && backend.isBusy && performance.now() < deadline
  ) await sleep(IDLE_POLL_MILLISECONDS);
}

async function _replaceBackend(
  backend: SoakBackend,
  targets: FaultTargets,
): Promise<void> {
  if (backend.isDraining) return;
  const end = targets.begin("fleet", true);
  const { id } = backend;
  backend.isDraining = true;
  targets.register(backend);
  targets.recordDrain(id);
  await sleep(DRAIN_MILLISECONDS);
  await _waitUntilIdle(backend, id);
  // After a crash in the meantime, a new incarnation is already running.
  if (backend.id === id) {
    targets.deregister(id);
    backend.crash();
    await backend.start();
    targets.register(backend);
  }
  end();
}

/** Restarts a router as planned work does, and records it. */
async function _stopRouter(
  router: SoakRouter,
  targets: FaultTargets,
): Promise<void> {
  const end = targets.begin(router.settings.host, true);
  await router.restart("terminate", RESTART_TIMEOUT_MILLISECONDS);
  end();
}

async function _reloadRouter(
  router: SoakRouter,
  retryAllowance: number,
  targets: FaultTargets,
): Promise<void> {
  const end = targets.begin(router.settings.host, true);
  await router.rewriteSettings(retryAllowance);
  router.signal("SIGHUP");
  end();
}

const _FAULT_ACTIONS: Readonly<Record<FaultKind, FaultAction>> = {
  router_killed: ({ target }, targets) =>
    _killRouter(pick(targets.routers, target), targets),
  router_stopped: ({ target }, targets) =>
    _stopRouter(pick(targets.routers, target), targets),
  async router_paused({ target, forMilliseconds }, targets) {
    const router = pick(targets.routers, target);
    const endSuspension = targets.begin(
      suspensionScope(router.settings.host),
      false,
    );
    const end = targets.begin(router.settings.host, false);
    router.signal("SIGSTOP");
    await sleep(forMilliseconds);
    router.signal("SIGCONT");
    endSuspension();
    end();
  },
  async router_reloaded({ target, variant }, targets) {
    const router = pick(targets.routers, target);
    const end = targets.begin(router.settings.host, true);
    await router.rewriteSettings(pick(RETRY_ALLOWANCES_REQUESTS, variant));
    if (variant % 2 === 0) router.signal("SIGHUP");
    end();
  },
  async all_routers_killed(_fault, targets) {
    await Promise.all(
      targets.routers.map((router) => _killRouter(router, targets)),
    );
  },
  backend_crashed: (fault, targets) =>
    _crashBackend(pick(targets.backends, fault.target), fault, targets),
  async backend_leaves({ target }, targets) {
    const backend = pick(targets.backends, target);
    if (backend.isLeaving || backend.isDraining) return;
    const end = targets.begin("fleet", true);
    const { id } = backend;
    backend.isLeaving = true;
    await sleep(REGISTRY_LAG_MILLISECONDS);
    end();
    if (backend.id === id) await _replaceBackend(backend, targets);
  },
  async backend_pauses({ target, forMilliseconds }, targets) {
    const backend = pick(targets.backends, target);
    const end = targets.begin("fleet", true);
    backend.pausedUntil = targets.now() + forMilliseconds;
    await sleep(forMilliseconds);
    end();
  },
  async backend_limits({ target, variant, forMilliseconds }, targets) {
    // Every fourth time all servers, so that no other can take the requests.
    const backends = variant % 4 === 0
      ? targets.backends
      : [pick(targets.backends, target)];
    const end = targets.begin("fleet", true);
    const limit = pick(RATE_LIMITS, target);
    for (const backend of backends) backend.requestsPerSecond = limit;
    await sleep(SHORTEST_LIMIT_MILLISECONDS + forMilliseconds);
    for (const backend of backends) backend.requestsPerSecond = undefined;
    end();
  },
  backend_replaced: ({ target }, targets) =>
    _replaceBackend(pick(targets.backends, target), targets),
  async backend_fails({ target, variant, forMilliseconds }, targets) {
    const backend = pick(targets.backends, target);
    const end = targets.begin("backends", false);
    backend.fault = pick(BACKEND_FAULTS, variant);
    await sleep(forMilliseconds);
    backend.fault = "none";
    end();
  },
  async backend_link({ target, variant, forMilliseconds }, targets) {
    const { proxy } = pick(targets.backends, target);
    const end = targets.begin("backends", false);
    proxy.setFault(pick(LINK_FAULTS, variant));
    await sleep(forMilliseconds);
    proxy.setFault("none");
    end();
  },
  async router_link({ target, variant, forMilliseconds }, targets) {
    const { proxy, settings } = pick(targets.routers, target);
    const end = targets.begin(settings.host, false);
    proxy.setFault(pick(LINK_FAULTS, variant));
    await sleep(forMilliseconds);
    proxy.setFault("none");
    end();
  },
  async store_fails({ target, variant, forMilliseconds }, targets) {
    const { store, storeProxy } = targets;
    const end = targets.begin("store", false);
    const isLinkFault = target % 2 === 0;
    if (isLinkFault) storeProxy.setFault(pick(LINK_FAULTS, variant));
    else store.setFault(pick(STORE_FAULTS, variant));
    await sleep(forMilliseconds);
    if (isLinkFault) storeProxy.setFault("none");
    else store.setFault("none");
    end();
  },
  async store_restored({ variant, forMilliseconds }, targets) {
    const { store } = targets;
    const copy = store.takeCopy();
    await sleep(SHORTEST_COPY_AGE_MILLISECONDS + variant);
    const end = targets.begin("store", false);
    store.setFault("reset");
    await sleep(forMilliseconds);
    store.restore(copy);
    targets.evacuations.followRestore();
    store.setFault("none");
    await sleep(WRITE_AGAIN_MILLISECONDS);
    targets.writeAgain();
    end();
  },
  /** Silences all open connections; changes follow when the bounds hold again. */
  async store_silenced(_fault, targets) {
    const end = targets.begin("store", false);
    targets.storeProxy.setFault("silence");
    targets.storeProxy.setFault("none");
    end();
    await sleep(CONTACT_MILLISECONDS);
    const endChange = targets.begin("fleet", true);
    targets.changeConfiguration();
    await targets.replaceKey();
    endChange();
  },
  /** Only the answers to the server's own requests may suffer from it. */
  async backend_malformed({ target, forMilliseconds }, targets) {
    const backend = pick(targets.backends, target);
    const end = targets.begin("fleet", true);
    backend.isMalformed = true;
    await sleep(forMilliseconds);
    backend.isMalformed = false;
    end();
  },
  /** Nothing may suffer from it, so that it counts as no disturbance. */
  async registration_odd({ target, variant, forMilliseconds }, targets) {
    const name = pick(ODD_NAMES, variant);
    targets.registerAs(name, pick(targets.backends, target));
    await sleep(forMilliseconds);
    targets.deregister(name);
  },
  async router_suspended({ target, forMilliseconds }, targets) {
    const router = pick(targets.routers, target);
    const endSuspension = targets.begin(
      suspensionScope(router.settings.host),
      false,
    );
    const end = targets.begin(router.settings.host, false);
    await suspendAmidRequests(
      router,
      SHORTEST_SUSPENSION_MILLISECONDS + forMilliseconds,
      targets.suspendedCallers,
    );
    endSuspension();
    end();
  },
  async router_stopped_twice({ target, forMilliseconds }, targets) {
    const router = pick(targets.routers, target);
    const end = targets.begin(router.settings.host, true);
    const restarted = router.restart("terminate", RESTART_TIMEOUT_MILLISECONDS);
    await sleep(forMilliseconds);
    if (router.isStopping) router.signal("SIGTERM");
    await restarted;
    end();
  },
  /** Stops a second router while the first one is stopping. */
  async routers_stopped_together({ target, forMilliseconds }, targets) {
    const first = _stopRouter(pick(targets.routers, target), targets);
    await sleep(forMilliseconds);
    await _stopRouter(pick(targets.routers, target + 1), targets);
    await first;
  },
  /** Stops a router again as soon as its successor is ready. */
  async router_stopped_in_series({ target }, targets) {
    const router = pick(targets.routers, target);
    for (let stop = 0; stop < STOPS_IN_SERIES; stop++) {
      await _stopRouter(router, targets);
    }
  },
  /** Reloads a stopping router, signals it again and changes the configuration. */
  async router_stopped_amid_changes(fault, targets) {
    const { target, variant, forMilliseconds } = fault;
    const router = pick(targets.routers, target);
    const stopped = _stopRouter(router, targets);
    for (const signal of ["SIGHUP", "SIGTERM", "SIGHUP"] as const) {
      const end = targets.begin("fleet", true);
      targets.changeConfiguration();
      await router.rewriteSettings(pick(RETRY_ALLOWANCES_REQUESTS, variant));
      if (router.isStopping) router.signal(signal);
      end();
      await sleep(forMilliseconds);
    }
    await stopped;
  },
  /** Reloads all routers several times while the configuration changes. */
  async router_reloaded_in_series({ variant, forMilliseconds }, targets) {
    for (let reload = 0; reload < RELOADS_IN_SERIES; reload++) {
      const end = targets.begin("fleet", true);
      targets.changeConfiguration();
      for (const router of targets.routers) {
        const allowance = pick(RETRY_ALLOWANCES_REQUESTS, variant + reload);
        if (router.isReady) await _reloadRouter(router, allowance, targets);
      }
      end();
      await sleep(forMilliseconds / RELOADS_IN_SERIES);
    }
  },
  data_centre_evacuated: evacuateDataCentre,
  servers_restart_cold: restartCold,
  client_greedy: openGreedyClient,
  async store_forgets(_fault, targets) {
    const end = targets.begin("store", false);
    targets.store.discardHistory();
    end();
  },
  async configuration_changes(_fault, targets) {
    const end = targets.begin("fleet", true);
    targets.changeConfiguration();
    end();
  },
  async key_revoked(_fault, targets) {
    const end = targets.begin("fleet", true);
    await targets.replaceKey();
    end();
  },
};

/** Injects a fault and resolves when the fault has ended. */
export async function applyFault(
  fault: ScheduledFault,
  targets: FaultTargets,
): Promise<void> {
  await _FAULT_ACTIONS[fault.kind](fault, targets);
}
