/**
 * The grants that an entry router holds: renews them at the owners of their
 * servers, and sends them to a new owner when ownership changes.
 */
import {
  encodeGrants,
  type RenewBody,
  renewReplySchema,
  type ServerGrant,
} from "./admission_messages.ts";
import type { AdmissionTask } from "./admission_task.ts";
import type { BackendServerId, HostId, WorkspaceId } from "./core/ids.ts";
import type { Member, MembershipView } from "./membership_view.ts";
import type { PeerNetwork } from "./peer_network.ts";
import type { Subscription, TimerService } from "./timer_service.ts";

/** Interval at which held grants are renewed. */
export const RENEW_PERIOD_MILLISECONDS = 5_000;
const RENEW_RETRY_MILLISECONDS = 1_000;
const RENEW_TIMEOUT_MILLISECONDS = 2_000;
/** Maximum grants per message, well below the maximum frame size. */
const GRANTS_PER_RENEWAL = 2_000;

/** Options of the held grants. */
export interface HeldGrantsOptions {
  readonly members: MembershipView;
  readonly network: PeerNetwork;
  readonly timers: TimerService;
  /** Called directly, not over the network, for this router's servers. */
  readonly admission: AdmissionTask;
  readonly ownerOf: (backendServer: BackendServerId) => Member | undefined;
}

/** A grant of this router. */
export interface HeldGrant {
  readonly backendServer: BackendServerId;
  readonly workspace: WorkspaceId;
  readonly weightTokens: number;
  readonly grantedAt: number;
  /** The owner known to have recorded the grant; undefined if there is none. */
  owner: HostId | undefined;
}

/** Holds the grants of one router. */
export class HeldGrants {
  readonly #options: HeldGrantsOptions;
  readonly #grants = new Map<string, HeldGrant>();
  #retryTimer: Subscription | undefined;

  constructor(options: HeldGrantsOptions) {
    this.#options = options;
  }

  add(grantId: string, grant: HeldGrant): void {
    this.#grants.set(grantId, grant);
  }

  /** Removes a grant; returns whether it was held. */
  remove(grantId: string): boolean {
    return this.#grants.delete(grantId);
  }

  size(): number {
    return this.#grants.size;
  }

  /** Returns the tokens of a workspace. */
  tokensOf(workspace: WorkspaceId): number {
    let tokens = 0;
    for (const held of this.#grants.values()) {
      if (held.workspace === workspace) tokens += held.weightTokens;
    }
    return tokens;
  }

  /** Ends the retries. */
  stop(): void {
    this.#retryTimer?.cancel();
  }

  /** Renews the grants whose current owner has not recorded them yet. */
  renewMoved(): void {
    const moved = [...this.#grants].filter(([, { backendServer, owner }]) =>
      this.#options.ownerOf(backendServer)?.host !== owner
    );
    this.#send(moved);
  }

  /**
   * Renews the held grants except those younger than one period, as a grant
   * outlives two periods.
   */
  renew(): void {
    const latest = this.#options.timers.clock.monotonicMilliseconds() -
      RENEW_PERIOD_MILLISECONDS;
    this.#send(
      [...this.#grants].filter(([, held]) => held.grantedAt <= latest),
    );
  }

  #send(held: Iterable<[string, HeldGrant]>): void {
    const now = this.#options.timers.clock.monotonicMilliseconds();
    const byOwner = new Map<Member, ServerGrant[]>();
    for (const [grantId, grant] of held) {
      const owner = this.#options.ownerOf(grant.backendServer);
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
      const held = this.#grants.get(grantId);
      if (!held) continue;
      const isAccepted = rejected?.has(backendServer) === false;
      held.owner = isAccepted ? owner.host : undefined;
      if (!isAccepted) allAccepted = false;
    }
    if (!allAccepted) this.#scheduleRetry();
  }

  /** Returns the rejected servers; undefined if there is no valid reply. */
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
        this.renewMoved();
      },
    );
  }
}
