/** Creates registered backend servers, and demands of requests, for tests. */
import type { RequestDemand } from "../src/core/load_control/server_capacity.ts";
import type { RegisteredServer } from "../src/core/server_registry.ts";
import { registeredServerSchema } from "../src/core/server_registrations.ts";

/** Returns a server of the service `pool`; `options` override its fields. */
export function testServer(id: string, options: object = {}): RegisteredServer {
  return registeredServerSchema.parse({
    id,
    service: "pool",
    address: "10.0.0.1:80",
    dataCentre: "north",
    slots: 4,
    isDraining: false,
    started: 1,
    warmUpMilliseconds: 0,
    ...options,
  });
}

/** Returns servers with the ids `s0`, `s1` and so on. */
export function testServers(
  count: number,
  options: object = {},
): RegisteredServer[] {
  return Array.from(
    { length: count },
    (_, index) => testServer(`s${index}`, options),
  );
}

/** Returns the demand of a request without a prompt; `options` override its fields. */
export function testDemand(
  options: Partial<RequestDemand> = {},
): RequestDemand {
  return { urgency: 0, heldTokens: 0, parts: [], ...options };
}
