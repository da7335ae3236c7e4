/**
 * Observes backend servers and broadcasts state changes. Only the owner of a
 * server probes it, so the number of probes does not grow with the fleet. The
 * other routers receive changes as messages and recover lost ones by comparing
 * digests.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { ownerOf } from "./server_ownership.ts";
import type { BackendClient } from "./backend_client.ts";
import type { ChatHomeTask } from "./chat_home_task.ts";
import type { ConfigurationView } from "./configuration_view.ts";
import {
  type BackendStateReport,
  BackendStates,
} from "./core/backend_state.ts";
import type { ApplicationError } from "./core/errors.ts";
import type { BackendServer, Fleet } from "./core/fleet_schema.ts";
import type { FlapDamping } from "./core/flap_damping.ts";
import {
  type BackendServerId,
  brandId,
  type ChatId,
  type SocketAddress,
  type WorkspaceId,
} from "./core/ids.ts";
import type { RandomSource } from "./core/random.ts";
import { versionName } from "./core/routing_index.ts";
import type { EngineState } from "./engine_protocol.ts";
import type { Member, MembershipView } from "./membership_view.ts";
import type { PeerNetwork } from "./peer_network.ts";
import { Task } from "./task.ts";
import type { Subscription, TimerService } from "./timer_service.ts";

/** Observation period; a lost engine is detected within three periods. */
const OBSERVE_PERIOD_MILLISECONDS = 1_000;
/** One failure may be a lost packet; after two in a row a server is down. */
const FAILURES_UNTIL_DOWN = 2;
const REPAIR_PERIOD_MILLISECONDS = 10_000;
const REPAIR_TIMEOUT_MILLISECONDS = 2_000;
const HEALTH_DEADLINE_MILLISECONDS = 1_000;

const _reportTupleSchema = z.tuple([
  z.string(),
  z.number(),
  z.boolean(),
  z.string(),
]);
const _messageSchema = z.object({
  digest: z.string().optional(),
  reports: z.array(_reportTupleSchema).optional(),
});

type _ReportTuple = z.infer<typeof _reportTupleSchema>;

/** Options of the backend state task. */
export interface BackendStateTaskOptions {
  readonly network: PeerNetwork;
  readonly members: MembershipView;
  readonly configuration: ConfigurationView;
  readonly backends: BackendClient;
  readonly chatHome: ChatHomeTask;
  readonly flapDamping: FlapDamping;
  readonly timers: TimerService;
  readonly random: RandomSource;
}

interface _Observation {
  failures: number;
  isRunning: boolean;
  /** Sequence of the last cache event read; undefined before the first read. */
  cacheSequence: number | undefined;
}

function _toTuple(report: BackendStateReport): _ReportTuple {
  const { backendServer, observedAt, isUp, versions } = report;
  return [backendServer, observedAt, isUp, versions.join(",")];
}

function _fromTuple(tuple: _ReportTuple): BackendStateReport {
  const [backendServer, observedAt, isUp, versions] = tuple;
  return {
    backendServer: brandId<BackendServerId>(backendServer),
    observedAt,
    isUp,
    versions: versions.split(",").filter((version) => version !== ""),
  };
}

function _servingVersions(state: EngineState): string[] {
  const serving = state.items.filter((item) => item.state === "serving");
  return serving
    .map(({ model, version, adapter }) =>
      versionName(adapter ?? model, version)
    )
    .sort();
}

/** Observes the servers that this router owns. */
export class BackendStateTask extends Task {
  override readonly name = "backend_state";
  readonly states = new BackendStates();
  readonly #options: BackendStateTaskOptions;
  readonly #observations = new Map<BackendServerId, _Observation>();
  /** Cached server owners; recomputed when the membership changes. */
  readonly #owners = new Map<BackendServerId, Member | undefined>();
  #subscriptions: Subscription[] = [];

  constructor(options: BackendStateTaskOptions) {
    super();
    this.#options = options;
  }

  override async start(): Promise<void> {
    const { network, members, timers, configuration } = this.#options;
    members.onChange(() => this.#owners.clear());
    network.handle("backend.state", (body) => this.#handleMessage(body));
    configuration.onChange(({ fleet }) => this.#retainServersOf(fleet));
    this.#subscriptions = [
      timers.every(
        OBSERVE_PERIOD_MILLISECONDS,
        "backend_state.observe",
        () => this.#observeOwnedServers(),
      ),
      timers.every(
        REPAIR_PERIOD_MILLISECONDS,
        "backend_state.repair",
        () => void this.repair(),
      ),
    ];
  }

  override async stop(): Promise<void> {
    for (const subscription of this.#subscriptions) subscription.cancel();
  }

  override describe(): unknown {
    return {
      observed: this.#observations.size,
      reports: this.states.reports(),
    };
  }

  /** Merges the reports of a random member if its digest differs. */
  async repair(): Promise<void> {
    const { network, random } = this.#options;
    const others = this.#otherMembers();
    const peer = others[random.integer(others.length)];
    if (!peer) return;
    const reply = await network.request(
      peer.address,
      "backend.state",
      { digest: this.states.digest() },
      REPAIR_TIMEOUT_MILLISECONDS,
    );
    if (reply.isOk()) this.#merge(reply.value);
  }

  #retainServersOf(fleet: Fleet): void {
    function isKept(id: BackendServerId): boolean {
      return Object.hasOwn(fleet.backendServers, id);
    }
    this.states.retain(isKept);
    for (const id of this.#owners.keys()) {
      if (!isKept(id)) this.#owners.delete(id);
    }
    this.#options.flapDamping.retain(isKept);
  }

  #otherMembers() {
    const { members } = this.#options;
    const self = members.self().incarnation;
    return members.liveMembers().filter(({ incarnation }) =>
      incarnation !== self
    );
  }

  #handleMessage(body: unknown): unknown {
    const message = _messageSchema.safeParse(body);
    if (!message.success) return {};
    this.#merge(message.data);
    const { digest } = message.data;
    if (digest === undefined || digest === this.states.digest()) return {};
    return { reports: this.states.reports().map(_toTuple) };
  }

