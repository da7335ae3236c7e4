/**
 * Peer tasks of many gateways over an in-memory network in simulated time, with
 * crashes and network partitions. Tests use it for fleets that are too large
 * for one machine.
 */
import { setImmediate } from "node:timers/promises";
import { err, ok, type Result } from "neverthrow";
import { type ApplicationError, createError } from "../src/core/errors.ts";
import {
  createFleetLoad,
  type FleetLoad,
} from "../src/core/load_control/fleet_load.ts";
import {
  type BackendServerId,
  brandId,
  type DataCentreId,
  type HostId,
  type IncarnationId,
  type SocketAddress,
} from "../src/core/ids.ts";
import {
  createPromptCrashes,
  type PromptCrashes,
} from "../src/core/prompt_crashes.ts";
import { createPromptDirectory } from "../src/core/prompt_directory.ts";
import {
  createPromptReads,
  type PromptReads,
} from "../src/core/load_control/prompt_reads.ts";
import { createSeededRandom } from "../src/core/random.ts";
import {
  createServerRateLimits,
  type ServerRateLimits,
} from "../src/core/load_control/server_rate_limits.ts";
import {
  createServerWarmUp,
  type ServerWarmUp,
} from "../src/core/load_control/server_warm_up.ts";
import {
  createServerLoadNotices,
  type ServerLoadNotices,
} from "../src/core/load_control/server_load_notices.ts";
import { createServerNotices } from "../src/core/server_notices.ts";
import {
  createServerOutcomes,
  type ServerOutcomes,
} from "../src/core/server_outcomes.ts";
import { createDecisionLog } from "../src/decision_log.ts";
import {
  createGatewayPeerTask,
  type GatewayPeerTask,
} from "../src/gateway_peer_task.ts";
import {
  createGatewayStateTask,
  type GatewayStateTask,
} from "../src/gateway_state_task.ts";
import {
  type PeerCounters,
  type PeerHandler,
  type PeerIdentity,
  type PeerMessageKind,
} from "../src/peer_network.ts";
import { warmUpRateOf } from "../src/server_knowledge.ts";
import {
  createManualTimerService,
  type ManualTimerService,
} from "../src/timer_service.ts";
import { MemoryFleet, MemoryFleetStore } from "./memory_fleet_store.ts";
import { createMemoryOutput } from "./memory_output.ts";
import { testServer } from "./registered_servers.ts";
import {
  createPeerCounters,
  StandInPeerNetwork,
} from "./stand_in_peer_network.ts";

const STEP_MILLISECONDS = 25;
const MESSAGE_DELAY_MILLISECONDS = 1;

/** One simulated router. */
export interface SimulatedGateway {
  readonly identity: PeerIdentity;
  readonly callerAddress: SocketAddress;
  readonly peers: GatewayPeerTask;
  readonly load: FleetLoad;
  readonly outcomes: ServerOutcomes;
  readonly crashes: PromptCrashes;
  readonly rateLimits: ServerRateLimits;
  readonly warmUp: ServerWarmUp;
  readonly loadNotices: ServerLoadNotices;
  readonly promptReads: PromptReads;
  readonly state: GatewayStateTask;
  readonly store: MemoryFleetStore;
  readonly counters: PeerCounters;
  isServing: boolean;
  isAlive: boolean;
  /** Peers with which messages are dropped in both directions. */
  readonly blocked: Set<SocketAddress>;
}

/** Fleet size and router capacities. */
export interface SimulatedFleetOptions {
  readonly routers: number;
  readonly dataCentres: number;
  /** Returns the capacity of a router by its index; 1 by default. */
  readonly capacity?: (index: number) => number;
  /** Bound of an evacuation; without it, the routers read no evacuations. */
  readonly evacuateMilliseconds?: number;
}

class _Network extends StandInPeerNetwork {
  readonly handlers = new Map<string, PeerHandler>();
  readonly #fleet: SimulatedGatewayFleet;
  readonly #router: () => SimulatedGateway;

