/**
 * Decides on slot requests for the backend servers that this router owns, which
 * the rendezvous hash assigns to it, and polls their load.
 */
import {
  decodeGrantId,
  decodeGrants,
  encodeGrants,
  encodeSlotRequest,
  type GrantReferenceBody,
  grantReferenceSchema,
  parseSlotRequest,
  type RenewBody,
  type RenewReplyBody,
  renewSchema,
  type ServerGrant,
  slotReplyOf,
  type SlotRequestFields,
  type TakeOverReplyBody,
  takeOverReplySchema,
} from "./admission_messages.ts";
import type { ConfigurationView } from "./configuration_view.ts";
import type { BackendServerId, HostId, SocketAddress } from "./core/ids.ts";
import { refusalWithoutLoad, type SlotRequest } from "./core/server_owner.ts";
import type { LoadSource } from "./load_source.ts";
import type { LoadTask } from "./load_task.ts";
import type { Member, MembershipView } from "./membership_view.ts";
import type { PeerIdentity, PeerNetwork } from "./peer_network.ts";
import {
  createServerOwnership,
  type ServerOwnership,
  type SlotResult,
} from "./server_ownership.ts";
import { Task } from "./task.ts";
import type { Subscription, TimerService } from "./timer_service.ts";

/** Interval at which an owner reads the load of its backend servers. */
export const POLL_PERIOD_MILLISECONDS = 250;
/** Interval at which queued requests are granted or expired. */
const QUEUE_PERIOD_MILLISECONDS = 100;
const OWNERSHIP_UPDATE_DELAY_MILLISECONDS = 20;
const TAKE_OVER_TIMEOUT_MILLISECONDS = 250;
/** Time for the new owner's reply, besides the time in its queue. */
const FORWARD_TIMEOUT_MILLISECONDS = 500;

/** Options of the admission task. */
export interface AdmissionTaskOptions {
  readonly members: MembershipView;
  readonly configuration: ConfigurationView;
  readonly network: PeerNetwork;
  readonly timers: TimerService;
  readonly loadSource: LoadSource;
  readonly loads: LoadTask;
}

/** Runs the server ownership of this router on peer messages and timers. */
export class AdmissionTask extends Task {
  override readonly name = "admission";
  readonly #options: AdmissionTaskOptions;
  readonly #ownership: ServerOwnership;
  #subscriptions: Subscription[] = [];
  #ownershipUpdateTimer: Subscription | undefined;
  #stopped = true;

