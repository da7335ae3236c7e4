/**
 * What a gateway serves: routes, services, workspaces and limits of one version.
 * A configuration is replaced as a whole and never changed in place. The types
 * come from schemas, because peers hand configurations to each other.
 */
import { z } from "zod";
import { type Branded, brandId, type WorkspaceId } from "./ids.ts";

/** A named group of backend servers that serve the same requests. */
export type ServiceId = Branded<"ServiceId">;

const _name = z.string().min(1).max(256);
/** The name of a service. */
export const serviceIdSchema = _name.transform((text) =>
  brandId<ServiceId>(text)
);
const _workspaceId = _name.transform((text) => brandId<WorkspaceId>(text));

/** What may be done a second time with a request of a route. */
export const ROUTE_KINDS = [
  "idempotent",
  "non_idempotent",
  "event_stream",
] as const;

const _target = z.object({
  service: serviceIdSchema,
  /** Relative to the other targets of the route; 0 gets nothing. */
  weight: z.number().min(0),
});

const _route = z.object({
  name: _name,
  /** Host name without a port, in lower case. */
  hostName: z.string().max(256),
  /** Begins and ends with a slash. */
  pathPrefix: z.string().startsWith("/").endsWith("/"),
  kind: z.enum(ROUTE_KINDS),
  targets: z.array(_target),
  /** Largest number of backend servers that may run one request. */
  maximumBackendServers: z.number().int().min(1),
  timeoutMilliseconds: z.number().positive(),
  /** Time to the answer, or to the first event, that earns full credit. */
  latencyObjectiveMilliseconds: z.number().positive(),
  /** 0 is the most urgent. */
  priority: z.number().min(0),
  /** Public routes need no key. */
  isPublic: z.boolean(),
  /** A broken event stream may go on at another backend server. */
  isResumable: z.boolean(),
});

const _service = z.object({
  id: serviceIdSchema,
  /** Its servers can copy the cache of a prompt from each other. */
  canCopyCache: z.boolean(),
});

const _workspace = z.object({
  id: _workspaceId,
  keys: z.array(z.string().min(1)),
  /** Overrides the priority of routes. */
  priority: z.number().min(0).optional(),
});

const _bounds = z.object({
  maximumHeaderBytes: z.number().positive(),
  maximumBodyBytes: z.number().positive(),
  headerTimeoutMilliseconds: z.number().positive(),
  idleTimeoutMilliseconds: z.number().positive(),
});

/** One version of everything that a gateway serves. */
export const gatewayConfigurationSchema = z.object({
  /** Rises with every change; gaps are normal. */
  version: z.number(),
  routes: z.array(_route),
  services: z.array(_service),
  /** Absent if requests need no key. */
  workspaces: z.array(_workspace).optional(),
  bounds: _bounds,
});

/** One version of everything that a gateway serves. */
export type GatewayConfiguration = z.infer<typeof gatewayConfigurationSchema>;
/** Which requests match, and how they are treated. */
export type GatewayRoute = z.infer<typeof _route>;
/** A service as the configuration describes it. */
export type GatewayService = z.infer<typeof _service>;
/** A workspace with the keys that identify it. */
export type GatewayWorkspace = z.infer<typeof _workspace>;
/** What callers may send. */
export type RequestBounds = z.infer<typeof _bounds>;
/** What may be done a second time with a request of a route. */
export type RouteKind = GatewayRoute["kind"];

/** Whether a request of a route may run more than once. */
export function isRepeatable(route: GatewayRoute): boolean {
  return route.kind === "idempotent" ||
    (route.kind === "event_stream" && route.isResumable);
}
