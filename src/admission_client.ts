/**
 * The client side of admission in an entry router: requests slots from the
 * owners of backend servers, renews the grants that it holds, and sends them to
 * the new owner when ownership changes.
 */
import {
  encodeGrantId,
  encodeGrants,
  encodeSlotRequest,
  grantIdOf,
  type GrantReferenceBody,
  refusalOf,
  type RenewBody,
  renewReplySchema,
  type ServerGrant,
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

/** Interval at which held grants are renewed. */
export const RENEW_PERIOD_MILLISECONDS = 5_000;
const RENEW_RETRY_MILLISECONDS = 1_000;
const REPLY_TIMEOUT_MILLISECONDS = 1_000;
const RENEW_TIMEOUT_MILLISECONDS = 2_000;
/** Keeps a renewal message well below the maximum frame size. */
const GRANTS_PER_RENEWAL = 2_000;

/** A request for a slot at one backend server. */
export interface SlotOptions {
  readonly backendServer: BackendServerId;
  readonly workspace: WorkspaceId;
  readonly priority: Priority;
  readonly weightTokens: number;
  /** Time on this router's monotonic clock at which waiting ends. */
  readonly deadlineMilliseconds: number;
  /** Whether to wait in the owner's queue if there is no capacity now. */
  readonly mayQueue: boolean;
  /** Cancels the request, for example when the caller disconnects. */
  readonly signal?: AbortSignal;
}

/** A granted slot; the caller releases it when its request has ended. */
export interface Slot {
  readonly grantId: string;
  readonly backendServer: BackendServerId;
}

/** A granted slot, or the reason for the refusal and the server's load. */
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
  /** Owns backend servers in this process; called without the network. */
  readonly admission: AdmissionTask;
}

interface _HeldGrant {
  readonly backendServer: BackendServerId;
  readonly workspace: WorkspaceId;
  readonly weightTokens: number;
  readonly grantedAt: number;
  /** The owner that has recorded the grant; undefined if none is known to. */
  owner: HostId | undefined;
}