  constructor(fleet: SimulatedGatewayFleet, router: () => SimulatedGateway) {
    super();
    this.#fleet = fleet;
    this.#router = router;
  }

  override async start(): Promise<SocketAddress> {
    return this.#router().identity.address;
  }
  override handle(kind: PeerMessageKind, handler: PeerHandler): void {
    this.handlers.set(kind, handler);
  }
  override counters(): PeerCounters {
    return this.#router().counters;
  }

  override send(to: SocketAddress, kind: PeerMessageKind, body: unknown): void {
    const hasConfiguration = kind === "gateway.configuration" &&
      (body as { configuration?: unknown }).configuration !== undefined;
    if (hasConfiguration) this.#fleet.configurationCopies++;
    this.#fleet.deliver(this.#router(), to, () => {
      this.#fleet.networkOf(to)?.handlers.get(kind)?.(
        structuredClone(body),
        this.#router().identity,
      );
    });
  }

  override async request(
    to: SocketAddress,
    kind: PeerMessageKind,
    body: unknown,
    timeoutMilliseconds: number,
  ): Promise<Result<unknown, ApplicationError>> {
    return await new Promise((resolve) => {
      this.#fleet.timers.after(timeoutMilliseconds, "request timeout", () => {
        resolve(err(createError("peer_unreachable", to)));
      });
      const isSent = this.#fleet.deliver(this.#router(), to, () => {
        const handler = this.#fleet.networkOf(to)?.handlers.get(kind);
        const reply = handler?.(body, this.#router().identity);
        if (kind === "gateway.state") this.#fleet.configurationCopies++;
        resolve(ok(structuredClone(reply)));
      });
      if (!isSent) resolve(err(createError("peer_unreachable", to)));
    });
  }
}

/** Runs the peer tasks of a fleet in simulated time. */
export class SimulatedGatewayFleet {
  readonly timers: ManualTimerService = createManualTimerService();
  readonly memory = new MemoryFleet();
  readonly routers: SimulatedGateway[] = [];
  /** Number of messages and replies that carried a full configuration. */
  configurationCopies = 0;
  /** Returns the delays of a message's copies; none if the message is lost. */
  chooseDelays: () => readonly number[] = () => [MESSAGE_DELAY_MILLISECONDS];
  readonly #options: SimulatedFleetOptions;
  readonly #networks = new Map<SocketAddress, _Network>();
  readonly #byAddress = new Map<SocketAddress, SimulatedGateway>();

  constructor(options: SimulatedFleetOptions) {
    this.#options = options;
    this.addRouters(options.routers);
  }

  /** Adds routers that are not started yet, and returns them. */
  addRouters(count: number): SimulatedGateway[] {
    const first = this.routers.length;
    for (let index = first; index < first + count; index++) {
      this.#addRouter(index, this.#options);
    }
    return this.routers.slice(first);
  }

  /** Starts routers, all by default, one by one with simulated pauses. */
  async start(
    pauseMilliseconds = 0,
    routers: readonly SimulatedGateway[] = this.routers,
  ): Promise<void> {
    for (const router of routers) {
      await this.startRouter(router);
      await this.advance(pauseMilliseconds);
    }
  }

  /** Starts a router that was not started with the fleet. */
  async startRouter(router: SimulatedGateway): Promise<void> {
    router.isAlive = true;
    await router.state.start();
    await router.peers.start();
  }

  /**
   * Stops all tasks. The server change wakes store watches, which wait in real
   * time.
   */
  async stop(): Promise<void> {
    for (const { state, peers, store } of this.routers) {
      store.setFailing(true);
      await peers.stop();
      await state.stop();
    }
    this.memory.setServer(testServer("end"));
  }

