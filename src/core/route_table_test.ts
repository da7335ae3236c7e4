import test from "ava";
import {
  type GatewayConfiguration,
  gatewayConfigurationSchema,
  type GatewayRoute,
} from "./gateway_configuration.ts";
import { createRouteTable, pickService, readHostName } from "./route_table.ts";

function routeOf(name: string, options: object = {}): object {
  return {
    name,
    hostName: "shop.example",
    pathPrefix: `/${name}/`,
    kind: "idempotent",
    targets: [{ service: "pool", weight: 1 }],
    maximumBackendServers: 1,
    timeoutMilliseconds: 1_000,
    latencyObjectiveMilliseconds: 300,
    priority: 1,
    isPublic: false,
    hasPromptParts: false,
    isResumable: false,
    ...options,
  };
}

function configurationOf(routes: object[]): GatewayConfiguration {
  return gatewayConfigurationSchema.parse({
    version: 1,
    routes,
    services: [],
    workspaces: [{ id: "temple", keys: ["k1", "k2"] }],
    bounds: {
      maximumHeaderBytes: 1_024,
      maximumBodyBytes: 1_024,
      headerTimeoutMilliseconds: 1_000,
      idleTimeoutMilliseconds: 1_000,
    },
  });
}

test("guards against a shorter prefix winning, and against a prefix of half a segment", (t) => {
  const table = createRouteTable(configurationOf([
    routeOf("root", { pathPrefix: "/" }),
    routeOf("a"),
    routeOf("ab", { pathPrefix: "/a/b/" }),
  ]));
  function find(path: string): string | undefined {
    return table.findRoute("shop.example", path)?.name;
  }
  t.is(find("/a/b/c"), "ab");
  t.is(find("/a/b"), "a");
  t.is(find("/a/bc/d"), "a");
  t.is(find("/ax"), "root");
  t.is(find("/x?next=/a/b/"), "root");
  t.is(table.findRoute("other.example", "/a/"), undefined);
});

test("guards against a path that is normalised before it is matched", (t) => {
  const table = createRouteTable(configurationOf([routeOf("a")]));
  t.is(table.findRoute("shop.example", "/x/../a/y"), undefined);
  t.is(table.findRoute("shop.example", "*"), undefined);
  t.is(table.findRoute("shop.example", ""), undefined);
});

test("guards against a port or capitals in the Host header hiding a route", (t) => {
  t.is(readHostName("Shop.Example:8080"), "shop.example");
  t.is(readHostName("shop.example"), "shop.example");
  t.is(readHostName("[::1]"), "[::1]");
});

test("guards against a workspace with several keys being found by one only", (t) => {
  const table = createRouteTable(configurationOf([]));
  t.is(table.findWorkspace("k1")?.id, table.findWorkspace("k2")?.id);
  t.is(table.findWorkspace("k3"), undefined);
});

test("guards against shares of services that differ from the weights of a route", (t) => {
  const [route] = configurationOf([routeOf("a", {
    targets: [
      { service: "old", weight: 90 },
      { service: "new", weight: 10 },
      { service: "none", weight: 0 },
    ],
  })]).routes as [GatewayRoute];
  const counts = new Map<string, number>();
  for (let index = 0; index < 10_000; index++) {
    const service = pickService(route, `request-${index}`) as string;
    counts.set(service, (counts.get(service) ?? 0) + 1);
  }
  const share = (counts.get("new") ?? 0) / 10_000;
  t.true(share > 0.08 && share < 0.12, `${share}`);
  t.false(counts.has("none"));
  t.is(pickService(route, "request-1"), pickService(route, "request-1"));
});