  #merge(body: unknown): void {
    const message = _messageSchema.safeParse(body);
    if (!message.success) return;
    for (const tuple of message.data.reports ?? []) {
      this.#acceptReport(_fromTuple(tuple));
    }
  }

  /** Stores a report and updates flap damping; true if the state changed. */
  #acceptReport(report: BackendStateReport): boolean {
    const isChanged = this.states.merge(report);
    if (!isChanged) return false;
    const { flapDamping, timers } = this.#options;
    const now = timers.clock.monotonicMilliseconds();
    if (report.isUp) flapDamping.serverUp(report.backendServer, now);
    else flapDamping.serverDown(report.backendServer, now);
    return true;
  }

  #observeOwnedServers(): void {
    const { members, configuration } = this.#options;
    const servers = configuration.current()?.fleet.backendServers ?? {};
    const self = members.self().incarnation;
    const live = members.liveMembers().filter((member) => !member.leaving);
    for (const [name, server] of Object.entries(servers)) {
      const id = brandId<BackendServerId>(name);
      if (this.#ownerOf(id, live)?.incarnation === self) {
        void this.#observe(id, server);
      } else this.#observations.delete(id);
    }
  }

  #ownerOf(
    id: BackendServerId,
    live: readonly Member[],
  ): Member | undefined {
    if (!this.#owners.has(id)) this.#owners.set(id, ownerOf(id, live));
    return this.#owners.get(id);
  }

  async #observe(id: BackendServerId, server: BackendServer): Promise<void> {
    const observation = this.#observations.get(id) ??
      { failures: 0, isRunning: false, cacheSequence: undefined };
    this.#observations.set(id, observation);
    if (observation.isRunning) return;
    observation.isRunning = true;
    const versions = await this.#readVersions(server);
    observation.failures = versions.isOk() ? 0 : observation.failures + 1;
    if (versions.isOk()) this.#publish(id, true, versions.value);
    else if (observation.failures >= FAILURES_UNTIL_DOWN) {
      this.#publish(id, false, []);
    }
    if (versions.isOk() && server.kind === "engine") {
      await this.#forwardEvictions(id, server, observation);
    }
    observation.isRunning = false;
  }

  async #readVersions(
    server: BackendServer,
  ): Promise<Result<string[], ApplicationError>> {
    const { backends, timers } = this.#options;
    const address = brandId<SocketAddress>(server.address);
    if (server.kind === "engine") {
      return (await backends.readState(address)).map(_servingVersions);
    }
    const response = await backends.call({
      address,
      method: "GET",
      path: "/healthz",
      idempotent: true,
      deadline: timers.clock.monotonicMilliseconds() +
        HEALTH_DEADLINE_MILLISECONDS,
    });
    return response.isOk() ? ok([]) : err(response.error);
  }

  #publish(
    id: BackendServerId,
    isUp: boolean,
    versions: readonly string[],
  ): void {
    const { network, timers } = this.#options;
    const observedAt = timers.clock.wallMilliseconds();
    const report = { backendServer: id, observedAt, isUp, versions };
    if (!this.#acceptReport(report)) return;
    for (const member of this.#otherMembers()) {
      network.send(member.address, "backend.state", {
        reports: [_toTuple(report)],
      });
    }
  }

  /**
   * Tells chat homes which chats an engine has evicted. Engines evict a prefix
   * from its start, so a chat that lost a block has lost its prefix. If events
   * are lost, the home keeps its entries, which decay with age.
   */
  async #forwardEvictions(
    id: BackendServerId,
    server: BackendServer,
    observation: _Observation,
  ): Promise<void> {
    const { backends, chatHome } = this.#options;
    const address = brandId<SocketAddress>(server.address);
    const read = await backends.readCacheEvents(
      address,
      observation.cacheSequence ?? 0,
    );
    if (read.isErr()) return;
    const isFirstRead = observation.cacheSequence === undefined;
    observation.cacheSequence = read.value.latest;
    if (isFirstRead) return;
    for (const event of read.value.events) {
      if (event.kind !== "removed") continue;
      const separator = event.chat.indexOf("/");
      if (separator < 0) continue;
      const workspace = brandId<WorkspaceId>(event.chat.slice(0, separator));
      const chat = brandId<ChatId>(event.chat.slice(separator + 1));
      chatHome.remember(workspace, chat, id, 0);
    }
  }
}