  /** Advances simulated time and settles pending promises. */
  async advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      this.timers.advance(STEP_MILLISECONDS);
      await setImmediate();
    }
  }

  /** Crashes a router: it stops without notifying its peers. */
  kill(router: SimulatedGateway): void {
    router.isAlive = false;
    router.store.setFailing(true);
  }

  alive(): SimulatedGateway[] {
    return this.routers.filter(({ isAlive }) => isAlive);
  }

  /** Total number of messages that the routers have sent. */
  messagesSent(): number {
    return this.routers.reduce(
      (sum, { counters }) => sum + counters.messagesSent,
      0,
    );
  }

  networkOf(address: SocketAddress): _Network | undefined {
    return this.#networks.get(address);
  }

  /**
   * Delivers a message unless a router is down or they are partitioned. Returns
   * false if it could not be sent.
   */
  deliver(
    from: SimulatedGateway,
    to: SocketAddress,
    onArrival: () => void,
  ): boolean {
    const target = this.#byAddress.get(to);
    if (!from.isAlive || !target) return false;
    from.counters.messagesSent++;
    for (const delay of this.chooseDelays()) {
      this.timers.after(delay, "message", () => {
        const isPartitioned = from.blocked.has(to) ||
          target.blocked.has(from.identity.address);
        if (target.isAlive && !isPartitioned) onArrival();
      });
    }
    return true;
  }

  #addRouter(index: number, options: SimulatedFleetOptions): void {
    const host = brandId<HostId>(`entry-${index}`);
    const dataCentre = brandId<DataCentreId>(
      `data-centre-${index % options.dataCentres}`,
    );
    const address = brandId<SocketAddress>(`10.0.0.${index}:1`);
    const callerAddress = brandId<SocketAddress>(`10.0.1.${index}:80`);
    const incarnation = brandId<IncarnationId>(`life-${index}`);
    const { timers } = this;
    const store = new MemoryFleetStore(this.memory, timers);
    const random = createSeededRandom(index + 1);
    const log = createDecisionLog({
      clock: timers.clock,
      output: createMemoryOutput([]),
      base: {},
    });
    const state = createGatewayStateTask({
      store,
      timers,
      random,
      log,
      evacuateMilliseconds: options.evacuateMilliseconds,
    });
    const load = createFleetLoad();
    const loadNotices = createServerLoadNotices();
    const promptReads = createPromptReads();
    const outcomes = createServerOutcomes();
    const crashes = createPromptCrashes();
    const rateLimits = createServerRateLimits();
    const warmUp = createServerWarmUp();
    state.onChange(() =>
      warmUp.update(
        state.registry.list().servers,
        (service) => warmUpRateOf(state, service),
        timers.clock.monotonicMilliseconds(),
      )
    );
    const network = new _Network(this, () => router);
    const peers = createGatewayPeerTask({
      network,
      store,
      timers,
      random,
      log,
      state,
      load,
      outcomes,
      directory: createPromptDirectory(),
      crashes,
      notices: createServerNotices(),
      loadNotices,
      promptReads,
      rateLimits,
      warmUp,
      host,
      dataCentre,
      capacity: options.capacity?.(index) ?? 1,
      address,
      callerAddress,
      seeds: [brandId<SocketAddress>("10.0.0.0:1")],
      isServing: () => router.isServing,
      busyShare: () => 0.1,
    });
    const router: SimulatedGateway = {
      identity: { host, dataCentre, incarnation, address },
      callerAddress,
      peers,
      load,
      outcomes,
      crashes,
      rateLimits,
      warmUp,
      loadNotices,
      promptReads,
      state,
      store,
      counters: createPeerCounters(),
      isServing: true,
      isAlive: false,
      blocked: new Set(),
    };
    this.#networks.set(address, network);
    this.#byAddress.set(address, router);
    this.routers.push(router);
  }
}

/** Records a request's start at each of the routers. */
export function startRequests(
  routers: readonly SimulatedGateway[],
  server: BackendServerId,
): void {
  for (const { load } of routers) load.requestStarted(server);
}
