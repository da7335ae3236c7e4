/**
 * Owns the backend servers that the rendezvous hash assigns to this router:
 * polls their load and decides on requests for slots.
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
const QUEUE_PERIOD_MILLISECONDS = 100;
const ASSIGNMENT_DELAY_MILLISECONDS = 20;
const TAKE_OVER_TIMEOUT_MILLISECONDS = 250;
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

/** Connects the servers that this router owns to network and timers. */
export class AdmissionTask extends Task {
  override readonly name = "admission";
  readonly #options: AdmissionTaskOptions;
  readonly #ownership: ServerOwnership;
  #subscriptions: Subscription[] = [];
  #assignmentTimer: Subscription | undefined;
  #stopped = true;

  constructor(options: AdmissionTaskOptions) {
    super();
    this.#options = options;
    this.#ownership = createServerOwnership({
      ...options,
      clock: options.timers.clock,
      takeOver: (previous, servers) => this.#takeOver(previous, servers),
    });
  }

  override async start(): Promise<void> {
    const { members, configuration, timers, loads } = this.#options;
    this.#stopped = false;
    loads.setLoadProvider(() => this.#ownership.serverLoads());
    loads.onSummary(() => this.#ownership.updatePoolLoads());
    members.onChange(() => this.#scheduleAssignment());
    configuration.onChange(() => this.#assignOwnership());
    this.#handleMessages();
    this.#subscriptions = [
      timers.every(
        POLL_PERIOD_MILLISECONDS,
        "admission.poll",
        () => this.#ownership.poll(),
      ),
      timers.every(
        QUEUE_PERIOD_MILLISECONDS,
        "admission.settle",
        () => this.#ownership.processQueues(),
      ),
    ];
    this.#assignOwnership();
  }

  override async stop(): Promise<void> {
    this.#stopped = true;
    this.#assignmentTimer?.cancel();
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

  /** Marks a backend server as leaving; no slots are granted while it is. */
  setLeaving(backendServer: BackendServerId, leaving: boolean): void {
    this.#ownership.setLeaving(backendServer, leaving);
  }

  /** Decides on a request for an owned server; waits if it is queued. */
  request(
    backendServer: BackendServerId,
    request: SlotRequest,
  ): Promise<SlotResult> {
    return this.#ownership.request(backendServer, request);
  }

  /** Ends a grant. */
  release(backendServer: BackendServerId, grantId: string): void {
    this.#ownership.release(backendServer, grantId);
  }

  /** Cancels a request, whether it is queued or was granted. */
  cancel(backendServer: BackendServerId, grantId: string): void {
    this.#ownership.cancel(backendServer, grantId);
  }

  /** Renews grants; returns the servers that this router does not own. */
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
   * The address to forward a message to if the server was handed over. A
   * message from the successor itself is not sent back to it.
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

  /** Forwards to the new owner, so that only one router grants slots. */
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

  async #takeOver(
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

  /** Delays the assignment, so that several member changes share one. */
  #scheduleAssignment(): void {
    if (this.#stopped || this.#assignmentTimer) return;
    this.#assignmentTimer = this.#options.timers.after(
      ASSIGNMENT_DELAY_MILLISECONDS,
      "admission.duties",
      () => {
        this.#assignmentTimer = undefined;
        this.#assignOwnership();
      },
    );
  }

  #assignOwnership(): void {
    if (!this.#stopped) this.#ownership.assign();
  }
}
