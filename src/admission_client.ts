/**
 * The entry router's side of admission: asks stewards for slots, renews what it
 * holds, and presents its grants to a new steward when the steward changes.
 */
import {
  encodeGrantId,
  encodeGrants,
  encodeSlotRequest,
  grantIdOf,
  type GrantReferenceBody,
  type PresentedGrant,
  refusalOf,
  type RenewBody,
  renewReplySchema,
  slotReplySchema,
  type SlotRequestFields,
} from "./admission_messages.ts";
import type { AdmissionTask } from "./admission_task.ts";
import type { Priority } from "./core/fleet_schema.ts";
import type { BackendServerId, HostId, WorkspaceId } from "./core/ids.ts";
import { refusalWithoutLoad } from "./core/server_owner.ts";
import type { Member, MembershipView } from "./membership_view.ts";
import type { PeerNetwork } from "./peer_network.ts";
import { ownerOf, type SlotResult } from "./server_ownership.ts";
import { Task } from "./task.ts";
import type { Subscription, TimerService } from "./timer_service.ts";

/** Period at which held grants are renewed. */
export const RENEW_PERIOD_MILLISECONDS = 5_000;
const RENEW_RETRY_MILLISECONDS = 1_000;
const REPLY_TIMEOUT_MILLISECONDS = 1_000;
const RENEW_TIMEOUT_MILLISECONDS = 2_000;
/** Keeps a renewal well below the largest frame. */
const GRANTS_PER_RENEWAL = 2_000;

/** A request for a slot at one backend server. */
export interface SlotOptions {
  readonly backendServer: BackendServerId;
  readonly workspace: WorkspaceId;
  readonly priority: Priority;
  readonly weightTokens: number;
  /** When to stop waiting, by the monotonic clock of this router. */
  readonly deadlineMilliseconds: number;
  /** Whether to wait in the steward's queue if there is no room now. */
  readonly mayQueue: boolean;
  /** Withdraws the request, for example when the caller disconnects. */
  readonly signal?: AbortSignal;
}

/** A granted slot, to be released when the request has ended. */
export interface Slot {
  readonly grantId: string;
  readonly backendServer: BackendServerId;
}

/** A granted slot, or why there is none and how loaded the server is. */
export type SlotResponse =
  | { readonly granted: true; readonly slot: Slot }
  | {
    readonly granted: false;
    readonly refusal: NonNullable<SlotResult["refusal"]>;
  };

/** Options of the admission client. */
export interface AdmissionClientOptions {
  readonly members: MembershipView;
  readonly network: PeerNetwork;
  readonly timers: TimerService;
  /** The stewards of this router, called without the network. */
  readonly admission: AdmissionTask;
}

interface _Held {
  readonly backendServer: BackendServerId;
  readonly workspace: WorkspaceId;
  readonly weightTokens: number;
  readonly grantedAt: number;
  /** The steward that knows the grant; undefined until it is told. */
  steward: HostId | undefined;
}

/** Asks stewards for slots and keeps the grants that this router holds. */
export class AdmissionClient extends Task {
  override readonly name = "admission_client";
  readonly #options: AdmissionClientOptions;
  readonly #held = new Map<string, _Held>();
  readonly #owners = new Map<BackendServerId, Member | undefined>();
  #eligible: readonly Member[] | undefined;
  #subscriptions: Subscription[] = [];
  #retryTimer: Subscription | undefined;
  #created = 0;

  constructor(options: AdmissionClientOptions) {
    super();
    this.#options = options;
  }

  override async start(): Promise<void> {
    const { members, timers } = this.#options;
    members.onChange(() => this.#membersChanged());
    this.#subscriptions = [
      timers.every(
        RENEW_PERIOD_MILLISECONDS,
        "admission.renew",
        () => this.#renewHeld(),
      ),
    ];
  }

