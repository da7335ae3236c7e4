/** One soak run: starts the fleet, injects faults and checks the guarantees. */
import { mkdir } from "node:fs/promises";
import { setTimeout as sleep } from "node:timers/promises";
import {
  putConfiguration,
  putServer,
  removeServer,
  serverNames,
  SOAK_HEADER_NAMES,
  type SoakServer,
  StoreStandIn,
} from "../platform/soak_fleet.ts";
import { createSeededRandom } from "../src/core/random.ts";
import { Disturbances } from "./disturbances.ts";
import {
  EVACUATE_MILLISECONDS,
  Evacuations,
  type EvacuationSpan,
} from "./evacuations.ts";
import { type FaultKind, scheduleFaults } from "./fault_schedule.ts";
import { LARGEST_BODY_BYTES } from "./greedy_client.ts";
import { LoopbackProxy } from "./loopback_proxy.ts";
import { SMALLEST_MACHINE } from "./memory_guarantees.ts";
import { recordMemoryPeaks } from "./memory_peaks.ts";
import {
  type Arrival,
  type BackendContext,
  type NamedRateLimit,
  type Notice,
  type Run,
  SoakBackend,
} from "./soak_backends.ts";
import { createCallers, SHORT_CALLER_COUNT } from "./caller_groups.ts";
import { ColdService, type ColdSpan } from "./cold_service.ts";
import { type Attempt, HOST_NAME } from "./soak_callers.ts";
import type { FaultTargets } from "./fault_targets.ts";
import { applyFault } from "./soak_faults.ts";
import {
  createRouters,
  DATA_CENTRES,
  type SoakRouter,
} from "./soak_routers.ts";
import {
  COLD_ROUTE,
  COLD_SERVICE,
  LONG_ROUTES,
  ROUTE_TIMEOUT_MILLISECONDS,
  SHORT_ROUTES,
} from "./soak_routes.ts";
import type { GreedyRequest } from "./soak_record.ts";
import { createSoakResult, type SoakResult } from "./soak_result.ts";
import { recordSilences, recordStalls, type Stall } from "./stalls.ts";
import type { StopSignal } from "./stop_guarantees.ts";

const BACKEND_COUNT = 5;
/** Many routers that start together on a busy machine need a minute and more. */
const START_TIMEOUT_MILLISECONDS = 150_000;
/** Fault-free time at the end, in which requests must succeed again. */
const RECOVERY_MILLISECONDS = 8_000;
/** Long requests begin no later, so that the last ones end soon after that time. */
const LONG_RECOVERY_MILLISECONDS = 4_000;
const MEAN_FAULT_INTERVAL_MILLISECONDS = 700;
const FIRST_CONFIGURATION_VERSION = 10;
/** Keeps the work of ordinary servers as it is when others are added. */
const COLD_SERVICE_SEED_OFFSET = 1_000_003;

/** Seed, size and faults of a soak run. */
export interface SoakOptions {
  readonly seed: number;
  readonly routers: number;
  /** Time during which faults are injected. */
  readonly faultMilliseconds: number;
  /** Words that start a router's program, after the one for Node.js. */
  readonly command: readonly string[];
  /** Folder for the logs of the routers. */
  readonly logFolder: string;
  /** Kinds of faults to inject; all by default. */
  readonly kinds?: readonly FaultKind[];
}

