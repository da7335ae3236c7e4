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
import type {
  AuthenticatedWorkspace,
  KeyAuthenticator,
} from "./key_authenticator.ts";
import type { CallerServices } from "./caller_services.ts";
import { sendChatResponse } from "./chat_response.ts";
import { safeParseChatBody } from "./chat_request.ts";
import {
  type ApplicationError,
  createError,
  errorResponseFor,
  toErrorBody,
} from "./core/errors.ts";
import { brandId, type RequestId } from "./core/ids.ts";
import type { Metrics } from "./metrics.ts";
import {
  createResponseHeaders,
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
  readonly access: KeyAuthenticator;
  readonly metrics: Metrics;
  readonly maximumBodyBytes: number;
}

interface ServiceParameters {
  readonly service: string;
  readonly "*": string;
}

type IdentifiedHandler<Parameters> = (
  request: FastifyRequest<{ Params: Parameters }>,
  reply: FastifyReply,
  workspace: AuthenticatedWorkspace,
) => Promise<unknown>;

/** Answers with the status and body that belong to an error's kind. */
export function sendError(
  reply: FastifyReply,
  error: ApplicationError,
): FastifyReply {
  return reply.code(errorResponseFor(error).status).send(toErrorBody(error));
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

  /** Runs a handler for a caller whose key is known, and answers the others. */
  function identified<Parameters>(
    handler: IdentifiedHandler<Parameters>,
  ): (
    request: FastifyRequest<{ Params: Parameters }>,
    reply: FastifyReply,
  ) => Promise<unknown> {
    return async (request, reply) => {
      const workspace = access.workspaceOf(request.headers.authorization);
      if (workspace.isErr()) return sendError(reply, workspace.error);
      return handler(request, reply, workspace.value);
    };
  }

  /** What chats and calls have in common. */
  function envelopeOf(
    { headers }: FastifyRequest,
    { id: workspace, settings }: AuthenticatedWorkspace,
  ) {
    const given = headers["x-sapphirecart-request-id"];
    const id = typeof given === "string"
      ? brandId<RequestId>(given)
      : services.newRequestId();
    return {
      id,
      workspace,
      priority: readPriority(headers, settings.priority),
      deadlineMilliseconds: readDeadline(
        headers,
        services.monotonicMilliseconds(),
      ),
    };
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
    server.get(
      "/v1/addresses",
      identified(async (_request, _reply, workspace) =>
        services.addresses(workspace)
      ),
    );
    server.get("/v1/requests/:id", identified(outcome));
    server.post("/v1/chat/completions", identified(chat));
    server.route<{ Params: ServiceParameters }>({
      method: [...SERVICE_METHODS],
      url: "/v1/services/:service/*",
      handler: identified(callService),
    });
  }

  async function outcome(
    request: FastifyRequest<{ Params: { id: string } }>,
    reply: FastifyReply,
    workspace: AuthenticatedWorkspace,
  ): Promise<unknown> {
    const id = brandId<RequestId>(request.params.id);
    const found = await services.outcome(id, workspace.id);
    if (found.isErr()) return sendError(reply, found.error);
    const { state, answer } = found.value;
    if (state === "forbidden") {
      return sendError(reply, createError("forbidden", "not yours"));
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
  }

  async function resumeChat(
    resumeToken: string,
    reply: FastifyReply,
    workspace: AuthenticatedWorkspace,
  ): Promise<FastifyReply> {
    const resumed = await services.resumeChat(workspace.id, resumeToken);
    count("chat", resumed);
    if (resumed.isErr()) return sendError(reply, resumed.error);
    const format = { id: "resumed", model: "", stream: true };
    return sendChatResponse(reply, resumed.value, format);
  }

  async function chat(
    request: FastifyRequest,
    reply: FastifyReply,
    workspace: AuthenticatedWorkspace,
  ): Promise<FastifyReply> {
    const resumeToken = request.headers["last-event-id"];
    if (typeof resumeToken === "string") {
      return resumeChat(resumeToken, reply, workspace);
    }
    const body = safeParseChatBody(_bodyOf(request));
    if (body.isErr()) return sendError(reply, body.error);
    const envelope = envelopeOf(request, workspace);
    const answer = await services.chat({
      ...envelope,
      chat: readChatId(request.headers),
      body: body.value,
    });
    count("chat", answer);
    reply.header("x-sapphirecart-request-id", envelope.id);
    if (answer.isErr()) return sendError(reply, answer.error);
    const { model, stream } = body.value;
    return sendChatResponse(reply, answer.value, {
      id: envelope.id,
      model,
      stream,
    });
  }

  async function callService(
    request: FastifyRequest<{ Params: ServiceParameters }>,
    reply: FastifyReply,
    workspace: AuthenticatedWorkspace,
  ): Promise<FastifyReply> {
    const { service } = request.params;
    const path = readServicePath(service, request.url);
    if (path.isErr()) return sendError(reply, path.error);
    const envelope = envelopeOf(request, workspace);
    const answer = await services.callService({
      ...envelope,
      service,
      method: request.method,
      path: path.value,
      headers: readForwardedHeaders(request.headers),
      body: _bodyOf(request),
    });
    count("service", answer);
    reply.header("x-sapphirecart-request-id", envelope.id);
    if (answer.isErr()) return sendError(reply, answer.error);
    return reply.code(answer.value.status)
      .headers(createResponseHeaders(answer.value))
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
