/**
 * Runs non-idempotent calls at most once. The router incarnation named in a
 * request id owns that id and runs the call; every other router forwards the
 * call to the owner and never runs it.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import {
  type ApplicationError,
  createError,
  type ErrorKind,
  errorResponseFor,
} from "./core/errors.ts";
import {
  createDeduplicationTable,
  type DeduplicationDecision,
  type DeduplicationTable,
} from "./core/deduplication_table.ts";
import {
  brandId,
  type IncarnationId,
  type RequestId,
  type WorkspaceId,
} from "./core/ids.ts";
import { safeParseRequestId } from "./core/request_id.ts";
import type { MembershipView } from "./membership_view.ts";
import type { PeerNetwork } from "./peer_network.ts";
import type { ServiceCall, ServiceResponse } from "./service_call.ts";
import { Task } from "./task.ts";
import type { TimerService } from "./timer_service.ts";

/** Time beyond a call's deadline for the reply of its owner to arrive. */
const FORWARD_GRACE_MILLISECONDS = 500;
const QUERY_TIMEOUT_MILLISECONDS = 2_000;

const _runMessageSchema = z.object({
  id: z.string(),
  workspace: z.string(),
  service: z.string(),
  method: z.string(),
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  body: z.instanceof(Uint8Array),
  priority: z.enum(["high", "normal", "low"]),
  remainingMilliseconds: z.number().min(0),
});
const _queryMessageSchema = z.object({ id: z.string(), workspace: z.string() });
const _responseSchema = z.object({
  status: z.number().int(),
  headers: z.record(z.string(), z.string()),
  body: z.instanceof(Uint8Array),
  backendServer: z.string(),
});

/** The state of a request as recorded by its owner. */
export interface RequestOutcome {
  readonly state: Exclude<
    DeduplicationDecision<ServiceResponse>["kind"],
    "run"
  >;
  readonly answer?: ServiceResponse | undefined;
}

/** Sends one call to a backend server; called at most once per request id. */
export type CallRunner = (
  call: ServiceCall,
) => Promise<Result<ServiceResponse, ApplicationError>>;

/** Options of the execution task. */
export interface ExecutionTaskOptions {
  readonly incarnation: IncarnationId;
  readonly network: PeerNetwork;
  readonly members: MembershipView;
  readonly timers: TimerService;
  readonly run: CallRunner;
}

type CallResult = Result<ServiceResponse, ApplicationError>;

const DECISION_ERRORS: Readonly<Record<string, readonly [ErrorKind, string]>> =
  {
    refused: ["request_refused", "the request id was refused; use a new one"],
    unknown: ["outcome_unknown", "the call was sent but got no response"],
    expired: ["request_expired", "the id is older than the retention period"],
    foreign: ["outcome_unknown", "the router that owns the id is not a member"],
    forbidden: ["forbidden", "the id belongs to another workspace"],
  };

function _decisionError(decision: string): ApplicationError {
  const [kind, detail] = DECISION_ERRORS[decision] ?? ["internal", decision];
  return createError(kind, detail, ["x-sapphirecart-request-id"]);
}

/** Runs or forwards the non-idempotent calls of one router. */
export class ExecutionTask extends Task {
  override readonly name = "execution";
  readonly #options: ExecutionTaskOptions;
  readonly #table: DeduplicationTable<ServiceResponse>;
  readonly #running = new Map<RequestId, Promise<CallResult>>();

