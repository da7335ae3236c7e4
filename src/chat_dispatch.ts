/**
 * Sends chats to engines. Generation is idempotent, so a chat that has produced
 * no event is retried on another engine within the retry budget; once events
 * were delivered, the stream is resumed on its engine or ends with an error.
 */
import { err, ok, type Result } from "neverthrow";
import type { AdmissionClient, Slot } from "./admission_client.ts";
import type {
  BackendClient,
  ChatStartResult,
  ChatStreamEvents,
} from "./backend_client.ts";
import { findSlot } from "./slot_search.ts";
import type { ChatResponse, ChatResponseEvent } from "./caller_services.ts";
import type { ChatHomeTask } from "./chat_home_task.ts";
import { type ChatRequest, estimatePromptTokens } from "./chat_request.ts";
import type { ConfigurationView } from "./configuration_view.ts";
import { type ApplicationError, createError } from "./core/errors.ts";
import {
  type BackendServerId,
  brandId,
  type SocketAddress,
  type WorkspaceId,
} from "./core/ids.ts";
import type { RetryBudget } from "./core/retry_budget.ts";
import {
  createResumeToken,
  safeParseResumeToken,
} from "./core/resume_token.ts";
import type { Candidate } from "./core/routing.ts";
import type { Metrics } from "./metrics.ts";
import type { RoutingContext } from "./routing_context.ts";
import type { TimerService } from "./timer_service.ts";

/** Maximum duration of a resumed stream. */
const RESUME_DEADLINE_MILLISECONDS = 60_000;

/** Options of `createChatDispatch`. */
export interface ChatDispatchOptions {
  readonly configuration: ConfigurationView;
  readonly routing: RoutingContext;
  readonly admission: AdmissionClient;
  readonly chatHome: ChatHomeTask;
  readonly backends: BackendClient;
  readonly retries: RetryBudget;
  readonly timers: TimerService;
  readonly metrics: Metrics;
  readonly fleetKey: string;
  /** Called when a backend server could not be reached. */
  readonly onUnreachable: (backendServer: BackendServerId) => void;
}

/** Sends chats to engines. */
export interface ChatDispatch {
  start(request: ChatRequest): Promise<Result<ChatResponse, ApplicationError>>;
  resume(
    workspace: WorkspaceId,
    token: string,
  ): Promise<Result<ChatResponse, ApplicationError>>;
}

interface _StartedStream {
  readonly slot: Slot;
  readonly opening: Extract<ChatStartResult, { kind: "stream" }>;
}

interface _StreamSource {
  readonly workspace: WorkspaceId;
  readonly model: string;
  readonly backendServer: string;
  readonly streamId: string;
  readonly events: ChatStreamEvents;
  readonly arrivedAt: number | undefined;
  readonly onEnd: (usage: ChatResponseEvent["usage"]) => void;
}