  constructor(options: AdmissionTaskOptions) {
    super();
    this.#options = options;
    this.#ownership = createServerOwnership({
      ...options,
      clock: options.timers.clock,
      takeOver: (previous, servers) => this.#requestGrants(previous, servers),
    });
  }

  override async start(): Promise<void> {
    const { members, configuration, timers, loads } = this.#options;
    this.#stopped = false;
    loads.setLoadProvider(() => this.#ownership.serverLoads());
    loads.onSummary(() => this.#ownership.updatePoolLoads());
    members.onChange(() => this.#scheduleOwnershipUpdate());
    configuration.onChange(() => this.#updateOwnership());
    this.#handleMessages();
    this.#subscriptions = [
      timers.every(
        POLL_PERIOD_MILLISECONDS,
        "admission.poll",
        () => this.#ownership.pollLoads(),
      ),
      timers.every(
        QUEUE_PERIOD_MILLISECONDS,
        "admission.settle",
        () => this.#ownership.processQueues(),
      ),
    ];
    this.#updateOwnership();
  }

  override async stop(): Promise<void> {
    this.#stopped = true;
    this.#ownershipUpdateTimer?.cancel();
    for (const subscription of this.#subscriptions) subscription.cancel();
    this.#subscriptions = [];
    this.#ownership.close();
  }

  override describe(): unknown {
    return this.#ownership.describe();
  }

  /** Whether this router decides on requests for a backend server. */
  isOwner(backendServer: BackendServerId): boolean {
    return this.#ownership.isOwner(backendServer);
  }

  /** Sets whether a server is leaving; a leaving server grants no slots. */
  setLeaving(backendServer: BackendServerId, leaving: boolean): void {
    this.#ownership.setLeaving(backendServer, leaving);
  }

  /** Decides on a slot request; a queued request resolves when decided. */
  request(
    backendServer: BackendServerId,
    request: SlotRequest,
  ): Promise<SlotResult> {
    return this.#ownership.request(backendServer, request);
  }

  /** Ends the grant of a finished request. */
  release(backendServer: BackendServerId, grantId: string): void {
    this.#ownership.release(backendServer, grantId);
  }

  /** Cancels a queued or granted slot request. */
  cancel(backendServer: BackendServerId, grantId: string): void {
    this.#ownership.cancel(backendServer, grantId);
  }

  /** Renews grants; returns the grants' servers that are not owned here. */
  renew(
    holder: HostId,
    grants: readonly ServerGrant[],
  ): Set<BackendServerId> {
    return this.#ownership.renew(holder, grants);
  }

  #handleMessages(): void {
    const { network } = this.#options;
    network.handle(
      "admission.request",
      (body, from) => this.#handleRequest(body, from),
    );
    network.handle(
      "admission.renew",
      (body, from) => this.#handleRenew(body, from),
    );
    network.handle(
      "admission.release",
      (body, from) => this.#handleGrantEnd("admission.release", body, from),
    );
    network.handle(
      "admission.cancel",
      (body, from) => this.#handleGrantEnd("admission.cancel", body, from),
    );
  }

  #handleGrantEnd(
    kind: "admission.release" | "admission.cancel",
    body: unknown,
    from: PeerIdentity,
  ): void {
    const parsed = grantReferenceSchema.safeParse(body);
    if (!parsed.success) return;
    const [server, grant] = parsed.data;
    const grantId = decodeGrantId(grant, from.incarnation);
    const successor = this.#successorOf(server, from);
    if (successor) {
      const reference: GrantReferenceBody = [server, grantId];
      this.#options.network.send(successor, kind, reference);
    } else if (kind === "admission.release") this.release(server, grantId);
    else this.cancel(server, grantId);
  }

  /**
   * Returns the router that took a server over, to forward a message to;
   * undefined if this router owns the server, knows no successor, or has the
   * message from the successor.
   */
  #successorOf(
    server: BackendServerId,
    from: PeerIdentity,
  ): SocketAddress | undefined {
    if (this.#ownership.isOwner(server)) return undefined;
    const successor = this.#ownership.successorOf(server);
    return successor?.host === from.host ? undefined : successor?.address;
  }

  async #handleRequest(body: unknown, from: PeerIdentity): Promise<unknown> {
    const fields = parseSlotRequest(body, from.incarnation);
    const { server, grantId, workspace, priority, weight, remaining } = fields;
    const successor = this.#successorOf(server, from);
    if (successor) return this.#forward(successor, fields);
    const now = this.#options.timers.clock.monotonicMilliseconds();
    const result = await this.request(server, {
      grantId,
      holder: from.host,
      workspace,
      priority,
      weightTokens: weight,
      deadlineMilliseconds: now + remaining,
      mayQueue: fields.queue,
    });
    return slotReplyOf(result.refusal);
  }

  /**
   * Forwards a slot request to the new owner, so that only one router grants.
   * If there is no reply, cancels the request there, forgets the successor and
   * refuses.
   */
  async #forward(
    to: SocketAddress,
    fields: SlotRequestFields,
  ): Promise<unknown> {
    const { incarnation } = this.#options.members.self();
    const reply = await this.#options.network.request(
      to,
      "admission.request",
      encodeSlotRequest(fields, incarnation),
      FORWARD_TIMEOUT_MILLISECONDS + (fields.queue ? fields.remaining : 0),
    );
    if (reply.isOk()) return reply.value;
    const reference: GrantReferenceBody = [fields.server, fields.grantId];
    this.#options.network.send(to, "admission.cancel", reference);
    this.#ownership.forgetSuccessor(fields.server);
    return slotReplyOf(refusalWithoutLoad("not_steward"));
  }

  /** Handles renewals and takeovers, which have the same message kind. */
  #handleRenew(
    body: unknown,
    from: PeerIdentity,
  ): RenewReplyBody | TakeOverReplyBody {
    const parsed = renewSchema.parse(body);
    if ("grants" in parsed) {
      return {
        rejected: [...this.renew(from.host, decodeGrants(parsed.grants))],
      };
    }
    const grants = this.#ownership.handOver(parsed.takeOver, from);
    return { grants: encodeGrants(grants) };
  }

  async #requestGrants(
    previous: Member,
    servers: readonly BackendServerId[],
  ): Promise<readonly ServerGrant[]> {
    const body: RenewBody = { takeOver: [...servers] };
    const reply = await this.#options.network.request(
      previous.address,
      "admission.renew",
      body,
      TAKE_OVER_TIMEOUT_MILLISECONDS,
    );
    if (reply.isErr()) return [];
    const parsed = takeOverReplySchema.safeParse(reply.value);
    return parsed.success ? decodeGrants(parsed.data.grants) : [];
  }

  /** Delays the ownership update, so that several member changes cause one. */
  #scheduleOwnershipUpdate(): void {
    if (this.#stopped || this.#ownershipUpdateTimer) return;
    this.#ownershipUpdateTimer = this.#options.timers.after(
      OWNERSHIP_UPDATE_DELAY_MILLISECONDS,
      "admission.duties",
      () => {
        this.#ownershipUpdateTimer = undefined;
        this.#updateOwnership();
      },
    );
  }

  #updateOwnership(): void {
    if (!this.#stopped) this.#ownership.recompute();
  }
}
