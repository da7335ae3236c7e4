/**
 * Acts as steward of the backend servers that the rendezvous hash assigns to
 * this router: polls their load, answers requests for slots, and keeps grants.
 */
import type { SlotReplyBody } from "./admission_messages.ts";
import {
  grantReferenceSchema,
  type RenewReplyBody,
  renewSchema,
  slotRequestSchema,
} from "./admission_messages.ts";
import type { ConfigurationView } from "./configuration_view.ts";
import type { HeldGrant } from "./core/admission.ts";
import type { BackendServerId, HostId } from "./core/ids.ts";
import type { ServerLoad } from "./core/load_summary.ts";
import { pickByRendezvous } from "./core/rendezvous.ts";
import {
  createSteward,
  refusalWithoutLoad,
  type SlotOutcome,
  type SlotRefusal,
  type SlotRequest,
  type Steward,
  type StewardSettings,
} from "./core/steward.ts";
import type { LoadSource } from "./load_source.ts";
import type { LoadTask } from "./load_task.ts";
import type { Member, MembershipView } from "./membership_view.ts";
import type { PeerNetwork } from "./peer_network.ts";
import { stewardSettingsOf } from "./steward_settings.ts";
import { Task } from "./task.ts";
import type { Subscription, TimerService } from "./timer_service.ts";

/** Period at which a steward reads the load of its backend servers. */
export const POLL_PERIOD_MILLISECONDS = 250;
const SETTLE_PERIOD_MILLISECONDS = 100;
const DUTY_DELAY_MILLISECONDS = 20;

/** The result of a request for a slot; granted if there is no refusal. */
export interface SlotResult {
  readonly refusal: SlotRefusal | undefined;
}

/** A grant as a message presents it, with its backend server. */
export interface PresentedGrant extends HeldGrant {
  readonly backendServer: BackendServerId;
}

/** Options of the admission task. */
export interface AdmissionTaskOptions {
  readonly members: MembershipView;
  readonly configuration: ConfigurationView;
  readonly network: PeerNetwork;
  readonly timers: TimerService;
  readonly loadSource: LoadSource;
  readonly loads: LoadTask;
}

/** The steward of a backend server among members that are not leaving. */
export function stewardOf(
  backendServer: BackendServerId,
  members: readonly Member[],
): Member | undefined {
  return pickByRendezvous(
    `steward/${backendServer}`,
    members,
    (member) => member.host,
  );
}

interface _Duty {
  readonly steward: Steward;
  readonly waiting: Map<string, (result: SlotResult) => void>;
  isReading: boolean;
}

function _replyOf({ refusal }: SlotResult): SlotReplyBody {
  if (!refusal) return {};
  return {
    reason: refusal.reason,
    load: refusal.loadTokens,
    mean: refusal.meanTokens,
    wait: refusal.expectedWaitMilliseconds,
  };
}

/** Owns the stewards that this router is responsible for. */
export class AdmissionTask extends Task {
  override readonly name = "admission";
  readonly #options: AdmissionTaskOptions;
  readonly #duties = new Map<BackendServerId, _Duty>();
  readonly #leaving = new Set<BackendServerId>();
  #subscriptions: Subscription[] = [];
  #dutyTimer: Subscription | undefined;
  #stopped = true;

  constructor(options: AdmissionTaskOptions) {
    super();
    this.#options = options;
  }

