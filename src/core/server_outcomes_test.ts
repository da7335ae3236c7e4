import test from "ava";
import { testServers } from "../../stand_ins/registered_servers.ts";
import { type BackendServerId, brandId, type HostId } from "./ids.ts";
import { createSeededRandom } from "./random.ts";
import {
  createServerOutcomes,
  type ServerExclusion,
  type ServerOutcomes,
} from "./server_outcomes.ts";
import type { RegisteredServer } from "./server_registry.ts";

function evaluateExcluded(
  outcomes: ServerOutcomes,
  servers: readonly RegisteredServer[],
  now: number,
): string[] {
  outcomes.evaluate("pool", servers, now);
  return servers.map(({ id }) => id).filter((id) =>
    outcomes.isExcluded(id, now)
  );
}

function record(
  outcomes: ServerOutcomes,
  server: BackendServerId,
  failures: number,
  requests: number,
  now: number,
): void {
  for (let index = 0; index < requests; index++) {
    outcomes.record(server, index < failures, now);
  }
}

test("guards against continued use of a server that fails part of its requests", (t) => {
  const servers = testServers(4);
  const exclusions: ServerExclusion[] = [];
  const outcomes = createServerOutcomes({
    onExcluded: (exclusion) => exclusions.push(exclusion),
  });
  for (const { id } of servers) record(outcomes, id, 0, 10, 100);
  record(outcomes, servers[2]!.id, 6, 6, 100);
  t.deepEqual(evaluateExcluded(outcomes, servers, 200), ["s2"]);
  t.like(exclusions, [{ server: servers[2]!.id, requests: 16, failures: 6 }]);
  t.deepEqual(evaluateExcluded(outcomes, servers, 200 + 4_000), []);
});

test("guards against excluding servers whose whole service fails equally often", (t) => {
  const servers = testServers(4);
  const outcomes = createServerOutcomes();
  for (const { id } of servers) record(outcomes, id, 4, 10, 100);
  t.deepEqual(evaluateExcluded(outcomes, servers, 200), []);
});

test("guards against excluding so many servers that the others are overloaded", (t) => {
  const servers = testServers(6);
  const outcomes = createServerOutcomes();
  for (const { id } of servers.slice(0, 4)) record(outcomes, id, 0, 10, 100);
  for (const { id } of servers.slice(3)) record(outcomes, id, 9, 9, 100);
  t.is(evaluateExcluded(outcomes, servers, 200).length, 2);
});

test("guards against ignoring failures that only peers have seen", (t) => {
  const servers = testServers(3);
  const outcomes = createServerOutcomes();
  for (const [index, peer] of ["p1", "p2", "p3"].entries()) {
    outcomes.setPeerCounts(brandId<HostId>(peer), [
      { server: servers[0]!.id, requests: 3, failures: 2 },
    ], 100 + index);
  }
  t.deepEqual(evaluateExcluded(outcomes, servers, 200), ["s0"]);
});

test("guards against a server that soon fails again returning as fast as before", (t) => {
  const servers = testServers(3);
  const outcomes = createServerOutcomes();
  record(outcomes, servers[0]!.id, 5, 5, 0);
  t.deepEqual(evaluateExcluded(outcomes, servers, 10), ["s0"]);
  record(outcomes, servers[0]!.id, 5, 5, 6_000);
  t.deepEqual(evaluateExcluded(outcomes, servers, 6_010), ["s0"]);
  t.deepEqual(evaluateExcluded(outcomes, servers, 6_010 + 7_900), ["s0"]);
});

test("guards against a long exclusion after a single refused connection", (t) => {
  const [server] = testServers(1) as [RegisteredServer];
  const outcomes = createServerOutcomes();
  outcomes.recordUnreachable(server.id, 0);
  t.true(outcomes.isExcluded(server.id, 100));
  t.false(outcomes.isExcluded(server.id, 1_000));
});

test("guards against excluding servers for random failures at the usual rate", (t) => {
  const servers = testServers(4);
  const outcomes = createServerOutcomes();
  const random = createSeededRandom(5);
  let exclusions = 0;
  for (let now = 0; now < 60_000; now += 50) {
    const server = servers[random.integer(4)]!;
    outcomes.record(server.id, random.next() < 0.05, now);
    exclusions += evaluateExcluded(outcomes, servers, now).length;
  }
  t.is(exclusions, 0);
});
