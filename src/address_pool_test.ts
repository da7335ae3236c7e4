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

function createBook(seed: number, silent: readonly string[] = []) {
  const timers = createManualTimerService();
  const asked: string[] = [];
  const book = createAddressPool({
    bootstrapAddresses: ["a", "b"],
    clock: timers.clock,
    random: createSeededRandom(seed),
    ask: async (address) => {
      asked.push(address);
      return silent.includes(address)
        ? undefined
        : { addresses: ADDRESSES, keep_milliseconds: 1_000 };
    },
  });
  return { book, timers, asked };
}

test("guards against all callers of a workspace using the same router", async (t) => {
  const first = new Set<string>();
  for (let seed = 0; seed < 30; seed++) {
    first.add((await createBook(seed).book.list())[0]?.address ?? "");
  }
  t.deepEqual([...first].sort(), ["a", "b", "c"]);
});

test("guards against asking for every request, and against keeping an answer too long", async (t) => {
  const { book, timers, asked } = createBook(1);
  await book.list();
  await book.list();
  t.is(asked.length, 1);
  timers.advance(1_000);
  await book.list();
  t.is(asked.length, 2);
});

test("guards against trying a failed router first, and against a silent one ending the search", async (t) => {
  const { book } = createBook(1, ["a"]);
  book.avoid("b");
  const addresses = await book.list();
  t.deepEqual(addresses.slice(1).map(({ address }) => address).sort(), [
    "a",
    "b",
  ]);
});
