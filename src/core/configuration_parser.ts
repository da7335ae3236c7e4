/** Parses configurations that peers send, without a schema for each route. */
import { ok, type Result } from "neverthrow";
import { z } from "zod";
import {
  type GatewayConfiguration,
  gatewayConfigurationPartsSchema,
  type GatewayRoute,
  gatewayRouteSchema,
} from "./gateway_configuration.ts";
import { checkPlainRoute } from "./plain_route.ts";
import { parseAll, safeParseWith } from "./schema_result.ts";

const _configuration = gatewayConfigurationPartsSchema.extend({
  routes: z.array(z.unknown()),
});

/** Parses a route, or describes why it is invalid. */
export function safeParseRoute(value: unknown): Result<GatewayRoute, string> {
  const plain = typeof value === "object" && value !== null
    ? checkPlainRoute(value)
    : undefined;
  return plain ? ok(plain) : safeParseWith(gatewayRouteSchema, value);
}

/** Parses one version of a configuration, or describes why it is invalid. */
export function safeParseConfiguration(
  value: unknown,
): Result<GatewayConfiguration, string> {
  return safeParseWith(_configuration, value).andThen((parsed) =>
    parseAll(parsed.routes, safeParseRoute)
      .map((routes) => ({ ...parsed, routes }))
  );
}