class _SoakRun {
  readonly #options: SoakOptions;
  readonly #startedAt = performance.now();
  readonly #stalls: Stall[] = [];
  readonly #store = new StoreStandIn();
  readonly #disturbances = new Disturbances();
  readonly #attempts: Attempt[] = [];
  readonly #greedyRequests: GreedyRequest[] = [];
  readonly #arrivals: Arrival[] = [];
  readonly #runs: Run[] = [];
  readonly #evacuationSpans: EvacuationSpan[] = [];
  readonly #evacuations = new Evacuations(
    this.#store,
    () => this.#now(),
    this.#evacuationSpans,
  );
  readonly #coldSpans: ColdSpan[] = [];
  readonly #memoryPeaks = new Map<string, number>();
  #coldService: ColdService | undefined;
  readonly #notices: Notice[] = [];
  readonly #rateLimits: NamedRateLimit[] = [];
  readonly #stops: StopSignal[] = [];
  readonly #unexpectedExits: string[] = [];
  readonly #revokedKeys = new Map<string, number>();
  readonly #drainedServers = new Map<string, number>();
  readonly #faults: string[] = [];
  #storeAddress = "";
  #storeProxy: LoopbackProxy | undefined;
  #routers: SoakRouter[] = [];
  #backends: SoakBackend[] = [];
  /** What the servers and the operator wrote last. */
  readonly #registered = new Map<string, SoakServer>();
  /** Keys that callers use. */
  #keys: readonly string[] = ["key-0"];
  /** Keys that are in force, also those that callers are about to use. */
  readonly #validKeys = new Set(this.#keys);
  #version = FIRST_CONFIGURATION_VERSION;

  constructor(options: SoakOptions) {
    this.#options = options;
  }

  async run(): Promise<SoakResult> {
    await mkdir(this.#options.logFolder, { recursive: true });
    const stopRecording = recordStalls(() => this.#now(), this.#stalls);
    try {
      await this.#start();
      const stopSampling = this.#plays("client_greedy")
        ? recordMemoryPeaks(this.#routers, this.#memoryPeaks)
        : () => undefined;
      await this.#runScenario().finally(stopSampling);
    } finally {
      stopRecording();
      await this.#stop();
    }
    return this.#createResult();
  }

  #now(): number {
    return performance.now() - this.#startedAt;
  }

  /** Whether the run may inject a kind of fault. */
  #plays(kind: FaultKind): boolean {
    return this.#options.kinds?.includes(kind) ?? true;
  }

  async #start(): Promise<void> {
    const { seed, routers, logFolder, command } = this.#options;
    this.#storeAddress = await this.#store.start();
    this.#storeProxy = new LoopbackProxy(() => this.#storeAddress);
    const storeProxyAddress = await this.#storeProxy.start();
    const context: BackendContext = {
      headerNames: SOAK_HEADER_NAMES,
      random: createSeededRandom(seed),
      now: () => this.#now(),
      arrivals: this.#arrivals,
      runs: this.#runs,
      notices: this.#notices,
      rateLimits: this.#rateLimits,
    };
    this.#backends = Array.from({ length: BACKEND_COUNT }, (_, index) => {
      const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length] ?? "";
      return new SoakBackend(context, `s${index}`, dataCentre);
    });
    for (const backend of this.#backends) {
      await backend.start();
      this.#register(backend);
    }
    if (this.#plays("servers_restart_cold")) {
      await this.#startColdService(context);
    }
    this.#putConfiguration();
    this.#routers = await createRouters(routers, command, {
      store: storeProxyAddress,
      ...(this.#plays("data_centre_evacuated")
        ? { evacuateMilliseconds: EVACUATE_MILLISECONDS }
        : {}),
      ...(this.#plays("client_greedy") ? SMALLEST_MACHINE : {}),
    });
    for (const router of this.#routers) {
      router.onUnexpectedExit = (cause) =>
        this.#unexpectedExits.push(
          `${router.settings.host} exited unexpectedly with ${cause} at ${
            Math.round(this.#now())
          } ms`,
        );
      router.onStopSignal = () =>
        this.#stops.push({ router: router.settings.host, at: this.#now() });
      await router.prepare(logFolder);
      router.start();
    }
    const ready = await Promise.all(
      this.#routers.map((router) =>
        router.waitUntilReady(START_TIMEOUT_MILLISECONDS)
      ),
    );
    const unready = this.#routers.filter((_router, index) => !ready[index])
      .map(({ settings }) => settings.host);
    if (unready.length > 0) throw new Error(`not ready: ${unready.join(", ")}`);
  }

  async #startColdService(context: BackendContext): Promise<void> {
    const random = createSeededRandom(
      this.#options.seed + COLD_SERVICE_SEED_OFFSET,
    );
    this.#coldService = new ColdService({ ...context, random }, {
      put: (server) => this.#putServer(server),
      remove: (id) => this.#deregister(id),
    }, this.#coldSpans);
    await this.#coldService.start();
  }

  async #runScenario(): Promise<void> {
    const { seed, faultMilliseconds, kinds } = this.#options;
    const callers = createCallers(seed, this.#coldService !== undefined, {
      headerNames: SOAK_HEADER_NAMES,
      now: () => this.#now(),
      routers: this.#routers,
      keys: () => this.#keys,
      attempts: this.#attempts,
    });
    const running = callers.map((caller) => caller.run());
    const faultsStartedAt = this.#now();
    const pending: Promise<void>[] = [];
    const schedule = scheduleFaults(
      seed,
      faultMilliseconds,
      MEAN_FAULT_INTERVAL_MILLISECONDS,
    ).filter(({ kind }) => !kinds || kinds.includes(kind));
    for (const fault of schedule) {
      await sleep(
        Math.max(0, faultsStartedAt + fault.atMilliseconds - this.#now()),
      );
      this.#faults.push(
        `${
          Math.round(this.#now())
        } ms ${fault.kind} ${fault.target} ${fault.variant} for ${fault.forMilliseconds} ms`,
      );
      pending.push(applyFault(fault, this.#targets()));
    }
    await Promise.all(pending);
    await sleep(LONG_RECOVERY_MILLISECONDS);
    for (const caller of callers.slice(SHORT_CALLER_COUNT)) caller.stop();
    await sleep(RECOVERY_MILLISECONDS - LONG_RECOVERY_MILLISECONDS);
    for (const caller of callers) caller.stop();
    await Promise.all(running);
  }

  #targets(): FaultTargets {
    return {
      routers: this.#routers,
      backends: this.#backends,
      coldService: this.#coldService,
      evacuations: this.#evacuations,
      store: this.#store,
      storeProxy: this.#storeProxy as LoopbackProxy,
      now: () => this.#now(),
      begin: (scope, isPlanned) => {
        const end = this.#disturbances.begin(scope, isPlanned, this.#now());
        return () => end(this.#now());
      },
      register: (backend) => this.#register(backend),
      registerAs: (name, backend) => this.#register(backend, name),
      deregister: (id) => this.#deregister(id),
      recordDrain: (id) => void this.#drainedServers.set(id, this.#now()),
      changeConfiguration: () => this.#putConfiguration(),
      writeAgain: () => this.#writeAgain(),
      keys: () => this.#keys,
      replaceKey: () => this.#replaceKey(),
      recordGreedy: (sent) => this.#greedyRequests.push(sent),
      suspendedCallers: {
        headerNames: SOAK_HEADER_NAMES,
        now: () => this.#now(),
        keys: () => this.#keys,
        attempts: this.#attempts,
      },
    };
  }

  #register(backend: SoakBackend, id = backend.id): void {
    this.#putServer({
      id,
      address: backend.address,
      dataCentre: backend.dataCentre,
      slots: backend.slots,
      isDraining: backend.isDraining,
      started: this.#registered.get(id)?.started ?? Date.now(),
    });
  }

  #putServer(server: SoakServer): void {
    this.#registered.set(server.id, server);
    putServer(this.#store, server);
  }

  #deregister(id: string): void {
    this.#registered.delete(id);
    removeServer(this.#store, id);
  }

  #putConfiguration(): void {
    this.#version += 2;
    this.#storeConfiguration();
  }

  #storeConfiguration(): void {
    putConfiguration(this.#store, this.#version, {
      hostName: HOST_NAME,
      routes: [
        ...SHORT_ROUTES,
        ...LONG_ROUTES,
        ...(this.#coldService ? [COLD_ROUTE] : []),
      ],
      ...(this.#coldService ? { coldService: COLD_SERVICE } : {}),
      ...(this.#plays("client_greedy")
        ? { maximumBodyBytes: LARGEST_BODY_BYTES }
        : {}),
      keys: [...this.#validKeys],
      timeoutMilliseconds: ROUTE_TIMEOUT_MILLISECONDS,
    });
  }

  /** Brings the store to what servers and the operator wrote last. */
  #writeAgain(): void {
    for (const name of serverNames(this.#store)) {
      if (!this.#registered.has(name)) removeServer(this.#store, name);
    }
    for (const server of this.#registered.values()) {
      putServer(this.#store, server);
    }
    this.#storeConfiguration();
    this.#evacuations.writeAgain();
  }

  /** Adds a key and revokes the old keys once callers no longer use them. */
  async #replaceKey(): Promise<void> {
    const added = `key-${this.#version}`;
    const old = this.#keys;
    this.#validKeys.add(added);
    this.#putConfiguration();
    await sleep(ROUTE_TIMEOUT_MILLISECONDS);
    this.#keys = [added];
    await sleep(ROUTE_TIMEOUT_MILLISECONDS);
    for (const key of old) this.#validKeys.delete(key);
    this.#putConfiguration();
    for (const key of old) this.#revokedKeys.set(key, this.#now());
  }

  async #stop(): Promise<void> {
    await Promise.all(this.#routers.map((router) => router.kill()));
    for (const router of this.#routers) router.stop();
    for (const backend of this.#backends) backend.stop();
    this.#coldService?.stop();
    this.#storeProxy?.stop();
    await this.#store.stop();
  }

  #createResult(): SoakResult {
    recordSilences(this.#stalls, this.#disturbances);
    const record = {
      attempts: this.#attempts,
      greedyRequests: this.#greedyRequests,
      arrivals: this.#arrivals,
      runs: this.#runs,
      coldSpans: this.#coldSpans,
      evacuations: this.#evacuationSpans,
      memoryPeaks: this.#memoryPeaks,
      notices: this.#notices,
      rateLimits: this.#rateLimits,
      disturbances: this.#disturbances,
      revokedKeys: this.#revokedKeys,
      drainedServers: this.#drainedServers,
      stops: this.#stops,
      unexpectedExits: this.#unexpectedExits,
      stalls: this.#stalls,
    };
    return createSoakResult(this.#options.seed, this.#faults, record);
  }
}

/** Runs the soak once and returns its counts and violations. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  return await new _SoakRun(options).run();
}
