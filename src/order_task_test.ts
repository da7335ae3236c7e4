import test from "ava";
import fc from "fast-check";
import { createNaiveOrderTask } from "../bench/naive_orders.ts";
import {
  type SimulatedFault,
  simulateOrders,
} from "../bench/order_simulation.ts";
import { createOrderTask } from "./order_task.ts";

const RUNS = 25;
const SEED = 20_261_204;

const FAULTS = fc.array(
  fc.record({
    atSeconds: fc.integer({ min: 20, max: 180 }),
    kind: fc.constantFrom<SimulatedFault["kind"]>(
      "kill",
      "pause",
      "separate",
      "cut_off",
      "platform_outage",
      "lost_replies",
      "late_orders",
      "new_floor",
    ),
    router: fc.integer({ min: 0, max: 3 }),
    seconds: fc.integer({ min: 1, max: 60 }),
  }),
  { minLength: 4, maxLength: 24 },
);
const SIMULATION_SEED = fc.integer({ min: 1, max: 2 ** 30 });

/** Two lease holders at once and delayed orders during a version change. */
const OVERLAPPING_FAULTS: readonly SimulatedFault[] = [
  { atSeconds: 21, kind: "late_orders", router: 0, seconds: 100 },
  { atSeconds: 22, kind: "pause", router: 0, seconds: 30 },
  { atSeconds: 23, kind: "separate", router: 1, seconds: 60 },
  { atSeconds: 24, kind: "cut_off", router: 3, seconds: 60 },
  { atSeconds: 25, kind: "kill", router: 2, seconds: 1 },
];

test("guards against engines obeying outdated orders, too few serving replicas, too many loads and engines never matching their plans", async (t) => {
  const property = fc.asyncProperty(
    SIMULATION_SEED,
    FAULTS,
    async (seed, faults) => {
      const report = await simulateOrders(seed, faults, createOrderTask);
      if (report.violations.length > 0 || !report.converged) {
        throw new Error(
          `${
            report.violations.slice(0, 3).join("; ")
          } converged: ${report.converged}`,
        );
      }
    },
  );
  await fc.assert(property, { numRuns: RUNS, seed: SEED });
  t.pass();
});

test("guards against a simulation that does not detect the faults of an order task", async (t) => {
  const naive = await simulateOrders(
    1,
    OVERLAPPING_FAULTS,
    createNaiveOrderTask,
  );
  const text = naive.violations.join("\n");
  t.regex(text, /obeyed an older order/);
  t.regex(text, /served by \d, floor/);
  t.regex(text, /loads in a minute/);
  const actual = await simulateOrders(1, OVERLAPPING_FAULTS, createOrderTask);
  t.deepEqual(actual.violations, []);
  t.true(actual.converged);
  t.true(actual.orders > 0);
});