/** Requests slots from owners and renews the grants of this router. */
export class AdmissionClient extends Task {
  override readonly name = "admission_client";
  readonly #options: AdmissionClientOptions;
  readonly #heldGrants = new Map<string, _HeldGrant>();
  readonly #owners = new Map<BackendServerId, Member | undefined>();
  #eligibleMembers: readonly Member[] | undefined;
  #subscriptions: Subscription[] = [];
  #retryTimer: Subscription | undefined;
  #grantsCreated = 0;

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
    return {
      heldGrants: this.#heldGrants.size,
      knownStewards: this.#owners.size,
    };
  }

  /** Requests a slot from the owner of a backend server. */
  async requestSlot(options: SlotOptions): Promise<SlotResponse> {
    const { host, incarnation } = this.#options.members.self();
    const owner = this.#ownerOf(options.backendServer);
    const grantId = grantIdOf(incarnation, this.#grantsCreated++);
    const withdraw = () => this.#withdraw(options.backendServer, grantId);
    options.signal?.addEventListener("abort", withdraw, { once: true });
    const result = await this.#requestFromOwner(options, owner, grantId, host);
    options.signal?.removeEventListener("abort", withdraw);
    if (result.refusal) return { granted: false, refusal: result.refusal };
    if (options.signal?.aborted) {
      withdraw();
      return { granted: false, refusal: refusalWithoutLoad("cancelled") };
    }
    const { backendServer, workspace, weightTokens } = options;
    this.#heldGrants.set(grantId, {
      backendServer,
      workspace,
      weightTokens,
      grantedAt: this.#now(),
      owner: owner?.host,
    });
    return { granted: true, slot: { grantId, backendServer } };
  }

  /** Tokens of a workspace in flight through this router. */
  tokensInFlightOf(workspace: WorkspaceId): number {
    let tokens = 0;
    for (const held of this.#heldGrants.values()) {
      if (held.workspace === workspace) tokens += held.weightTokens;
    }
    return tokens;
  }

  /** Releases a slot; does nothing if it was released before. */
  release(slot: Slot): void {
    if (!this.#heldGrants.delete(slot.grantId)) return;
    this.#notifyOwner("admission.release", slot.backendServer, slot.grantId);
  }

  #now(): number {
    return this.#options.timers.clock.monotonicMilliseconds();
  }

  #ownerOf(backendServer: BackendServerId): Member | undefined {
    if (this.#owners.has(backendServer)) {
      return this.#owners.get(backendServer);
    }
    this.#eligibleMembers ??= this.#options.members.liveMembers()
      .filter((member) => !member.leaving);
    const owner = ownerOf(backendServer, this.#eligibleMembers);
    this.#owners.set(backendServer, owner);
    return owner;
  }

  async #requestFromOwner(
    options: SlotOptions,
    owner: Member | undefined,
    grantId: string,
    self: HostId,
  ): Promise<SlotResult> {
    const { backendServer, workspace, priority, weightTokens } = options;
    const remaining = options.deadlineMilliseconds - this.#now();
    if (options.signal?.aborted || remaining <= 0) {
      const reason = remaining <= 0 ? "deadline_exceeded" : "cancelled";
      return { refusal: refusalWithoutLoad(reason) };
    }
    if (!owner) return { refusal: refusalWithoutLoad("steward_unreachable") };
    if (owner.host === self) {
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
    return this.#requestFromPeer(owner, {
      server: backendServer,
      grantId,
      workspace,
      priority,
      weight: weightTokens,
      remaining,
      queue: options.mayQueue,
    });
  }

  /**
   * Requests a slot over the network. An owner that does not reply may have
   * granted the slot, so the request is cancelled there.
   */
  async #requestFromPeer(
    owner: Member,
    request: SlotRequestFields,
  ): Promise<SlotResult> {
    const { incarnation } = this.#options.members.self();
    const wait = request.queue ? request.remaining : 0;
    const reply = await this.#options.network.request(
      owner.address,
      "admission.request",
      encodeSlotRequest(request, incarnation),
      wait + REPLY_TIMEOUT_MILLISECONDS,
    );
    const parsed = reply.isOk()
      ? slotReplySchema.safeParse(reply.value)
      : undefined;
    if (!parsed?.success) {
      const reference: GrantReferenceBody = [
        request.server,
        encodeGrantId(request.grantId, incarnation),
      ];
      this.#options.network.send(
        owner.address,
        "admission.cancel",
        reference,
      );
      return { refusal: refusalWithoutLoad("steward_unreachable") };
    }
    return { refusal: refusalOf(parsed.data) };
  }

  #withdraw(backendServer: BackendServerId, grantId: string): void {
    this.#notifyOwner("admission.cancel", backendServer, grantId);
  }

  #notifyOwner(
    kind: "admission.release" | "admission.cancel",
    backendServer: BackendServerId,
    grantId: string,
  ): void {
    const { members, admission, network } = this.#options;
    const owner = this.#ownerOf(backendServer);
    if (!owner) return;
    const { host, incarnation } = members.self();
    if (owner.host !== host) {
      const body: GrantReferenceBody = [
        backendServer,
        encodeGrantId(grantId, incarnation),
      ];
      network.send(owner.address, kind, body);
    } else if (kind === "admission.release") {
      admission.release(backendServer, grantId);
    } else {
      admission.cancel(backendServer, grantId);
    }
  }

  #membersChanged(): void {
    this.#owners.clear();
    this.#eligibleMembers = undefined;
    this.#renewMoved();
  }

  /** Renews the grants whose current owner has not recorded them yet. */
  #renewMoved(): void {
    const moved = [...this.#heldGrants].filter(([, { backendServer, owner }]) =>
      this.#ownerOf(backendServer)?.host !== owner
    );
    this.#renew(moved);
  }

  /** Skips grants younger than one period, as a grant outlives two periods. */
  #renewHeld(): void {
    const latest = this.#now() - RENEW_PERIOD_MILLISECONDS;
    this.#renew(
      [...this.#heldGrants].filter(([, held]) => held.grantedAt <= latest),
    );
  }

  #renew(held: Iterable<[string, _HeldGrant]>): void {
    const now = this.#now();
    const byOwner = new Map<Member, ServerGrant[]>();
    for (const [grantId, grant] of held) {
      const owner = this.#ownerOf(grant.backendServer);
      if (!owner) continue;
      const { backendServer, workspace, weightTokens, grantedAt } = grant;
      const grants = byOwner.get(owner) ?? [];
      byOwner.set(owner, grants);
      grants.push({
        grantId,
        backendServer,
        workspace,
        weightTokens,
        heldMilliseconds: now - grantedAt,
      });
    }
    for (const [owner, grants] of byOwner) {
      for (let at = 0; at < grants.length; at += GRANTS_PER_RENEWAL) {
        const batch = grants.slice(at, at + GRANTS_PER_RENEWAL);
        void this.#sendRenewal(owner, batch);
      }
    }
  }

  async #sendRenewal(
    owner: Member,
    grants: readonly ServerGrant[],
  ): Promise<void> {
    const self = this.#options.members.self().host;
    const rejected = owner.host === self
      ? this.#options.admission.renew(self, grants)
      : await this.#renewAtPeer(owner, grants);
    let allAccepted = true;
    for (const { grantId, backendServer } of grants) {
      const held = this.#heldGrants.get(grantId);
      if (!held) continue;
      const isAccepted = rejected?.has(backendServer) === false;
      held.owner = isAccepted ? owner.host : undefined;
      if (!isAccepted) allAccepted = false;
    }
    if (!allAccepted) this.#scheduleRetry();
  }

  /** Returns the rejected servers, or undefined without a valid reply. */
  async #renewAtPeer(
    owner: Member,
    grants: readonly ServerGrant[],
  ): Promise<Set<BackendServerId> | undefined> {
    const body: RenewBody = { grants: encodeGrants(grants) };
    const reply = await this.#options.network.request(
      owner.address,
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
        this.#renewMoved();
      },
    );
  }
}
