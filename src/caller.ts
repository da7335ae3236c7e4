/**
 * Client library for the router fleet. It discovers the routers, retries only
 * requests that are safe to retry, resumes interrupted streams, and reports
 * whether a failed request did not run or has an unknown outcome.
 */
import { randomBytes } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { BackendTransport } from "./backend_transport.ts";
import { type CallFailure, toCallFailure } from "./call_failure.ts";
import { createAddressPool } from "./address_pool.ts";
import {
  type CallerResponse,
  createCallerHttp,
  parseRouterError,
} from "./caller_http.ts";
import { type ChatEvent, type ChatOptions, streamChat } from "./caller_chat.ts";
import { createError, errorResponseFor } from "./core/errors.ts";
import { brandId, type IncarnationId } from "./core/ids.ts";
import type { RandomSource } from "./core/random.ts";
import { formatRequestId } from "./core/request_id.ts";
import {
  createSystemTimerService,
  type TimerService,
} from "./timer_service.ts";

const DEFAULT_DEADLINE_MILLISECONDS = 30_000;
const MAXIMUM_ATTEMPTS = 6;
/** Retry n waits a random time of up to this times 2 ** n. */
const BASE_RETRY_DELAY_MILLISECONDS = 50;
const OUTCOME_POLL_INTERVAL_MILLISECONDS = 200;
const RANDOM_ID_BYTES = 12;

const _outcomeSchema = z.object({
  state: z.enum([
    "running",
    "finished",
    "refused",
    "unknown",
    "expired",
    "foreign",
  ]),
  answer: z.object({
    status: z.number(),
    headers: z.record(z.string(), z.string()),
    backend_server: z.string(),
    body_base64: z.string(),
  }).optional(),
});

/** Options of `createCaller`. */
export interface CallerOptions {
  /** Bootstrap addresses, used to discover the other routers. */
  readonly routers: readonly string[];
  readonly workspaceKey: string;
  readonly random: RandomSource;
  readonly timers?: TimerService;
}

/** A request to a plain (non-chat) service. */
export interface CallOptions {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly body?: string | Uint8Array;
  readonly headers?: Readonly<Record<string, string>>;
  readonly deadlineMilliseconds?: number;
}

/** The complete response of a plain service. */
export interface CallResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** A client of the fleet for one workspace. */
export interface Caller {
  /** Calls a plain service; the request is executed at most once. */
  call(options: CallOptions): Promise<Result<CallResponse, CallFailure>>;
  /** Streams a chat; an interrupted stream is resumed through another router. */
  chat(
    options: ChatOptions,
  ): AsyncGenerator<Result<ChatEvent, CallFailure>, void>;
  close(): Promise<void>;
}

/** Creates a client for one workspace; close it to release its connections. */
export function createCaller(options: CallerOptions): Caller {
  const timers = options.timers ?? createSystemTimerService();
  const transport = new BackendTransport(timers);
  const http = createCallerHttp({
    transport,
    timers,
    workspaceKey: options.workspaceKey,
  });
  const pool = createAddressPool({
    bootstrapAddresses: options.routers,
    clock: timers.clock,
    random: options.random,
    fetchAddresses: (address) => http.getJson(address, "/v1/addresses"),
  });

  function now(): number {
    return timers.clock.monotonicMilliseconds();
  }

  function backOff(attempt: number): Promise<void> {
    const limit = BASE_RETRY_DELAY_MILLISECONDS * 2 ** attempt;
    return timers.sleep(options.random.next() * limit, "caller retry");
  }

  /**
   * Polls for the outcome of a request until the deadline. The router that
   * failed is asked only if no other address is known.
   */
  async function findOutcome(
    id: string,
    failedAddress: string,
    deadline: number,
  ): Promise<Result<CallerResponse, CallFailure>> {
    const unknown = createError(
      "outcome_unknown",
      "no router knows the outcome of the request",
    );
    while (now() < deadline) {
      const addresses = await pool.list();
      const others = addresses.filter((entry) =>
        entry.address !== failedAddress
      );
      const [entry] = others.length > 0 ? others : addresses;
      if (!entry) break;
      const body = await http.getJson(entry.address, `/v1/requests/${id}`);
      const outcome = _outcomeSchema.safeParse(body);
      if (!outcome.success) {
        pool.avoid(entry.address);
      } else if (outcome.data.state === "refused") {
        return err({
          kind: "not_run",
          error: createError("request_refused", "sealed by an outcome query"),
        });
      } else if (outcome.data.state === "finished" && outcome.data.answer) {
        const { status, headers, body_base64: body } = outcome.data.answer;
        return ok({ status, headers, body: Buffer.from(body, "base64") });
      } else if (outcome.data.state !== "running") {
        return err({ kind: "outcome_unknown", error: unknown });
      }
      await timers.sleep(OUTCOME_POLL_INTERVAL_MILLISECONDS, "outcome poll");
    }
    return err({ kind: "outcome_unknown", error: unknown });
  }

  async function attempt(call: CallOptions, deadline: number) {
    const [target] = await pool.list();
    if (!target) {
      return err(
        toCallFailure(createError("peer_unreachable", "no router responded")),
      );
    }
    const incarnation = brandId<IncarnationId>(target.incarnation);
    const randomPart = randomBytes(RANDOM_ID_BYTES).toString("hex");
    const id = formatRequestId(incarnation, target.epoch, randomPart);
    const sent = await http.send(target.address, {
      method: call.method,
      path: `/v1/services/${call.service}${call.path}`,
      headers: { ...call.headers, "x-sapphirecart-request-id": id },
      body: call.body,
      deadline,
    });
    if (sent.isErr()) {
      pool.avoid(target.address);
      const failure = toCallFailure(sent.error);
      if (failure.kind === "not_run") return err(failure);
      return findOutcome(id, target.address, deadline);
    }
    const failure = parseRouterError(sent.value);
    if (!failure) return ok(sent.value);
    if (errorResponseFor(failure).status === 503) pool.avoid(target.address);
    return err(toCallFailure(failure));
  }

  function isRetryable({ kind, error }: CallFailure): boolean {
    return kind === "not_run" && errorResponseFor(error).retryable;
  }

  async function call(
    callOptions: CallOptions,
  ): Promise<Result<CallResponse, CallFailure>> {
    const timeout = callOptions.deadlineMilliseconds ??
      DEFAULT_DEADLINE_MILLISECONDS;
    const deadline = now() + timeout;
    for (let attempts = 1;; attempts++) {
      const result = await attempt(callOptions, deadline);
      const isLast = attempts >= MAXIMUM_ATTEMPTS || now() >= deadline;
      if (result.isOk() || isLast || !isRetryable(result.error)) return result;
      await backOff(attempts);
    }
  }

  return {
    call,
    chat: (chatOptions) =>
      streamChat(chatOptions, {
        http,
        pool,
        now,
        backOff,
        defaultDeadlineMilliseconds: DEFAULT_DEADLINE_MILLISECONDS,
        maximumAttempts: MAXIMUM_ATTEMPTS,
      }),
    close: () => transport.stop(),
  };
}
