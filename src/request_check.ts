/**
 * Validates a request before it is processed: header size, route, key and id.
 * Requests are rejected until a configuration is known.
 */
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import {
  intersectRegions,
  type PermittedRegions,
} from "./core/permitted_regions.ts";
import { type ApplicationError, createError } from "./core/errors.ts";
import type {
  GatewayRoute,
  GatewayWorkspace,
  RequestBounds,
  ServiceId,
} from "./core/gateway_configuration.ts";
import { heldTokensOf } from "./core/load_control/request_cost.ts";
import type { RequestDemand } from "./core/load_control/server_capacity.ts";
import {
  normaliseHostName,
  pickService,
  type RouteTable,
} from "./core/route_table.ts";
import type { GatewayProtocol, RequestMetadata } from "./gateway_protocol.ts";
import type { GatewayStateTask } from "./gateway_state_task.ts";

const MAXIMUM_REQUEST_ID_CHARACTERS = 256;
/** Bytes of a header line besides its name and value: ": " and CRLF. */
const HEADER_OVERHEAD_BYTES = 4;

/** A request that passed the checks. */
export interface CheckedRequest extends RequestDemand {
  readonly requestId: string;
  readonly route: GatewayRoute;
  readonly service: ServiceId;
  readonly workspace: string | undefined;
  readonly metadata: RequestMetadata;
  // Not optional, so that no check of a request forgets it.
  readonly permittedRegions: PermittedRegions;
  /** Whether servers of the service can copy caches from each other. */
  readonly canCopyCache: boolean;
  readonly bounds: RequestBounds;
  /** Time from arrival within which the caller gets a response. */
  readonly timeoutMilliseconds: number;
}

/** Dependencies of the check. */
export interface CheckContext {
  readonly state: GatewayStateTask;
  readonly protocol: GatewayProtocol;
}

function _headerBytes(request: IncomingMessage): number {
  const { rawHeaders, url } = request;
  let bytes = url?.length ?? 0;
  for (const text of rawHeaders) bytes += text.length;
  return bytes + (rawHeaders.length / 2) * HEADER_OVERHEAD_BYTES;
}

function _authenticate(
  table: RouteTable,
  route: GatewayRoute,
  key: string | undefined,
): Result<GatewayWorkspace | undefined, ApplicationError> {
  if (!table.configuration.workspaces) return ok(undefined);
  const workspace = key === undefined ? undefined : table.findWorkspace(key);
  if (workspace || route.isPublic) return ok(workspace);
  return err(createError("unauthenticated", "the key is missing or unknown"));
}

/** Returns the checked request, or the error with which to reject it. */
export function checkRequest(
  request: IncomingMessage,
  { state, protocol }: CheckContext,
): Result<CheckedRequest, ApplicationError> {
  const table = state.table();
  if (!table || !state.allowsServing()) {
    return err(createError("not_ready", "the configuration is not known yet"));
  }
  const { bounds } = table.configuration;
  if (_headerBytes(request) > bounds.maximumHeaderBytes) {
    return err(
      createError("headers_too_large", "the headers exceed the size limit"),
    );
  }
  const hostName = normaliseHostName(request.headers.host ?? "");
  const route = table.findRoute(hostName, request.url ?? "");
  if (!route) return err(createError("not_found", "no route matches"));
  const metadata = protocol.readRequest(request.headers);
  const workspace = _authenticate(table, route, metadata.key);
  if (workspace.isErr()) return err(workspace.error);
  const { requestId } = metadata;
  if (!requestId || requestId.length > MAXIMUM_REQUEST_ID_CHARACTERS) {
    return err(
      createError("malformed_request", "the request id is missing or too long"),
    );
  }
  const service = pickService(route, requestId);
  if (!service) return err(createError("no_backend_server", "no service"));
  const target = table.findService(service);
  const { promptParts: parts } = metadata;
  return ok({
    requestId,
    route,
    service,
    workspace: workspace.value?.id,
    urgency: workspace.value?.priority ?? route.priority,
    metadata,
    permittedRegions: intersectRegions(
      route.permittedRegions,
      workspace.value?.permittedRegions,
    ),
    canCopyCache: target?.canCopyCache ?? false,
    heldTokens: target?.memoryTokens === undefined
      ? 0
      : heldTokensOf(protocol.readTokens(request.headers), parts),
    parts,
    bounds,
    timeoutMilliseconds: Math.min(
      metadata.deadlineMilliseconds ?? route.timeoutMilliseconds,
      route.timeoutMilliseconds,
    ),
  });
}
