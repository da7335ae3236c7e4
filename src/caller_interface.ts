/**
 * The HTTP interface of a router for callers, operators, health checks and
 * metrics. It validates requests and maps every error to a status and body.
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

/** Idle time after which a caller's keep-alive connection is closed. */
const KEEP_ALIVE_MILLISECONDS = 60_000;
const SERVICE_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"] as const;

/** Options of `createCallerInterface`. */
export interface CallerInterfaceOptions {
  readonly services: CallerServices;
  readonly keyAuthenticator: KeyAuthenticator;
  readonly metrics: Metrics;
  readonly maximumBodyBytes: number;
}

interface ServiceParameters {
  readonly service: string;
  readonly "*": string;
}

type AuthenticatedHandler<Parameters> = (
  request: FastifyRequest<{ Params: Parameters }>,
  reply: FastifyReply,
  workspace: AuthenticatedWorkspace,
) => Promise<unknown>;

/** Sends the status and body for an error's kind. */
export function sendError(
  reply: FastifyReply,
  error: ApplicationError,
): FastifyReply {
  return reply.code(errorResponseFor(error).status).send(toErrorBody(error));
}

/** Converts an error of Fastify or of a handler. */
function _toApplicationError(
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

function _readBody(request: FastifyRequest): Uint8Array {
  return request.body instanceof Uint8Array ? request.body : new Uint8Array();
}

/** Creates the HTTP server of a router; it does not listen yet. */
export function createCallerInterface(
  options: CallerInterfaceOptions,
): FastifyInstance {
  const { services, keyAuthenticator: authenticator, metrics } = options;
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
    sendError(reply, _toApplicationError(cause as Error & { code?: string }))
  );
  server.setNotFoundHandler((request, reply) =>
    sendError(
      reply,
      createError("not_found", `no route for ${request.method} ${request.url}`),
    )
  );
  server.addHook("onSend", (_request, reply, payload, done) => {
    if (services.isStopping()) reply.header("connection", "close");
    done(null, payload);
  });

  function requireWorkspaceKey<Parameters>(
    handler: AuthenticatedHandler<Parameters>,
  ): (
    request: FastifyRequest<{ Params: Parameters }>,
    reply: FastifyReply,
  ) => Promise<unknown> {
    return async (request, reply) => {
      const workspace = authenticator.authenticateWorkspace(
        request.headers.authorization,
      );
      if (workspace.isErr()) return sendError(reply, workspace.error);
      return handler(request, reply, workspace.value);
    };
  }

  function readMetadata(
    { headers }: FastifyRequest,
    { id: workspace, settings }: AuthenticatedWorkspace,
  ) {
    const header = headers["x-sapphirecart-request-id"];
    const id = typeof header === "string"
      ? brandId<RequestId>(header)
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

  function countRequest(
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
        services.isStopping()
          ? createError("stopping", "the router is shutting down")
          : createError("not_ready", "no configuration is in force yet"),
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
      requireWorkspaceKey(async (_request, _reply, workspace) =>
        services.addresses(workspace)
      ),
    );
    server.get("/v1/requests/:id", requireWorkspaceKey(handleOutcome));
    server.post("/v1/chat/completions", requireWorkspaceKey(handleChat));
    server.route<{ Params: ServiceParameters }>({
      method: [...SERVICE_METHODS],
      url: "/v1/services/:service/*",
      handler: requireWorkspaceKey(callService),
    });
  }

  async function handleOutcome(
    request: FastifyRequest<{ Params: { id: string } }>,
    reply: FastifyReply,
    workspace: AuthenticatedWorkspace,
  ): Promise<unknown> {
    const id = brandId<RequestId>(request.params.id);
    const found = await services.outcome(id, workspace.id);
    if (found.isErr()) return sendError(reply, found.error);
    const { state, answer } = found.value;
    if (state === "forbidden") {
      return sendError(
        reply,
        createError("forbidden", "the request belongs to another workspace"),
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
  }

  async function resumeChat(
    resumeToken: string,
    reply: FastifyReply,
    workspace: AuthenticatedWorkspace,
  ): Promise<FastifyReply> {
    const resumed = await services.resumeChat(workspace.id, resumeToken);
    countRequest("chat", resumed);
    if (resumed.isErr()) return sendError(reply, resumed.error);
    const format = { id: "resumed", model: "", stream: true };
    return sendChatResponse(reply, resumed.value, format);
  }

  async function handleChat(
    request: FastifyRequest,
    reply: FastifyReply,
    workspace: AuthenticatedWorkspace,
  ): Promise<FastifyReply> {
    const resumeToken = request.headers["last-event-id"];
    if (typeof resumeToken === "string") {
      return resumeChat(resumeToken, reply, workspace);
    }
    const body = safeParseChatBody(_readBody(request));
    if (body.isErr()) return sendError(reply, body.error);
    const metadata = readMetadata(request, workspace);
    const response = await services.chat({
      ...metadata,
      chat: readChatId(request.headers),
      body: body.value,
    });
    countRequest("chat", response);
    reply.header("x-sapphirecart-request-id", metadata.id);
    if (response.isErr()) return sendError(reply, response.error);
    const { model, stream } = body.value;
    return sendChatResponse(reply, response.value, {
      id: metadata.id,
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
    const metadata = readMetadata(request, workspace);
    const response = await services.callService({
      ...metadata,
      service,
      method: request.method,
      path: path.value,
      headers: readForwardedHeaders(request.headers),
      body: _readBody(request),
    });
    countRequest("service", response);
    reply.header("x-sapphirecart-request-id", metadata.id);
    if (response.isErr()) return sendError(reply, response.error);
    return reply.code(response.value.status)
      .headers(createResponseHeaders(response.value))
      .send(Buffer.from(response.value.body));
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
    for (const [method, url, handle] of routes) {
      server.route({
        method,
        url,
        handler: async (request, reply) => {
          const operator = authenticator.authenticateOperator(
            request.headers.authorization,
          );
          if (operator.isErr()) return sendError(reply, operator.error);
          return reply.send(handle());
        },
      });
    }
  }

  addPublicRoutes();
  addCallerRoutes();
  addOperatorRoutes();
  return server;
}