  override async start(): Promise<void> {
    const { members, configuration, network, timers, loads } = this.#options;
    this.#stopped = false;
    loads.reportFrom(() => this.#serverLoads());
    loads.onSummary(() => this.#readPools());
    members.onChange(() => this.#scheduleDuties());
    configuration.onChange(() => this.#assignDuties());
    network.handle("admission.request", (body, from) => {
      return this.#answerRequest(body, from.host);
    });
    network.handle("admission.release", (body) => {
      const parsed = grantReferenceSchema.safeParse(body);
      if (parsed.success) this.release(parsed.data.server, parsed.data.grant);
    });
    network.handle("admission.cancel", (body) => {
      const parsed = grantReferenceSchema.safeParse(body);
      if (parsed.success) this.cancel(parsed.data.server, parsed.data.grant);
    });
    network.handle("admission.renew", (body, from) => {
      return this.#answerRenew(body, from.host);
    });
    this.#subscriptions = [
      timers.every(
        POLL_PERIOD_MILLISECONDS,
        "admission.poll",
        () => this.#poll(),
      ),
      timers.every(
        SETTLE_PERIOD_MILLISECONDS,
        "admission.settle",
        () => this.#settleAll(),
      ),
    ];
    this.#assignDuties();
  }

  override async stop(): Promise<void> {
    this.#stopped = true;
    this.#dutyTimer?.cancel();
    for (const subscription of this.#subscriptions) subscription.cancel();
    this.#subscriptions = [];
    for (const server of [...this.#duties.keys()]) this.#drop(server);
  }

  override describe(): unknown {
    const stewards = [...this.#duties].map(([server, duty]) =>
      [server, duty.steward.describe()] as const
    );
    return {
      stewards: Object.fromEntries(stewards),
      leaving: [...this.#leaving],
    };
  }

  /** Whether this router is the steward of a backend server. */
  isSteward(backendServer: BackendServerId): boolean {
    return this.#duties.has(backendServer);
  }

  /** Marks a backend server as leaving; it is granted nothing from now on. */
  setLeaving(backendServer: BackendServerId, leaving: boolean): void {
    if (leaving) this.#leaving.add(backendServer);
    else this.#leaving.delete(backendServer);
    const duty = this.#duties.get(backendServer);
    const settings = this.#settingsOf(backendServer);
    if (!duty || !settings) return;
    duty.steward.configure(settings);
    this.#settle(duty);
  }

  /** Decides on a request as steward; waits if it is queued. */
  request(
    backendServer: BackendServerId,
    request: SlotRequest,
  ): Promise<SlotResult> {
    const duty = this.#duties.get(backendServer);
    if (!duty) {
      return Promise.resolve({ refusal: refusalWithoutLoad("not_steward") });
    }
    const decision = duty.steward.request(request, this.#now());
    if (decision.kind === "queued") {
      const outcome = new Promise<SlotResult>((resolve) => {
        duty.waiting.set(request.grantId, resolve);
      });
      this.#settle(duty);
      return outcome;
    }
    const refusal = decision.kind === "refused" ? decision.refusal : undefined;
    return Promise.resolve({ refusal });
  }

  /** Ends a grant. */
  release(backendServer: BackendServerId, grantId: string): void {
    const duty = this.#duties.get(backendServer);
    if (!duty) return;
    duty.steward.release(grantId, this.#now());
    this.#settle(duty);
  }

  /** Withdraws a request, whether it waits or was granted. */
  cancel(backendServer: BackendServerId, grantId: string): void {
    const duty = this.#duties.get(backendServer);
    if (!duty) return;
    duty.steward.cancel(grantId, this.#now());
    const refusal = refusalWithoutLoad("cancelled");
    duty.waiting.get(grantId)?.({ refusal });
    duty.waiting.delete(grantId);
    this.#settle(duty);
  }

  /** Renews grants; returns the servers that this router is no steward of. */
  renew(
    holder: HostId,
    grants: readonly PresentedGrant[],
  ): Set<BackendServerId> {
    const rejected = new Set<BackendServerId>();
    for (const grant of grants) {
      const duty = this.#duties.get(grant.backendServer);
      if (duty) duty.steward.renew(holder, [grant], this.#now());
      else rejected.add(grant.backendServer);
    }
    return rejected;
  }

  #now(): number {
    return this.#options.timers.clock.monotonicMilliseconds();
  }

  async #answerRequest(
    body: unknown,
    holder: HostId,
  ): Promise<SlotReplyBody> {
    const { server, grant, workspace, priority, weight, remaining, queue } =
      slotRequestSchema.parse(body);
    const result = await this.request(server, {
      grantId: grant,
      holder,
      workspace,
      priority,
      weightTokens: weight,
      deadlineMilliseconds: this.#now() + remaining,
      mayQueue: queue,
    });
    return _replyOf(result);
  }

  #answerRenew(body: unknown, holder: HostId): RenewReplyBody {
    const grants = renewSchema.parse(body).grants.map((
      [backendServer, grantId, workspace, weightTokens, heldMilliseconds],
    ) => ({
      backendServer,
      grantId,
      workspace,
      weightTokens,
      heldMilliseconds,
    }));
    return { rejected: [...this.renew(holder, grants)] };
  }

  #settingsOf(backendServer: BackendServerId): StewardSettings | undefined {
    const snapshot = this.#options.configuration.current();
    return snapshot && stewardSettingsOf(
      backendServer,
      snapshot,
      this.#leaving.has(backendServer),
    );
  }

  /** Many members may change at once; duties are assigned once after them. */
  #scheduleDuties(): void {
    if (this.#stopped || this.#dutyTimer) return;
    this.#dutyTimer = this.#options.timers.after(
      DUTY_DELAY_MILLISECONDS,
      "admission.duties",
      () => {
        this.#dutyTimer = undefined;
        this.#assignDuties();
      },
    );
  }

  #assignDuties(): void {
    if (this.#stopped) return;
    const { members, configuration } = this.#options;
    const live = members.liveMembers().filter((member) => !member.leaving);
    const { host } = members.self();
    const servers = configuration.current()?.fleet.backendServers ?? {};
    const owned = new Set<BackendServerId>();
    for (const server of Object.keys(servers) as BackendServerId[]) {
      if (stewardOf(server, live)?.host !== host) continue;
      owned.add(server);
      const settings = this.#settingsOf(server);
      if (settings) this.#adopt(server, settings);
    }
    for (const server of [...this.#duties.keys()]) {
      if (!owned.has(server)) this.#drop(server);
    }
  }

  #adopt(server: BackendServerId, settings: StewardSettings): void {
    const existing = this.#duties.get(server);
    if (existing) {
      existing.steward.configure(settings);
      this.#settle(existing);
      return;
    }
    const duty: _Duty = {
      steward: createSteward(settings),
      waiting: new Map(),
      isReading: false,
    };
    this.#duties.set(server, duty);
    this.#readPool(server, duty);
    if (!settings.countsGrantsOnly) void this.#readLoad(server, duty);
  }

  #drop(server: BackendServerId): void {
    const duty = this.#duties.get(server);
    if (!duty) return;
    this.#duties.delete(server);
    this.#resolve(duty, duty.steward.close("not_steward"));
  }

  #poll(): void {
    for (const [server, duty] of this.#duties) {
      if (!duty.isReading && !this.#countsGrantsOnly(server)) {
        void this.#readLoad(server, duty);
      }
    }
  }

  #countsGrantsOnly(server: BackendServerId): boolean {
    return this.#settingsOf(server)?.countsGrantsOnly ?? false;
  }

  /** The age counts from before the read, as the reply may be delayed. */
  async #readLoad(server: BackendServerId, duty: _Duty): Promise<void> {
    duty.isReading = true;
    const startedAt = this.#now();
    const result = await this.#options.loadSource.readLoad(server);
    duty.isReading = false;
    if (result.isErr()) return;
    const now = this.#now();
    const ageMilliseconds = result.value.ageMilliseconds + now - startedAt;
    duty.steward.recordLoad({ ...result.value, ageMilliseconds }, now);
    this.#settle(duty);
  }

  #readPool(server: BackendServerId, duty: _Duty): void {
    const { loads } = this.#options;
    const pool = loads.catalogue().byServer.get(server)?.pool;
    duty.steward.setPool(
      pool === undefined ? undefined : loads.poolLoad(pool),
    );
  }

  #readPools(): void {
    for (const [server, duty] of this.#duties) {
      this.#readPool(server, duty);
      this.#settle(duty);
    }
  }

  #settleAll(): void {
    for (const duty of this.#duties.values()) this.#settle(duty);
  }

  #settle(duty: _Duty): void {
    this.#resolve(duty, duty.steward.settle(this.#now()));
  }

  #resolve(duty: _Duty, outcomes: readonly SlotOutcome[]): void {
    for (const { grantId, refusal } of outcomes) {
      duty.waiting.get(grantId)?.({ refusal });
      duty.waiting.delete(grantId);
    }
  }

  /** Servers that take no new work stay out of the mean of their pool. */
  #serverLoads(): ServerLoad[] {
    const catalogue = this.#options.loads.catalogue();
    const loads: ServerLoad[] = [];
    for (const [server, { steward }] of this.#duties) {
      const pooled = catalogue.byServer.get(server);
      const accepting = this.#settingsOf(server)?.accepting === true;
      if (!pooled || !accepting || !steward.isLoadKnown(this.#now())) continue;
      loads.push({ ...pooled, tokens: steward.loadTokens() });
    }
    return loads;
  }
}