/** Creates the chat dispatch of one router. */
export function createChatDispatch(options: ChatDispatchOptions): ChatDispatch {
  const { routing, admission, backends, retries, timers, metrics } = options;

  function now(): number {
    return timers.clock.monotonicMilliseconds();
  }

  function findAddress(backendServer: string): SocketAddress | undefined {
    const server = options.configuration.current()?.fleet
      .backendServers[backendServer];
    return server && brandId<SocketAddress>(server.address);
  }

  /**
   * Returns a function that ranks the candidates with the current loads, which
   * change while a request waits.
   */
  async function createRanking(
    request: ChatRequest,
  ): Promise<Result<() => readonly Candidate[], ApplicationError>> {
    const { workspace, chat, body } = request;
    const target = {
      kind: "model",
      model: body.model,
      adapter: body.adapter,
    } as const;
    if (!routing.index()?.eligible(workspace, target)) {
      return err(
        createError(
          "forbidden",
          `model ${body.model} is not available to the workspace`,
          ["model"],
        ),
      );
    }
    const remembered = chat === undefined
      ? []
      : await options.chatHome.lookup(workspace, chat);
    const routingRequest = {
      workspace,
      chat,
      target,
      promptTokens: estimatePromptTokens(body),
      outputTokens: body.max_tokens,
    };
    return ok(() => routing.rank(routingRequest, remembered));
  }

  async function openStream(
    request: ChatRequest,
    slot: Slot,
  ): Promise<Result<_StartedStream, ApplicationError>> {
    const address = findAddress(slot.backendServer);
    if (!address) {
      return err(createError("no_backend_server", slot.backendServer));
    }
    const { workspace, chat, body, priority } = request;
    const opened = await backends.streamChat({
      address,
      requestId: request.id,
      deadline: request.deadlineMilliseconds,
      body: {
        ...body,
        priority,
        ...(chat === undefined ? {} : { chat: `${workspace}/${chat}` }),
      },
    });
    if (opened.isErr()) return err(opened.error);
    if (opened.value.kind === "stream") {
      return ok({ slot, opening: opened.value });
    }
    const { status } = opened.value.answer;
    return err(
      createError(
        "backend_failed",
        `${slot.backendServer} returned status ${status}`,
      ),
    );
  }

  /**
   * Makes one attempt, on the best server with a free slot that has not failed
   * for this request yet.
   */
  async function attempt(
    request: ChatRequest,
    failed: ReadonlySet<BackendServerId>,
  ): Promise<
    Result<_StartedStream, ApplicationError & { server?: BackendServerId }>
  > {
    const ranked = await createRanking(request);
    if (ranked.isErr()) return err(ranked.error);
    const fleet = options.configuration.current()?.fleet.fleet;
    const slot = await findSlot(admission, timers, {
      workspace: request.workspace,
      priority: request.priority,
      deadlineMilliseconds: Math.min(
        request.deadlineMilliseconds,
        now() + (fleet?.queueWaitMilliseconds ?? 0),
      ),
      mayQueue: true,
      candidates: () =>
        ranked.value().filter(({ backendServer }) =>
          !failed.has(backendServer)
        ),
    });
    if (slot.isErr()) return err(slot.error);
    const started = await openStream(request, slot.value);
    if (started.isOk()) return ok(started.value);
    admission.release(slot.value);
    return err({ ...started.error, server: slot.value.backendServer });
  }

  async function start(
    request: ChatRequest,
  ): Promise<Result<ChatResponse, ApplicationError>> {
    const arrivedAt = now();
    const failed = new Set<BackendServerId>();
    retries.recordRequest(arrivedAt);
    for (;;) {
      const started = await attempt(request, failed);
      if (started.isOk()) {
        return ok(toChatResponse(request, started.value, arrivedAt));
      }
      const { server, ...error } = started.error;
      if (!server) return err(error);
      failed.add(server);
      if (error.kind === "backend_unreachable") options.onUnreachable(server);
      if (now() >= request.deadlineMilliseconds) return err(error);
      if (!retries.mayRetry(error.kind, true, now())) return err(error);
      metrics.retries.inc({ reason: error.kind });
      await timers.sleep(retries.delayMilliseconds(failed.size), "chat retry");
    }
  }

  function toChatResponse(
    request: ChatRequest,
    started: _StartedStream,
    arrivedAt: number,
  ): ChatResponse {
    const { slot, opening } = started;
    const { workspace, chat, body } = request;
    return {
      backendServer: slot.backendServer,
      events: readEvents({
        workspace,
        model: body.model,
        backendServer: slot.backendServer,
        streamId: opening.streamId,
        events: opening.events,
        arrivedAt,
        onEnd(usage) {
          admission.release(slot);
          if (!usage) return;
          routing.recordServed(workspace, slot.backendServer);
          metrics.promptTokens.inc({ source: "cached" }, usage.cachedTokens);
          const computed = usage.promptTokens - usage.cachedTokens;
          metrics.promptTokens.inc({ source: "computed" }, computed);
          if (chat === undefined) return;
          const cachedTokens = usage.promptTokens + usage.completionTokens;
          options.chatHome.remember(
            workspace,
            chat,
            slot.backendServer,
            cachedTokens,
          );
        },
      }),
    };
  }

  /**
   * Reads the engine's stream to its end, even if the caller disconnects: the
   * engine keeps generating, the slot counts as load until it is done, and the
   * caller may resume through another router.
   */
  function readEvents(source: _StreamSource): ChatResponse["events"] {
    let finished = false;
    async function* read() {
      let usage: ChatResponseEvent["usage"];
      try {
        for await (const event of source.events) {
          if (event.isErr()) {
            yield err(event.error);
            return;
          }
          usage = event.value.usage ?? usage;
          yield ok(toResponseEvent(event.value));
        }
      } finally {
        finished = true;
        source.onEnd(usage);
      }
    }
    let isFirst = true;
    function toResponseEvent(
      event: Omit<ChatResponseEvent, "resumeToken">,
    ): ChatResponseEvent {
      if (isFirst && source.arrivedAt !== undefined) {
        metrics.firstTokenSeconds.observe((now() - source.arrivedAt) / 1_000);
      }
      isFirst = false;
      const resumeToken = createResumeToken({
        workspace: source.workspace,
        backendServer: source.backendServer,
        stream: source.streamId,
        offset: event.offset,
        model: source.model,
      }, options.fleetKey);
      return { ...event, resumeToken };
    }
    const events = read();
    return {
      [Symbol.asyncIterator]: () => ({
        next: () => events.next(),
        async return() {
          if (!finished) void drain(events);
          return { done: true, value: undefined };
        },
      }),
    };
  }

  /** Reads the remaining events, so that the slot is released at the end. */
  async function drain(events: AsyncGenerator<unknown, void>): Promise<void> {
    let next = await events.next();
    while (!next.done) next = await events.next();
  }

  async function resume(
    workspace: WorkspaceId,
    token: string,
  ): Promise<Result<ChatResponse, ApplicationError>> {
    const parsed = safeParseResumeToken(token, workspace, options.fleetKey);
    if (parsed.isErr()) return err(parsed.error);
    const { backendServer, stream, offset, model } = parsed.value;
    const address = findAddress(backendServer);
    if (!address) return err(createError("stream_gone", backendServer));
    const opened = await backends.resumeStream({
      address,
      streamId: stream,
      offset,
      deadline: now() + RESUME_DEADLINE_MILLISECONDS,
    });
    if (opened.isErr()) return err(opened.error);
    if (opened.value.kind !== "stream") {
      return err(
        createError(
          "stream_gone",
          `the engine returned status ${opened.value.answer.status}`,
        ),
      );
    }
    return ok({
      backendServer,
      events: readEvents({
        workspace,
        model,
        backendServer,
        streamId: stream,
        events: opened.value.events,
        arrivedAt: undefined,
        onEnd: () => undefined,
      }),
    });
  }

  return { start, resume };
}
