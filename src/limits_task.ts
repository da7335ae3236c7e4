/**
 * The limits task: renews this router's shares with the limit owners, in one
 * message to each owner, and handles renewals for the workspaces whose limits
 * this router owns.
 */
import { z } from "zod";
import { brandId, type HostId, type WorkspaceId } from "./core/ids.ts";
import {
  createLimitOwner,
  type LimitOwner,
  type LimitRenewal,
  type WorkspaceLimits,
} from "./core/limit_owner.ts";
import {
  createLimits,
  type LimitDecision,
  type Limits,
} from "./core/limits.ts";
import { pickByRendezvous } from "./core/rendezvous.ts";
import type { Member, MembershipView } from "./membership_view.ts";
import type { PeerNetwork } from "./peer_network.ts";
import { Task } from "./task.ts";
import type { Subscription, TimerService } from "./timer_service.ts";

const RENEWAL_PERIOD_MILLISECONDS = 500;
const RENEWAL_TIMEOUT_MILLISECONDS = 400;
const MAXIMUM_WORKSPACES = 65_536;

const _amount = z.number().nonnegative();
const _renewalSchema = z.strictObject({
  /**
   * Workspace, held rate and concurrency (-1 if none), wanted rate and
   * concurrency.
   */
  w: z.array(
    z.tuple([
      z.string().min(1).max(253),
      z.number().min(-1),
      z.number().min(-1),
      _amount,
      _amount,
    ]),
  ).max(MAXIMUM_WORKSPACES),
});
const _grantSchema = z.strictObject({
  /** Workspace, granted rate and concurrency. */
  s: z.array(z.tuple([z.string().min(1).max(253), _amount, _amount])).max(
    MAXIMUM_WORKSPACES,
  ),
});
type _EncodedGrant = z.infer<typeof _grantSchema>["s"][number];

/** Options of the limits task. */
export interface LimitsTaskOptions {
  readonly network: PeerNetwork;
  readonly timers: TimerService;
  readonly view: MembershipView;
  /** Limits in force; undefined for an unknown workspace. */
  readonly limitsOf: (workspace: WorkspaceId) => WorkspaceLimits | undefined;
}

function _encodeRenewal(
  { workspace, held, wanted }: LimitRenewal,
): [string, number, number, number, number] {
  return [
    workspace,
    held?.rate ?? -1,
    held?.concurrency ?? -1,
    wanted.rate,
    wanted.concurrency,
  ];
}

/** Admits requests within leased shares of the workspace limits. */
export class LimitsTask extends Task {
  override readonly name = "limits";
  readonly #options: LimitsTaskOptions;
  readonly #limits: Limits;
  readonly #limitOwner: LimitOwner = createLimitOwner();
  readonly #subscriptions: Subscription[] = [];
  /** Limit owners of the active workspaces; reset when members change. */
  #owners: ReadonlyMap<WorkspaceId, Member> = new Map();
  #renewalsSent = 0;
  #renewalsFailed = 0;

  constructor(options: LimitsTaskOptions) {
    super();
    this.#options = options;
    this.#limits = createLimits({ limitsOf: options.limitsOf });
  }

  /** Admits a request or returns the limit that rejects it. */
  tryAcquire(workspace: WorkspaceId, now: number): LimitDecision {
    return this.#limits.tryAcquire(workspace, now);
  }

  /** Releases an admitted request. */
  release(workspace: WorkspaceId, now: number): void {
    this.#limits.release(workspace, now);
  }

  override async start(): Promise<void> {
    this.#options.view.onChange(() => {
      this.#owners = new Map();
      this.#limits.renewSoon();
    });
    this.#options.network.handle("limits.renew", (body, from) => {
      const parsed = _renewalSchema.safeParse(body);
      if (!parsed.success) throw new Error("malformed limits.renew");
      const renewals = parsed.data.w.map((
        [workspace, rate, concurrency, wantedRate, wantedConcurrency],
      ) => ({
        workspace: brandId<WorkspaceId>(workspace),
        held: rate < 0 ? undefined : { rate, concurrency },
        wanted: { rate: wantedRate, concurrency: wantedConcurrency },
      }));
      return { s: this.#renewAsOwner(from.host, renewals) };
    });
    this.#subscriptions.push(this.#options.timers.every(
      RENEWAL_PERIOD_MILLISECONDS,
      "limits renewal",
      () => void this.#renew(),
    ));
  }

  override async stop(): Promise<void> {
    for (const subscription of this.#subscriptions) subscription.cancel();
  }

  override describe(): unknown {
    return {
      shares: this.#limits.describe(),
      heldWorkspaces: this.#limitOwner.size,
      renewalsSent: this.#renewalsSent,
      renewalsFailed: this.#renewalsFailed,
    };
  }

  #now(): number {
    return this.#options.timers.clock.monotonicMilliseconds();
  }

  /** Sends one renewal message to each owner of active workspaces. */
  async #renew(): Promise<void> {
    this.#limitOwner.tick(this.#now());
    const candidates = this.#options.view.liveMembers().filter((member) =>
      !member.leaving
    );
    const batches = new Map<Member, LimitRenewal[]>();
    const owners = new Map<WorkspaceId, Member>();
    for (const renewal of this.#limits.renewals(this.#now())) {
      const { workspace } = renewal;
      const owner = this.#owners.get(workspace) ??
        pickByRendezvous(
          `limits/${workspace}`,
          candidates,
          ({ host }) => host,
        );
      if (!owner) continue;
      owners.set(workspace, owner);
      const batch = batches.get(owner);
      if (batch) batch.push(renewal);
      else batches.set(owner, [renewal]);
    }
    this.#owners = owners;
    await Promise.all(
      [...batches].map(([owner, batch]) => this.#renewWith(owner, batch)),
    );
  }

  async #renewWith(
    owner: Member,
    renewals: readonly LimitRenewal[],
  ): Promise<void> {
    const { host } = this.#options.view.self();
    if (owner.host === host) {
      this.#accept(this.#renewAsOwner(host, renewals));
      return;
    }
    this.#renewalsSent++;
    const reply = await this.#options.network.request(
      owner.address,
      "limits.renew",
      { w: renewals.map(_encodeRenewal) },
      RENEWAL_TIMEOUT_MILLISECONDS,
    );
    const grants = _grantSchema.safeParse(reply.unwrapOr(undefined));
    if (grants.success) this.#accept(grants.data.s);
    else this.#renewalsFailed++;
  }

  #accept(grants: readonly _EncodedGrant[]): void {
    for (const [workspace, rate, concurrency] of grants) {
      this.#limits.grant(
        brandId<WorkspaceId>(workspace),
        { rate, concurrency },
        this.#now(),
      );
    }
  }

  /** Skips workspaces that this router's configuration does not contain. */
  #renewAsOwner(
    router: HostId,
    renewals: readonly LimitRenewal[],
  ): _EncodedGrant[] {
    const grants: _EncodedGrant[] = [];
    for (const renewal of renewals) {
      const limits = this.#options.limitsOf(renewal.workspace);
      if (!limits) continue;
      const share = this.#limitOwner.renew(
        router,
        renewal,
        limits,
        this.#now(),
      );
      grants.push([renewal.workspace, share.rate, share.concurrency]);
    }
    return grants;
  }
}

/** Creates the limits task of one router. */
export function createLimitsTask(options: LimitsTaskOptions): LimitsTask {
  return new LimitsTask(options);
}