  override async stop(): Promise<void> {
    for (const subscription of this.#subscriptions) subscription.cancel();
    this.#retryTimer?.cancel();
    this.#subscriptions = [];
  }

  override describe(): unknown {
    return { heldGrants: this.#held.size, knownStewards: this.#owners.size };
  }

  /** Asks the steward of a backend server for a slot. */
  async requestSlot(options: SlotOptions): Promise<SlotResponse> {
    const { host, incarnation } = this.#options.members.self();
    const steward = this.#ownerOf(options.backendServer);
    const grantId = grantIdOf(incarnation, this.#created++);
    const withdraw = () => this.#withdraw(options.backendServer, grantId);
    options.signal?.addEventListener("abort", withdraw, { once: true });
    const result = await this.#ask(options, steward, grantId, host);
    options.signal?.removeEventListener("abort", withdraw);
    if (result.refusal) return { granted: false, refusal: result.refusal };
    if (options.signal?.aborted) {
      withdraw();
      return { granted: false, refusal: refusalWithoutLoad("cancelled") };
    }
    const { backendServer, workspace, weightTokens } = options;
    this.#held.set(grantId, {
      backendServer,
      workspace,
      weightTokens,
      grantedAt: this.#now(),
      steward: steward?.host,
    });
    return { granted: true, slot: { grantId, backendServer } };
  }

  /** Tokens of a workspace in flight through this router. */
  tokensOf(workspace: WorkspaceId): number {
    let tokens = 0;
    for (const held of this.#held.values()) {
      if (held.workspace === workspace) tokens += held.weightTokens;
    }
    return tokens;
  }

  /** Gives a slot back. */
  release(slot: Slot): void {
    if (!this.#held.delete(slot.grantId)) return;
    this.#tell("admission.release", slot.backendServer, slot.grantId);
  }

  #now(): number {
    return this.#options.timers.clock.monotonicMilliseconds();
  }

  #ownerOf(backendServer: BackendServerId): Member | undefined {
    if (this.#owners.has(backendServer)) {
      return this.#owners.get(backendServer);
    }
    this.#eligible ??= this.#options.members.liveMembers()
      .filter((member) => !member.leaving);
    const steward = ownerOf(backendServer, this.#eligible);
    this.#owners.set(backendServer, steward);
    return steward;
  }

  async #ask(
    options: SlotOptions,
    steward: Member | undefined,
    grantId: string,
    self: HostId,
  ): Promise<SlotResult> {
    const { backendServer, workspace, priority, weightTokens } = options;
    const remaining = options.deadlineMilliseconds - this.#now();
    if (options.signal?.aborted || remaining <= 0) {
      const reason = remaining <= 0 ? "deadline_exceeded" : "cancelled";
      return { refusal: refusalWithoutLoad(reason) };
    }
    if (!steward) return { refusal: refusalWithoutLoad("steward_unreachable") };
    if (steward.host === self) {
      return this.#options.admission.request(backendServer, {
        grantId,
        holder: self,
        workspace,
        priority,
        weightTokens,
        deadlineMilliseconds: options.deadlineMilliseconds,
        mayQueue: options.mayQueue,
      });
    }
    return this.#askPeer(steward, {
      server: backendServer,
      grantId,
      workspace,
      priority,
      weight: weightTokens,
      remaining,
      queue: options.mayQueue,
    });
  }

  /** A steward that does not answer may have granted, so it is told to forget. */
  async #askPeer(
    steward: Member,
    question: SlotRequestFields,
  ): Promise<SlotResult> {
    const { incarnation } = this.#options.members.self();
    const wait = question.queue ? question.remaining : 0;
    const reply = await this.#options.network.request(
      steward.address,
      "admission.request",
      encodeSlotRequest(question, incarnation),
      wait + REPLY_TIMEOUT_MILLISECONDS,
    );
    const parsed = reply.isOk()
      ? slotReplySchema.safeParse(reply.value)
      : undefined;
    if (!parsed?.success) {
      const reference: GrantReferenceBody = [
        question.server,
        encodeGrantId(question.grantId, incarnation),
      ];
      this.#options.network.send(
        steward.address,
        "admission.cancel",
        reference,
      );
      return { refusal: refusalWithoutLoad("steward_unreachable") };
    }
    return { refusal: refusalOf(parsed.data) };
  }

  #withdraw(backendServer: BackendServerId, grantId: string): void {
    this.#tell("admission.cancel", backendServer, grantId);
  }

  #tell(
    kind: "admission.release" | "admission.cancel",
    backendServer: BackendServerId,
    grantId: string,
  ): void {
    const { members, admission, network } = this.#options;
    const steward = this.#ownerOf(backendServer);
    if (!steward) return;
    const { host, incarnation } = members.self();
    if (steward.host !== host) {
      const body: GrantReferenceBody = [
        backendServer,
        encodeGrantId(grantId, incarnation),
      ];
      network.send(steward.address, kind, body);
    } else if (kind === "admission.release") {
      admission.release(backendServer, grantId);
    } else {
      admission.cancel(backendServer, grantId);
    }
  }

  #membersChanged(): void {
    this.#owners.clear();
    this.#eligible = undefined;
    this.#presentMoved();
  }

  /** Presents the grants whose steward does not know them yet. */
  #presentMoved(): void {
    const moved = [...this.#held].filter(([, { backendServer, steward }]) =>
      this.#ownerOf(backendServer)?.host !== steward
    );
    this.#renew(moved);
  }

  /** A grant outlives two periods, so one younger than a period can wait. */
  #renewHeld(): void {
    const latest = this.#now() - RENEW_PERIOD_MILLISECONDS;
    this.#renew([...this.#held].filter(([, held]) => held.grantedAt <= latest));
  }

  #renew(held: Iterable<[string, _Held]>): void {
    const now = this.#now();
    const bySteward = new Map<Member, PresentedGrant[]>();
    for (const [grantId, grant] of held) {
      const steward = this.#ownerOf(grant.backendServer);
      if (!steward) continue;
      const { backendServer, workspace, weightTokens, grantedAt } = grant;
      const presented = bySteward.get(steward) ?? [];
      bySteward.set(steward, presented);
      presented.push({
        grantId,
        backendServer,
        workspace,
        weightTokens,
        heldMilliseconds: now - grantedAt,
      });
    }
    for (const [steward, grants] of bySteward) {
      for (let at = 0; at < grants.length; at += GRANTS_PER_RENEWAL) {
        const batch = grants.slice(at, at + GRANTS_PER_RENEWAL);
        void this.#present(steward, batch);
      }
    }
  }

  async #present(
    steward: Member,
    grants: readonly PresentedGrant[],
  ): Promise<void> {
    const self = this.#options.members.self().host;
    const rejected = steward.host === self
      ? this.#options.admission.renew(self, grants)
      : await this.#presentToPeer(steward, grants);
    let isComplete = true;
    for (const { grantId, backendServer } of grants) {
      const held = this.#held.get(grantId);
      if (!held) continue;
      const isKnown = rejected?.has(backendServer) === false;
      held.steward = isKnown ? steward.host : undefined;
      if (!isKnown) isComplete = false;
    }
    if (!isComplete) this.#scheduleRetry();
  }

  /** Returns the rejected servers, or undefined if there was no reply. */
  async #presentToPeer(
    steward: Member,
    grants: readonly PresentedGrant[],
  ): Promise<Set<BackendServerId> | undefined> {
    const body: RenewBody = { grants: encodeGrants(grants) };
    const reply = await this.#options.network.request(
      steward.address,
      "admission.renew",
      body,
      RENEW_TIMEOUT_MILLISECONDS,
    );
    if (reply.isErr()) return undefined;
    const parsed = renewReplySchema.safeParse(reply.value);
    return parsed.success ? new Set(parsed.data.rejected) : undefined;
  }

  #scheduleRetry(): void {
    if (this.#retryTimer) return;
    this.#retryTimer = this.#options.timers.after(
      RENEW_RETRY_MILLISECONDS,
      "admission.renew_retry",
      () => {
        this.#retryTimer = undefined;
        this.#presentMoved();
      },
    );
  }
}
