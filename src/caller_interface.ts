/**
 * The HTTP interface of a router: callers, operators, health and metrics. It
 * parses at the edge and answers every failure from the error table.
 */
import fastify, {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from "fastify";
import type { Result } from "neverthrow";
import type { Access, AuthenticatedWorkspace } from "./access.ts";
import type { CallerServices } from "./caller_services.ts";
import { answerWithChat } from "./chat_answer.ts";
import { safeParseChatBody } from "./chat_request.ts";
import {
  answerFor,
  type ApplicationError,
  createError,
  toErrorBody,
} from "./core/errors.ts";
import { brandId, type ChatId, type RequestId } from "./core/ids.ts";
import type { Metrics } from "./metrics.ts";
import {
  createAnswerHeaders,
  readChatId,
  readDeadline,
  readForwardedHeaders,
  readPriority,
  readServicePath,
} from "./request_headers.ts";

/** Time after which an idle keep-alive connection of a caller is closed, in milliseconds. */
const KEEP_ALIVE_MILLISECONDS = 60_000;
const SERVICE_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"] as const;

/** What the interface needs. */
export interface CallerInterfaceOptions {
  readonly services: CallerServices;
  readonly access: Access;
  readonly metrics: Metrics;
  readonly maximumBodyBytes: number;
}

interface ServiceParameters {
  readonly service: string;
  readonly "*": string;
}

/** Answers with the status and body that belong to an error's kind. */
export function sendError(
  reply: FastifyReply,
  error: ApplicationError,
): FastifyReply {
  return reply.code(answerFor(error).status).send(toErrorBody(error));
}

function _fromFrameworkError(
  cause: { code?: string; statusCode?: number; message: string },
) {
  if (cause.code === "FST_ERR_CTP_BODY_TOO_LARGE") {
    return createError("body_too_large", cause.message);
  }
  const isCallerFault = cause.statusCode !== undefined &&
    cause.statusCode < 500;
  return createError(
    isCallerFault ? "malformed_request" : "internal",
    cause.message,
  );
}

function _bodyOf(request: FastifyRequest): Uint8Array {
  return request.body instanceof Uint8Array ? request.body : new Uint8Array();
}

/** Creates the HTTP server of a router; it does not listen yet. */
export function createCallerInterface(
  options: CallerInterfaceOptions,
): FastifyInstance {
  const { services, access, metrics } = options;
  const server = fastify({
    bodyLimit: options.maximumBodyBytes,
    keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
    forceCloseConnections: "idle",
    return503OnClosing: false,
  });

  server.removeAllContentTypeParsers();
  server.addContentTypeParser(
    "*",
    { parseAs: "buffer" },
    (_request, body, done) => {
      done(null, body);
    },
  );
  server.setErrorHandler((cause, _request, reply) =>
    sendError(reply, _fromFrameworkError(cause as Error & { code?: string }))
  );
  server.setNotFoundHandler((request, reply) =>
    sendError(
      reply,
      createError("not_found", `${request.method} ${request.url}`),
    )
  );
  server.addHook("onSend", (_request, reply, payload, done) => {
    if (services.isStopping()) reply.header("connection", "close");
    done(null, payload);
  });

  function authenticate(
    request: FastifyRequest,
  ): Result<AuthenticatedWorkspace, ApplicationError> {
    return access.workspaceOf(request.headers.authorization);
  }

  function requestIdOf(request: FastifyRequest): RequestId {
    const given = request.headers["x-sapphirecart-request-id"];
    return typeof given === "string"
      ? brandId<RequestId>(given)
      : services.newRequestId();
  }

  function count(
    kind: string,
    result: Result<unknown, ApplicationError>,
  ): void {
    metrics.requests.inc({
      kind,
      outcome: result.isOk() ? "ok" : result.error.kind,
    });
  }

  function addPublicRoutes(): void {
    server.get("/healthz", async () => ({ healthy: true }));
    server.get("/readyz", async (_request, reply) => {
      if (services.isReady() && !services.isStopping()) return { ready: true };
      return sendError(
        reply,
        createError(services.isStopping() ? "stopping" : "not_ready", ""),
      );
    });
    server.get("/metrics", async (_request, reply) => {
      reply.type(metrics.registry.contentType);
      return metrics.registry.metrics();
    });
  }

  function addCallerRoutes(): void {
    server.get<{ Querystring: { chat?: string } }>(
      "/v1/addresses",
      async (request, reply) => {
        const workspace = authenticate(request);
        if (workspace.isErr()) return sendError(reply, workspace.error);
        const chat = request.query.chat;
        return services.addresses(
          workspace.value,
          chat === undefined ? undefined : brandId<ChatId>(chat),
        );
      },
    );
    server.get<{ Params: { id: string } }>(
      "/v1/requests/:id",
      async (request, reply) => {
        const workspace = authenticate(request);
        if (workspace.isErr()) return sendError(reply, workspace.error);
        const outcome = await services.outcome(
          brandId<RequestId>(request.params.id),
          workspace.value.id,
        );
        if (outcome.isErr()) return sendError(reply, outcome.error);
        const { state, answer } = outcome.value;
        if (state === "forbidden") {
          return sendError(
            reply,
            createError("forbidden", "not yours"),
          );
        }
        return {
          state,
          answer: answer && {
            status: answer.status,
            headers: answer.headers,
            backend_server: answer.backendServer,
            body_base64: Buffer.from(answer.body).toString("base64"),
          },
        };
      },
    );
    server.post("/v1/chat/completions", chat);
    server.route<{ Params: ServiceParameters }>({
      method: [...SERVICE_METHODS],
      url: "/v1/services/:service/*",
      handler: callService,
    });
  }

  async function chat(
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<FastifyReply> {
    const workspace = authenticate(request);
    if (workspace.isErr()) return sendError(reply, workspace.error);
    const resumeToken = request.headers["last-event-id"];
    if (typeof resumeToken === "string") {
      const resumed = await services.resumeChat(
        workspace.value.id,
        resumeToken,
      );
      count("chat", resumed);
      if (resumed.isErr()) return sendError(reply, resumed.error);
      return answerWithChat(reply, resumed.value, {
        id: "resumed",
        model: "",
        stream: true,
      });
    }
    const body = safeParseChatBody(_bodyOf(request));
    if (body.isErr()) return sendError(reply, body.error);
    const id = requestIdOf(request);
    const answer = await services.chat({
      id,
      workspace: workspace.value.id,
      chat: readChatId(request.headers),
      body: body.value,
      priority: readPriority(
        request.headers,
        workspace.value.settings.priority,
      ),
      deadlineMilliseconds: readDeadline(
        request.headers,
        services.monotonicMilliseconds(),
      ),
    });
    count("chat", answer);
    reply.header("x-sapphirecart-request-id", id);
    if (answer.isErr()) return sendError(reply, answer.error);
    const { model, stream } = body.value;
    return answerWithChat(reply, answer.value, { id, model, stream });
  }

  async function callService(
    request: FastifyRequest<{ Params: ServiceParameters }>,
    reply: FastifyReply,
  ): Promise<FastifyReply> {
    const workspace = authenticate(request);
    if (workspace.isErr()) return sendError(reply, workspace.error);
    const path = readServicePath(request.params.service, request.url);
    if (path.isErr()) return sendError(reply, path.error);
    const id = requestIdOf(request);
    const answer = await services.callService({
      id,
      workspace: workspace.value.id,
      service: request.params.service,
      method: request.method,
      path: path.value,
      headers: readForwardedHeaders(request.headers),
      body: _bodyOf(request),
      priority: readPriority(
        request.headers,
        workspace.value.settings.priority,
      ),
      deadlineMilliseconds: readDeadline(
        request.headers,
        services.monotonicMilliseconds(),
      ),
    });
    count("service", answer);
    reply.header("x-sapphirecart-request-id", id);
    if (answer.isErr()) return sendError(reply, answer.error);
    return reply.code(answer.value.status)
      .headers(createAnswerHeaders(answer.value))
      .send(Buffer.from(answer.value.body));
  }

  function addOperatorRoutes(): void {
    const routes = [
      ["GET", "/operator/status", () => services.status()],
      ["GET", "/operator/dump", () => services.dump()],
      ["POST", "/operator/stop", () => {
        services.beginStop();
        return { stopping: true };
      }],
    ] as const;
    for (const [method, url, respond] of routes) {
      server.route({
        method,
        url,
        handler: async (request, reply) => {
          const operator = access.operatorOf(request.headers.authorization);
          if (operator.isErr()) return sendError(reply, operator.error);
          return reply.send(respond());
        },
      });
    }
  }

  addPublicRoutes();
  addCallerRoutes();
  addOperatorRoutes();
  return server;
}
