import test from "ava";
import { createAddressPool } from "./address_pool.ts";
import { createSeededRandom } from "./core/random.ts";
import { createManualTimerService } from "./timer_service.ts";

const ADDRESSES = ["a", "b", "c"].map((address) => ({
  address,
  data_centre: "north",
  incarnation: `router-${address}`,
  epoch: 1,
}));

function createPool(seed: number, unresponsive: readonly string[] = []) {
  const timers = createManualTimerService();
  const queried: string[] = [];
  const pool = createAddressPool({
    bootstrapAddresses: ["a", "b"],
    clock: timers.clock,
    random: createSeededRandom(seed),
    fetchAddresses: async (address) => {
      queried.push(address);
      return unresponsive.includes(address)
        ? undefined
        : { addresses: ADDRESSES, keep_milliseconds: 1_000 };
    },
  });
  return { pool, timers, queried };
}

test("guards against all callers of a workspace using the same router", async (t) => {
  const first = new Set<string>();
  for (let seed = 0; seed < 30; seed++) {
    first.add((await createPool(seed).pool.list())[0]?.address ?? "");
  }
  t.deepEqual([...first].sort(), ["a", "b", "c"]);
});

test("guards against fetching addresses for every request, and against using expired ones", async (t) => {
  const { pool, timers, queried } = createPool(1);
  await pool.list();
  await pool.list();
  t.is(queried.length, 1);
  timers.advance(1_000);
  await pool.list();
  t.is(queried.length, 2);
});

test("guards against trying a failed router first, and against an unresponsive one ending the search", async (t) => {
  const { pool } = createPool(1, ["a"]);
  pool.avoid("b");
  const addresses = await pool.list();
  t.deepEqual(addresses.slice(1).map(({ address }) => address).sort(), [
    "a",
    "b",
  ]);
});
