/** Carries out the faults of a schedule, from outside the routers. */
import { setTimeout as sleep } from "node:timers/promises";
import type { StoreStandIn } from "../platform/soak_fleet.ts";
import type { StoreFault } from "../platform/store_stand_in.ts";
import type { DisturbanceScope } from "./disturbances.ts";
import type { FaultKind, ScheduledFault } from "./fault_schedule.ts";
import type { LinkFault, LoopbackProxy } from "./loopback_proxy.ts";
import type { BackendFault, SoakBackend } from "./soak_backends.ts";
import type { SoakRouter } from "./soak_routers.ts";

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
/** A server serves on for this long after it was told to drain. */
const DRAIN_MILLISECONDS = 3_500;
const RESTART_LIMIT_MILLISECONDS = 15_000;
const RETRY_ALLOWANCES = [20, 100, 200];

/** What faults act on. */
export interface FaultTargets {
  readonly routers: readonly SoakRouter[];
  readonly backends: readonly SoakBackend[];
  readonly store: StoreStandIn;
  readonly storeProxy: LoopbackProxy;
  /** Records a disturbance; the result ends it. */
  readonly begin: (scope: DisturbanceScope, isPlanned: boolean) => () => void;
  readonly register: (backend: SoakBackend) => void;
  readonly deregister: (id: string) => void;
  /** Records that a life of a server was told to drain. */
  readonly noteDrain: (id: string) => void;
  readonly changeConfiguration: () => void;
  readonly replaceKey: () => Promise<void>;
}

type _Apply = (fault: ScheduledFault, targets: FaultTargets) => Promise<void>;

function _pick<Item>(items: readonly Item[], number: number): Item {
  return items[number % items.length] as Item;
}

async function _killRouter(
  router: SoakRouter,
  targets: FaultTargets,
): Promise<void> {
  const over = targets.begin(router.settings.host, false);
  await router.restart("kill", RESTART_LIMIT_MILLISECONDS);
  over();
}

async function _crashBackend(
  backend: SoakBackend,
  { forMilliseconds }: ScheduledFault,
  targets: FaultTargets,
): Promise<void> {
  const over = targets.begin("backends", false);
  const { id } = backend;
  backend.crash();
  await sleep(forMilliseconds);
  targets.deregister(id);
  await backend.start();
  targets.register(backend);
  over();
}

async function _replaceBackend(
  backend: SoakBackend,
  targets: FaultTargets,
): Promise<void> {
  if (backend.isDraining) return;
  const over = targets.begin("fleet", true);
  const { id } = backend;
  backend.isDraining = true;
  targets.register(backend);
  targets.noteDrain(id);
  await sleep(DRAIN_MILLISECONDS);
  // A crash in the meantime has started another life already.
  if (backend.id === id) {
    targets.deregister(id);
    backend.crash();
    await backend.start();
    targets.register(backend);
  }
  over();
}

const _APPLY: Readonly<Record<FaultKind, _Apply>> = {
  router_killed: ({ target }, targets) =>
    _killRouter(_pick(targets.routers, target), targets),
  async router_stopped({ target }, targets) {
    const router = _pick(targets.routers, target);
    const over = targets.begin(router.settings.host, true);
    await router.restart("terminate", RESTART_LIMIT_MILLISECONDS);
    over();
  },
  async router_paused({ target, forMilliseconds }, targets) {
    const router = _pick(targets.routers, target);
    const over = targets.begin(router.settings.host, false);
    router.signal("SIGSTOP");
    await sleep(forMilliseconds);
    router.signal("SIGCONT");
    over();
  },
  async router_reloaded({ target, variant }, targets) {
    const router = _pick(targets.routers, target);
    const over = targets.begin(router.settings.host, true);
    await router.rewriteSettings(_pick(RETRY_ALLOWANCES, variant));
    if (variant % 2 === 0) router.signal("SIGHUP");
    over();
  },
  async all_routers_killed(_fault, targets) {
    await Promise.all(
      targets.routers.map((router) => _killRouter(router, targets)),
    );
  },
  backend_crashed: (fault, targets) =>
    _crashBackend(_pick(targets.backends, fault.target), fault, targets),
  backend_replaced: ({ target }, targets) =>
    _replaceBackend(_pick(targets.backends, target), targets),
  async backend_fails({ target, variant, forMilliseconds }, targets) {
    const backend = _pick(targets.backends, target);
    const over = targets.begin("backends", false);
    backend.fault = _pick(BACKEND_FAULTS, variant);
    await sleep(forMilliseconds);
    backend.fault = "none";
    over();
  },
  async backend_link({ target, variant, forMilliseconds }, targets) {
    const { proxy } = _pick(targets.backends, target);
    const over = targets.begin("backends", false);
    proxy.setFault(_pick(LINK_FAULTS, variant));
    await sleep(forMilliseconds);
    proxy.setFault("none");
    over();
  },
  async router_link({ target, variant, forMilliseconds }, targets) {
    const { proxy, settings } = _pick(targets.routers, target);
    const over = targets.begin(settings.host, false);
    proxy.setFault(_pick(LINK_FAULTS, variant));
    await sleep(forMilliseconds);
    proxy.setFault("none");
    over();
  },
  async store_fails({ target, variant, forMilliseconds }, targets) {
    const { store, storeProxy } = targets;
    const over = targets.begin("store", false);
    const isOnPath = target % 2 === 0;
    if (isOnPath) storeProxy.setFault(_pick(LINK_FAULTS, variant));
    else store.setFault(_pick(STORE_FAULTS, variant));
    await sleep(forMilliseconds);
    if (isOnPath) storeProxy.setFault("none");
    else store.setFault("none");
    over();
  },
  async store_forgets(_fault, targets) {
    const over = targets.begin("store", false);
    targets.store.forgetHistory();
    over();
  },
  async configuration_changes(_fault, targets) {
    const over = targets.begin("fleet", true);
    targets.changeConfiguration();
    over();
  },
  async key_revoked(_fault, targets) {
    const over = targets.begin("fleet", true);
    await targets.replaceKey();
    over();
  },
};

/** Carries out one fault; resolves when it is over. */
export async function applyFault(
  fault: ScheduledFault,
  targets: FaultTargets,
): Promise<void> {
  await _APPLY[fault.kind](fault, targets);
}
