import test from "ava";
import fc from "fast-check";
import {
  createMembershipFleet,
  type MembershipFleet,
  type SimulatedRouter,
} from "../../stand_ins/membership_fleet.ts";

const REMOVAL_LIMIT_MILLISECONDS = 5_000;
const CONVERGENCE_LIMIT_MILLISECONDS = 90_000;
const HOUR_MILLISECONDS = 3_600_000;

const _event = fc.record({
  kind: fc.constantFrom(
    "kill",
    "pause",
    "resume",
    "restart",
    "depart",
    "cut",
    "heal",
  ),
  router: fc.nat(8),
  wait: fc.integer({ min: 0, max: 6_000 }),
});

function applyEvent(fleet: MembershipFleet, kind: string, index: number): void {
  const router = fleet.routers[index % fleet.routers.length] as SimulatedRouter;
  if (kind === "kill") fleet.kill(router);
  if (kind === "pause") fleet.pause(router);
  if (kind === "resume") fleet.resume(router);
  if (kind === "restart") fleet.restart(router);
  if (kind === "depart" && router.state === "running") fleet.depart(router);
  if (kind === "cut") fleet.partition(partitionOf);
  if (kind === "heal") fleet.heal();
}

function converge(fleet: MembershipFleet, limit: number): number | undefined {
  return fleet.advanceUntil(() => fleet.isConverged(), limit);
}

function partitionOf(router: SimulatedRouter): number {
  return router.index % 2;
}

test("guards against views that do not converge or keep a killed member after random faults", (t) => {
  fc.assert(
    fc.property(
      fc.nat(),
      fc.integer({ min: 3, max: 9 }),
      fc.array(_event, { maxLength: 12 }),
      (seed, size, events) => {
        const fleet = createMembershipFleet({
          size,
          dataCentres: 3,
          seed,
          loss: 0.01,
          encode: false,
        });
        // Routers that lose all seeds before joining cannot find each other.
        if (converge(fleet, 10_000) === undefined) return false;
        for (const { kind, router, wait } of events) {
          applyEvent(fleet, kind, router);
          fleet.advance(wait);
        }
        fleet.heal();
        for (const router of fleet.routers) fleet.resume(router);
        const limit = CONVERGENCE_LIMIT_MILLISECONDS;
        if (converge(fleet, limit) === undefined) return false;
        fleet.advance(5_000);
        const victim = fleet.running().at(-1);
        if (!victim || fleet.running().length < 2) return true;
        fleet.kill(victim);
        return fleet.advanceUntil(
          () => fleet.countViewsWith(victim.incarnation) === 0,
          REMOVAL_LIMIT_MILLISECONDS,
        ) !== undefined;
      },
    ),
    { seed: 1, numRuns: 120 },
  );
  t.pass();
});

test("guards against an hour-long partition that does not heal or removes members while healing", (t) => {
  const fleet = createMembershipFleet({
    size: 12,
    dataCentres: 4,
    seed: 2,
    loss: 0,
    encode: false,
  });
  t.not(converge(fleet, 10_000), undefined);
  // Without live seeds, only retries of unreachable members rejoin the partitions.
  for (const seed of fleet.routers.slice(0, 3)) fleet.kill(seed);
  t.not(converge(fleet, 10_000), undefined);
  const partitions = [0, 1].map((partition) =>
    fleet.running().filter((router) => partitionOf(router) === partition)
  );
  fleet.partition(partitionOf);
  fleet.advance(HOUR_MILLISECONDS);
  t.true(partitions.every((partition) => fleet.isConverged(partition)));
  fleet.heal();
  const healed = fleet.advanceUntil(() => {
    for (const partition of partitions) {
      const present = partition.every((router) =>
        partition.every((other) =>
          other.membership.members().some(({ host }) => host === router.host)
        )
      );
      t.true(
        present,
        "a member was removed from a view of its partition while healing",
      );
    }
    return fleet.isConverged();
  }, 30_000);
  t.not(healed, undefined);
});

test("guards against a superseded process that resumes and overrides its successor", (t) => {
  const options = { dataCentres: 2, seed: 3, loss: 0, encode: false };
  const fleet = createMembershipFleet({ ...options, size: 5 });
  t.not(converge(fleet, 10_000), undefined);
  const router = fleet.routers[4] as SimulatedRouter;
  const replaced = router.membership;
  fleet.restart(router);
  t.not(converge(fleet, 5_000), undefined);
  const { incarnation, address, host } = replaced.self();
  for (let count = 0; count < 10; count++) {
    fleet.advance(100);
    for (const { to, kind, body } of replaced.tick(fleet.now)) {
      const peer = fleet.routers.find((other) => other.address === to);
      const from = { host, address, incarnation };
      const replies = peer?.membership.receive(kind, body, from, fleet.now);
      for (const reply of replies ?? []) {
        const sender = (peer as SimulatedRouter).membership.self();
        replaced.receive(reply.kind, reply.body, sender, fleet.now);
      }
    }
  }
  t.true(replaced.superseded);
  t.true(fleet.isConverged());
});
