/** Parses configurations that peers send, without a schema for each route. */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import {
  type GatewayConfiguration,
  gatewayConfigurationPartsSchema,
  type GatewayRoute,
  gatewayRouteSchema,
} from "./gateway_configuration.ts";
import { checkPlainRoute } from "./plain_route.ts";

const _configuration = gatewayConfigurationPartsSchema.extend({
  routes: z.array(z.unknown()),
});

/** Parses a route, or describes why it is invalid. */
export function safeParseRoute(value: unknown): Result<GatewayRoute, string> {
  const plain = typeof value === "object" && value !== null
    ? checkPlainRoute(value)
    : undefined;
  if (plain) return ok(plain);
  const parsed = gatewayRouteSchema.safeParse(value);
  return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
}

/** Parses one version of a configuration, or describes why it is invalid. */
export function safeParseConfiguration(
  value: unknown,
): Result<GatewayConfiguration, string> {
  const parsed = _configuration.safeParse(value);
  if (!parsed.success) return err(z.prettifyError(parsed.error));
  const routes: GatewayRoute[] = [];
  for (const item of parsed.data.routes) {
    const route = safeParseRoute(item);
    if (route.isErr()) return err(route.error);
    routes.push(route.value);
  }
  return ok({ ...parsed.data, routes });
}
