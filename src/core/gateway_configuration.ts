/**
 * The configuration of a gateway: routes, services, workspaces and limits of one
 * version. It is replaced as a whole and never changed in place. The types are
 * inferred from schemas because peers send configurations to each other.
 */
import { z } from "zod";
import { listSchema } from "./list_schema.ts";
import {
  type Branded,
  brandId,
  type RegionId,
  type WorkspaceId,
} from "./ids.ts";

/** A named group of backend servers that serve the same requests. */
export type ServiceId = Branded<"ServiceId">;

/** Longest name of a route, service, workspace or host, in UTF-16 code units. */
export const MAXIMUM_NAME_LENGTH = 256;
const _name = z.string().min(1).max(MAXIMUM_NAME_LENGTH);
/** Validates the name of a service. */
export const serviceIdSchema = _name.transform((text) =>
  brandId<ServiceId>(text)
);
const _workspaceId = _name.transform((text) => brandId<WorkspaceId>(text));

/** Names of regions; absent if all are allowed. */
const _permittedRegions = listSchema(
  _name.transform((text) => brandId<RegionId>(text)),
).optional();

/** Whether and how a route's requests may be run more than once. */
export const ROUTE_KINDS = [
  "idempotent",
  "non_idempotent",
  "event_stream",
] as const;

const _target = z.object({
  service: serviceIdSchema,
  /** Relative to the route's other targets; a target with 0 gets no requests. */
  weight: z.number().min(0),
});

/** Validates one route. */
export const gatewayRouteSchema = z.object({
  name: _name,
  /** Host name without a port, in lower case. */
  hostName: z.string().max(MAXIMUM_NAME_LENGTH),
  /** Begins and ends with a slash. */
  pathPrefix: z.string().startsWith("/").endsWith("/"),
  kind: z.enum(ROUTE_KINDS),
  targets: listSchema(_target),
  /** Maximum number of backend servers that may run the same request. */
  maximumBackendServers: z.number().int().min(1),
  timeoutMilliseconds: z.number().positive(),
  /**
   * Latest time of the response, or of a stream's first event, that fully meets
   * the objective.
   */
  latencyObjectiveMilliseconds: z.number().positive(),
  /** Longest gap between two events of a stream that meets the objective. */
  gapObjectiveMilliseconds: z.number().positive().optional(),
  /** 0 is the highest priority. */
  priority: z.number().min(0),
  /** Public routes need no key. */
  isPublic: z.boolean(),
  /** An interrupted event stream may resume on another backend server. */
  isResumable: z.boolean(),
  /** Regions whose servers may get the route's requests. */
  permittedRegions: _permittedRegions,
});

const _warmUp = z.object({
  /** Requests per second that a server takes while it is cold. */
  requestsPerSecond: z.number().positive(),
  /** Time for which a server is cold after its start. */
  durationMilliseconds: z.number().min(0),
});

const _service = z.object({
  id: serviceIdSchema,
  /** Whether its backend servers can copy prompt caches from each other. */
  canCopyCache: z.boolean(),
  /** Absent if its servers need no warm-up; earlier releases do not send it. */
  warmUp: _warmUp.optional(),
  /** Connections that one server accepts from all routers; absent: unlimited. */
  maximumConnections: z.number().int().min(1).optional(),
  /** Tokens that the memory of one server holds; absent: unlimited. */
  memoryTokens: z.number().int().min(1).optional(),
});

const _workspace = z.object({
  id: _workspaceId,
  keys: listSchema(z.string().min(1)),
  /** Overrides the priority of the route. */
  priority: z.number().min(0).optional(),
  /** Regions whose servers may get the workspace's requests. */
  permittedRegions: _permittedRegions,
});

const _bounds = z.object({
  maximumHeaderBytes: z.number().positive(),
  maximumBodyBytes: z.number().positive(),
  headerTimeoutMilliseconds: z.number().positive(),
  idleTimeoutMilliseconds: z.number().positive(),
});

/** Validates one version of a gateway's configuration without its routes. */
export const gatewayConfigurationPartsSchema = z.object({
  /** Rises with every change; gaps are normal. */
  version: z.number(),
  services: listSchema(_service),
  /** Absent if requests need no key. */
  workspaces: listSchema(_workspace).optional(),
  bounds: _bounds,
});

/** Validates one version of a gateway's configuration. */
export const gatewayConfigurationSchema = gatewayConfigurationPartsSchema
  .extend({ routes: z.array(gatewayRouteSchema) });

/** One version of a gateway's configuration. */
export type GatewayConfiguration = z.infer<typeof gatewayConfigurationSchema>;
/** Which requests a route matches and how they are handled. */
export type GatewayRoute = z.infer<typeof gatewayRouteSchema>;
/** A service and its capabilities. */
export type GatewayService = z.infer<typeof _service>;
/** A workspace, the API keys that identify it and its priority. */
export type GatewayWorkspace = z.infer<typeof _workspace>;
/** Size and time limits of incoming requests. */
export type RequestBounds = z.infer<typeof _bounds>;
/** A service that receives a share of a route's requests. */
export type RouteTarget = GatewayRoute["targets"][number];
/** Determines whether a route's requests may be run more than once. */
export type RouteKind = GatewayRoute["kind"];

/** Whether a value is a route kind. */
export function isRouteKind(value: unknown): value is RouteKind {
  return (ROUTE_KINDS as readonly unknown[]).includes(value);
}

/** Whether a request of a route may run more than once. */
export function isRepeatable(route: GatewayRoute): boolean {
  return route.kind === "idempotent" ||
    (route.kind === "event_stream" && route.isResumable);
}