  constructor(options: ExecutionTaskOptions) {
    super();
    this.#options = options;
    this.#table = createDeduplicationTable({
      incarnation: options.incarnation,
    });
  }

  override async start(): Promise<void> {
    const { network } = this.#options;
    network.handle("execution.run", (body) => this.#handleRun(body));
    network.handle("execution.outcome", (body) => this.#handleQuery(body));
  }

  /** Waits for the running calls to end. */
  override async stop(): Promise<void> {
    await Promise.all(this.#running.values());
  }

  override describe(): unknown {
    return { incarnation: this.#options.incarnation, ...this.#table.counts() };
  }

  /** Returns the epoch for request ids that callers create. */
  epoch(): number {
    return this.#table.epochAt(this.#wallTime());
  }

  /** Creates an id for a request that has none. */
  issueId(randomPart: string): RequestId {
    return this.#table.issue(randomPart, this.#wallTime());
  }

  /** Runs a call here, or forwards it to the router that owns its id. */
  async execute(call: ServiceCall): Promise<CallResult> {
    const parts = safeParseRequestId(call.id);
    if (parts.isErr()) return err(parts.error);
    if (parts.value.incarnation === this.#options.incarnation) {
      return this.#executeLocally(call);
    }
    return this.#forward(call, parts.value.incarnation);
  }

  /**
   * Returns the outcome of an earlier request. The owner refuses an id that it
   * has not seen, so that it never runs later.
   */
  async query(
    id: RequestId,
    workspace: WorkspaceId,
  ): Promise<Result<RequestOutcome, ApplicationError>> {
    const parts = safeParseRequestId(id);
    if (parts.isErr()) return err(parts.error);
    if (parts.value.incarnation === this.#options.incarnation) {
      return ok(this.#queryLocally(id, workspace));
    }
    const owner = this.#findMember(parts.value.incarnation);
    if (!owner) return ok({ state: "unknown" });
    const reply = await this.#options.network.request(
      owner.address,
      "execution.outcome",
      { id, workspace },
      QUERY_TIMEOUT_MILLISECONDS,
    );
    return reply.isErr()
      ? ok({ state: "unknown" })
      : ok(reply.value as RequestOutcome);
  }

  #wallTime(): number {
    return this.#options.timers.clock.wallMilliseconds();
  }

  #now(): number {
    return this.#options.timers.clock.monotonicMilliseconds();
  }

  #findMember(incarnation: IncarnationId) {
    return this.#options.members.liveMembers().find((member) =>
      member.incarnation === incarnation
    );
  }

  async #executeLocally(call: ServiceCall): Promise<CallResult> {
    const decision = this.#table.begin(
      call.id,
      call.workspace,
      this.#wallTime(),
    );
    if (decision.kind === "run") {
      const running = this.#runOnce(call);
      this.#running.set(call.id, running);
      return running;
    }
    if (decision.kind === "running") {
      return this.#running.get(call.id) ?? err(_decisionError("unknown"));
    }
    if (decision.kind === "finished" && decision.answer) {
      return ok(decision.answer);
    }
    if (decision.kind === "finished") {
      return err(
        createError(
          "outcome_unknown",
          "the call ran, but its response was too large to store",
        ),
      );
    }
    return err(_decisionError(decision.kind));
  }

  async #runOnce(call: ServiceCall): Promise<CallResult> {
    const result = await this.#runCatching(call);
    if (result.isOk()) {
      const response = result.value;
      this.#table.complete(call.id, {
        kind: "finished",
        answer: response,
        answerBytes: response.body.byteLength,
      });
    } else {
      const isNotRun = errorResponseFor(result.error).runState === "not_run";
      this.#table.complete(call.id, { kind: isNotRun ? "refused" : "unknown" });
    }
    this.#running.delete(call.id);
    return result;
  }

  async #runCatching(call: ServiceCall): Promise<CallResult> {
    try {
      return await this.#options.run(call);
    } catch (cause) {
      return err(createError("outcome_unknown", String(cause)));
    }
  }

  /** If the owner cannot be reached, the call does not run here instead. */
  async #forward(
    call: ServiceCall,
    incarnation: IncarnationId,
  ): Promise<CallResult> {
    const owner = this.#findMember(incarnation);
    if (!owner) return err(_decisionError("foreign"));
    const remainingMilliseconds = call.deadlineMilliseconds - this.#now();
    const reply = await this.#options.network.request(
      owner.address,
      "execution.run",
      {
        id: call.id,
        workspace: call.workspace,
        service: call.service,
        method: call.method,
        path: call.path,
        headers: call.headers,
        body: call.body,
        priority: call.priority,
        remainingMilliseconds: Math.max(0, remainingMilliseconds),
      },
      Math.max(0, remainingMilliseconds) + FORWARD_GRACE_MILLISECONDS,
    );
    if (reply.isErr()) {
      const kind = reply.error.kind;
      if (kind === "peer_unreachable") {
        return err(createError("outcome_unknown", kind));
      }
      return err(reply.error);
    }
    return this.#readForwardedResponse(reply.value);
  }

  #readForwardedResponse(value: unknown): CallResult {
    const { answer, error } = value as {
      answer?: unknown;
      error?: ApplicationError;
    };
    if (error) return err(createError(error.kind, error.detail, error.path));
    const parsed = _responseSchema.safeParse(answer);
    if (!parsed.success) {
      return err(
        createError("outcome_unknown", "malformed forwarded response"),
      );
    }
    return ok(parsed.data);
  }

  async #handleRun(body: unknown): Promise<unknown> {
    const message = _runMessageSchema.safeParse(body);
    if (!message.success) {
      return { error: createError("malformed_frame", message.error.message) };
    }
    const { remainingMilliseconds, id, workspace, ...rest } = message.data;
    const result = await this.#executeLocally({
      ...rest,
      id: brandId<RequestId>(id),
      workspace: brandId<WorkspaceId>(workspace),
      deadlineMilliseconds: this.#now() + remainingMilliseconds,
    });
    return result.isOk() ? { answer: result.value } : { error: result.error };
  }

  #handleQuery(body: unknown): RequestOutcome {
    const message = _queryMessageSchema.safeParse(body);
    if (!message.success) return { state: "unknown" };
    return this.#queryLocally(
      brandId<RequestId>(message.data.id),
      brandId<WorkspaceId>(message.data.workspace),
    );
  }

  #queryLocally(id: RequestId, workspace: WorkspaceId): RequestOutcome {
    const decision = this.#table.query(id, workspace, this.#wallTime());
    if (decision.kind === "run") return { state: "refused" };
    if (decision.kind === "finished") {
      return { state: "finished", answer: decision.answer };
    }
    return { state: decision.kind };
  }
}
