/**
 * The client side of admission in an entry router: requests slots from the
 * owners of backend servers and releases them.
 */
import {
  encodeGrantId,
  encodeSlotRequest,
  grantIdOf,
  type GrantReferenceBody,
  refusalOf,
  slotReplySchema,
  type SlotRequestFields,
} from "./admission_messages.ts";
import type { AdmissionTask } from "./admission_task.ts";
import type { Priority } from "./core/fleet_schema.ts";
import type { BackendServerId, HostId, WorkspaceId } from "./core/ids.ts";
import { refusalWithoutLoad } from "./core/server_owner.ts";
import { HeldGrants, RENEW_PERIOD_MILLISECONDS } from "./held_grants.ts";
import type { Member, MembershipView } from "./membership_view.ts";
import type { PeerNetwork } from "./peer_network.ts";
import { ownerOf, type SlotResult } from "./server_ownership.ts";
import { Task } from "./task.ts";
import type { Subscription, TimerService } from "./timer_service.ts";

/** Time for an owner's reply, besides the time in its queue. */
const REPLY_TIMEOUT_MILLISECONDS = 1_000;
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
  /** Called directly, not over the network, for this router's servers. */
  readonly admission: AdmissionTask;
}

/** Requests slots from owners and renews the grants of this router. */
export class AdmissionClient extends Task {
  override readonly name = "admission_client";
  readonly #options: AdmissionClientOptions;
  readonly #heldGrants: HeldGrants;
  readonly #owners = new Map<BackendServerId, Member | undefined>();
  #eligibleMembers: readonly Member[] | undefined;
  #subscriptions: Subscription[] = [];
  #grantsCreated = 0;

  constructor(options: AdmissionClientOptions) {
    super();
    this.#options = options;
    this.#heldGrants = new HeldGrants({
      ...options,
      ownerOf: (server) => this.#ownerOf(server),
    });
  }

  override async start(): Promise<void> {
    const { members, timers } = this.#options;
    members.onChange(() => this.#membersChanged());
    this.#subscriptions = [
      timers.every(
        RENEW_PERIOD_MILLISECONDS,
        "admission.renew",
        () => this.#heldGrants.renew(),
      ),
    ];
  }

  override async stop(): Promise<void> {
    for (const subscription of this.#subscriptions) subscription.cancel();
    this.#heldGrants.stop();
    this.#subscriptions = [];
  }

  override describe(): unknown {
    return {
      heldGrants: this.#heldGrants.size(),
      knownStewards: this.#owners.size,
    };
  }

  /** Requests a slot from the owner of a backend server. */
  async requestSlot(options: SlotOptions): Promise<SlotResponse> {
    const { host, incarnation } = this.#options.members.self();
    const owner = this.#ownerOf(options.backendServer);
    const grantId = grantIdOf(incarnation, this.#grantsCreated++);
    const cancelRequest = () =>
      this.#cancelRequest(options.backendServer, grantId);
    options.signal?.addEventListener("abort", cancelRequest, { once: true });
    const result = await this.#requestFromOwner(options, owner, grantId, host);
    options.signal?.removeEventListener("abort", cancelRequest);
    if (result.refusal) return { granted: false, refusal: result.refusal };
    if (options.signal?.aborted) {
      cancelRequest();
      return { granted: false, refusal: refusalWithoutLoad("cancelled") };
    }
    const { backendServer, workspace, weightTokens } = options;
    this.#heldGrants.add(grantId, {
      backendServer,
      workspace,
      weightTokens,
      grantedAt: this.#now(),
      owner: owner?.host,
    });
    return { granted: true, slot: { grantId, backendServer } };
  }

  /** Returns the tokens of a workspace in flight through this router. */
  tokensInFlightOf(workspace: WorkspaceId): number {
    return this.#heldGrants.tokensOf(workspace);
  }

  /** Releases a slot, unless already released. */
  release(slot: Slot): void {
    if (!this.#heldGrants.remove(slot.grantId)) return;
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
   * granted it, so the request is cancelled.
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

  #cancelRequest(backendServer: BackendServerId, grantId: string): void {
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
    this.#heldGrants.renewMoved();
  }
}
