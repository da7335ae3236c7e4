/**
 * The services that a router offers through its HTTP interface: chats and calls
 * behind request limits, advertised addresses, status and state dump.
 */
import { randomUUID } from "node:crypto";
import { err, type Result } from "neverthrow";
import type { AuthenticatedWorkspace } from "./key_authenticator.ts";
import { chooseAdvertisedMembers } from "./advertised_addresses.ts";
import {
  type AddressResponse,
  CallerServices,
  type ChatResponse,
} from "./caller_services.ts";
import type { ChatDispatch } from "./chat_dispatch.ts";
import type { ChatRequest } from "./chat_request.ts";
import type { ConfigurationTask } from "./configuration_task.ts";
import { type ApplicationError, createError } from "./core/errors.ts";
import type { IncarnationId, RequestId, WorkspaceId } from "./core/ids.ts";
import type { ExecutionTask, RequestOutcome } from "./execution_task.ts";
import type { MembershipView } from "./membership_view.ts";
import type { PeerNetwork } from "./peer_network.ts";
import type { RequestLimits } from "./request_limits.ts";
import type { ServiceCall, ServiceResponse } from "./service_call.ts";
import type { ServiceDispatch } from "./service_dispatch.ts";
import type { Task } from "./task.ts";
import type { TimerService } from "./timer_service.ts";

const DEFAULT_KEEP_MILLISECONDS = 1_000;

/** Options of the router services. */
export interface RouterServicesOptions {
  readonly members: MembershipView;
  readonly configurationTask: ConfigurationTask;
  readonly execution: ExecutionTask;
  readonly chats: ChatDispatch;
  readonly services: ServiceDispatch;
  readonly limits: RequestLimits;
  readonly network: PeerNetwork;
  readonly timers: TimerService;
  readonly tasks: readonly Task[];
  readonly beginStop: () => void;
}

/** The services of one router. */
export class RouterServices extends CallerServices {
  readonly #options: RouterServicesOptions;
  readonly #generations = new Map<IncarnationId, number>();
  #ready = false;
  #stopping = false;

  constructor(options: RouterServicesOptions) {
    super();
    this.#options = options;
    options.network.onGeneration((generation, from) =>
      this.#generations.set(from.incarnation, generation)
    );
    options.members.onChange(() => this.#removeGoneMembers());
  }

  setReady(): void {
    this.#ready = true;
  }

  setStopping(): void {
    this.#stopping = true;
  }

  override isReady(): boolean {
    return this.#ready;
  }

  override isStopping(): boolean {
    return this.#stopping;
  }

  override beginStop(): void {
    this.#options.beginStop();
  }

  override newRequestId(): RequestId {
    return this.#options.execution.issueId(randomUUID());
  }

  override monotonicMilliseconds(): number {
    return this.#options.timers.clock.monotonicMilliseconds();
  }

  /**
   * Omits drained hosts. Also omits this router while it is stale, because its
   * configuration may be old, unless it is the only one.
   */
  override addresses({ id }: AuthenticatedWorkspace): AddressResponse {
    const { members, configurationTask, execution } = this.#options;
    const fleet = configurationTask.view.current()?.fleet.fleet;
    const self = members.self().incarnation;
    const drainedHosts = new Set(
      configurationTask.view.current()?.drains.hosts,
    );
    const others = members.liveMembers().filter(({ host, incarnation }) =>
      incarnation !== self && !drainedHosts.has(host)
    );
    const omitsSelf = others.length > 0 &&
      (configurationTask.isStale() || drainedHosts.has(members.self().host));
    const candidates = omitsSelf ? others : [members.self(), ...others];
    const epoch = execution.epoch();
    return {
      addresses: chooseAdvertisedMembers(
        id,
        candidates,
        fleet?.addressesPerWorkspace ?? 1,
      )
        .map((member) => ({
          address: member.callerAddress,
          data_centre: member.dataCentre,
          incarnation: member.incarnation,
          epoch,
        })),
      keep_milliseconds: fleet?.keepMilliseconds ?? DEFAULT_KEEP_MILLISECONDS,
    };
  }

  override chat(
    request: ChatRequest,
  ): Promise<Result<ChatResponse, ApplicationError>> {
    const { limits, chats } = this.#options;
    return limits.limitChat(request.workspace, () => chats.start(request));
  }

  override resumeChat(
    workspace: WorkspaceId,
    resumeToken: string,
  ): Promise<Result<ChatResponse, ApplicationError>> {
    return this.#options.chats.resume(workspace, resumeToken);
  }

  override callService(
    call: ServiceCall,
  ): Promise<Result<ServiceResponse, ApplicationError>> {
    const { services, execution, limits } = this.#options;
    if (services.isIdempotent(call)) {
      return limits.limitCall(call.workspace, () => services.run(call));
    }
    return execution.execute(call);
  }

  override async outcome(
    id: RequestId,
    workspace: WorkspaceId,
  ): Promise<Result<RequestOutcome, ApplicationError>> {
    if (!this.#ready) {
      return err(createError("not_ready", "no configuration yet"));
    }
    return this.#options.execution.query(id, workspace);
  }

  override status(): unknown {
    const { members, configurationTask } = this.#options;
    const self = members.self();
    const snapshot = configurationTask.view.current();
    return {
      host: self.host,
      data_centre: self.dataCentre,
      incarnation: self.incarnation,
      generation: snapshot?.generation ?? 0,
      highest_generation: configurationTask.highestGeneration(),
      digest: snapshot?.digest ?? "",
      stale: configurationTask.isStale(),
      stopping: this.#stopping,
      alarms: configurationTask.alarms(),
      members: members.liveMembers().map((member) => ({
        host: member.host,
        data_centre: member.dataCentre,
        caller_address: member.callerAddress,
        state: member.leaving ? "leaving" : "live",
        generation: member.incarnation === self.incarnation
          ? snapshot?.generation ?? 0
          : this.#generations.get(member.incarnation),
      })),
    };
  }

  override dump(): unknown {
    const { tasks, network } = this.#options;
    return {
      status: this.status(),
      network: network.describe(),
      tasks: Object.fromEntries(
        tasks.map((task) => [task.name, task.describe()]),
      ),
    };
  }

  #removeGoneMembers(): void {
    const live = new Set(
      this.#options.members.liveMembers().map((member) => member.incarnation),
    );
    for (const incarnation of this.#generations.keys()) {
      if (!live.has(incarnation)) this.#generations.delete(incarnation);
    }
  }
}
