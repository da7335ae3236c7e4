/** Gateways in one process that share an in-memory store, for tests. */
import {
  type GatewayConfiguration,
  gatewayConfigurationSchema,
  type GatewayService,
} from "../src/core/gateway_configuration.ts";
import { createGateway } from "../src/gateway.ts";
import type { Gateway, GatewayOptions } from "../src/gateway_options.ts";
import type { MemoryFleet } from "./memory_fleet_store.ts";
import { MemoryFleetStore } from "./memory_fleet_store.ts";
import { createMemoryOutput } from "./memory_output.ts";
import { findFreeAddresses } from "./free_ports.ts";

/** A gateway with its store client, addresses and log lines. */
export interface GatewayInTest {
  readonly gateway: Gateway;
  readonly store: MemoryFleetStore;
  readonly callers: string;
  readonly entry: string;
  readonly status: string;
  readonly peers: string;
  readonly lines: string[];
}

/** Returns an idempotent route; `options` override its fields. */
export function testRoute(name: string, options: object = {}): object {
  return {
    name,
    hostName: "shop.example",
    pathPrefix: `/${name}/`,
    kind: "idempotent",
    targets: [{ service: "pool", weight: 1 }],
    maximumBackendServers: 2,
    timeoutMilliseconds: 4_000,
    latencyObjectiveMilliseconds: 300,
    priority: 1,
    isPublic: false,
    isResumable: false,
    ...options,
  };
}

/** Returns a configuration with one workspace that has two valid keys. */
export function testConfiguration(
  version: number,
  routes: readonly object[],
): GatewayConfiguration {
  return gatewayConfigurationSchema.parse({
    version,
    routes,
    services: [{ id: "pool", canCopyCache: true }],
    workspaces: [{ id: "temple", keys: ["temple-key", "new-temple-key"] }],
    bounds: {
      maximumHeaderBytes: 16_384,
      maximumBodyBytes: 4_194_304,
      headerTimeoutMilliseconds: 3_000,
      idleTimeoutMilliseconds: 15_000,
    },
  });
}

/** Returns a configuration whose service has a warm-up rate. */
export function warmUpConfiguration(
  version: number,
  routes: readonly object[],
  warmUp: GatewayService["warmUp"],
): GatewayConfiguration {
  const configuration = testConfiguration(version, routes);
  const services = configuration.services.map((service) => ({
    ...service,
    warmUp,
  }));
  return { ...configuration, services };
}

/** Starts gateways that use the first one's address as their seed. */
export async function startGateways(
  fleet: MemoryFleet,
  count: number,
  graceMilliseconds = 4_000,
  optionsOf: (index: number) => Partial<GatewayOptions> = () => ({}),
): Promise<GatewayInTest[]> {
  const addresses = await findFreeAddresses(count * 4);
  const gateways: GatewayInTest[] = [];
  for (let index = 0; index < count; index++) {
    const [callers, entry, status, peers] = addresses.slice(index * 4) as [
      string,
      string,
      string,
      string,
    ];
    const store = new MemoryFleetStore(fleet);
    const lines: string[] = [];
    const gateway = createGateway({
      host: `entry-${index}`,
      dataCentre: "north",
      addresses: { callers, entry, status, peers },
      seeds: [gateways[0]?.peers ?? peers],
      fleetKey: "a-fleet-key-for-tests",
      store,
      retries: { ratio: 0.2, fleetAllowance: 100 },
      loadBound: { factor: 1.5, slack: 2 },
      graceMilliseconds,
      output: createMemoryOutput(lines),
      ...optionsOf(index),
    });
    gateways.push({ gateway, store, callers, entry, status, peers, lines });
  }
  for (const { gateway } of gateways) await gateway.start();
  return gateways;
}
