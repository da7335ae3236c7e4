/**
 * Observes backend servers and spreads what changed. Each server is observed by
 * its steward's router only, so the probes of a server do not grow with the
 * fleet; the others learn of changes by message and repair gaps by digest.
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

/** Period of observations; an engine that is lost is known within three of them. */
const OBSERVE_PERIOD_MILLISECONDS = 1_000;
/** One failed observation may be a lost packet; two in a row count as down. */
const FAILURES_UNTIL_DOWN = 2;
const REPAIR_PERIOD_MILLISECONDS = 10_000;
const REPAIR_TIMEOUT_MILLISECONDS = 2_000;
const HEALTH_DEADLINE_MILLISECONDS = 1_000;

const _reportTuple = z.tuple([z.string(), z.number(), z.boolean(), z.string()]);
const _messageSchema = z.object({
  digest: z.string().optional(),
  reports: z.array(_reportTuple).optional(),
});

type _ReportTuple = z.infer<typeof _reportTuple>;

/** What the task needs. */
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
  isBusy: boolean;
  /** Last cache event that was read; undefined before the first reading. */
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

/** Observes the servers this router is the steward of. */
export class BackendStateTask extends Task {
  override readonly name = "backend_state";
  readonly states = new BackendStates();
  readonly #options: BackendStateTaskOptions;
  readonly #observations = new Map<BackendServerId, _Observation>();
  /** Stewards of servers among the present members; ranked once per change. */
  readonly #owners = new Map<BackendServerId, Member | undefined>();
  #subscriptions: Subscription[] = [];

  constructor(options: BackendStateTaskOptions) {
    super();
    this.#options = options;
  }

  override async start(): Promise<void> {
    const { network, members, timers, configuration } = this.#options;
    members.onChange(() => this.#owners.clear());
    network.handle("backend.state", (body) => this.#handle(body));
    configuration.onChange(({ fleet }) => this.#retainServersOf(fleet));
    this.#subscriptions = [
      timers.every(
        OBSERVE_PERIOD_MILLISECONDS,
        "backend_state.observe",
        () => this.#observeAll(),
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

  /** Compares with a random member and takes what differs. */
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

  #handle(body: unknown): unknown {
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
      this.#accept(_fromTuple(tuple));
    }
  }

  /** Stores a report and lets flapping servers be held out; true if it is news. */
  #accept(report: BackendStateReport): boolean {
    const isNews = this.states.merge(report);
    if (!isNews) return false;
    const { flapDamping: holdOut, timers } = this.#options;
    const now = timers.clock.monotonicMilliseconds();
    if (report.isUp) holdOut.serverUp(report.backendServer, now);
    else holdOut.serverDown(report.backendServer, now);
    return true;
  }

  #observeAll(): void {
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
      { failures: 0, isBusy: false, cacheSequence: undefined };
    this.#observations.set(id, observation);
    if (observation.isBusy) return;
    observation.isBusy = true;
    const versions = await this.#readVersions(server);
    observation.failures = versions.isOk() ? 0 : observation.failures + 1;
    if (versions.isOk()) this.#publish(id, true, versions.value);
    else if (observation.failures >= FAILURES_UNTIL_DOWN) {
      this.#publish(id, false, []);
    }
    if (versions.isOk() && server.kind === "engine") {
      await this.#forwardEvictions(id, server, observation);
    }
    observation.isBusy = false;
  }

  async #readVersions(
    server: BackendServer,
  ): Promise<Result<string[], ApplicationError>> {
    const { backends, timers } = this.#options;
    const address = brandId<SocketAddress>(server.address);
    if (server.kind === "engine") {
      return (await backends.readState(address)).map(_servingVersions);
    }
    const answer = await backends.call({
      address,
      method: "GET",
      path: "/healthz",
      idempotent: true,
      deadline: timers.clock.monotonicMilliseconds() +
        HEALTH_DEADLINE_MILLISECONDS,
    });
    return answer.isOk() ? ok([]) : err(answer.error);
  }

  #publish(
    id: BackendServerId,
    isUp: boolean,
    versions: readonly string[],
  ): void {
    const { network, timers } = this.#options;
    const observedAt = timers.clock.wallMilliseconds();
    const report = { backendServer: id, observedAt, isUp, versions };
    if (!this.#accept(report)) return;
    for (const member of this.#otherMembers()) {
      network.send(member.address, "backend.state", {
        reports: [_toTuple(report)],
      });
    }
  }

  /**
   * Tells chat homes which chats an engine has dropped. Engines drop a prefix
   * from its start, so a chat that lost a block has lost its prefix. Lost events
   * leave the home's memory as it is, which decays with age.
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
    const isFirstReading = observation.cacheSequence === undefined;
    observation.cacheSequence = read.value.latest;
    if (isFirstReading) return;
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
