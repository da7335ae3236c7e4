import test from "ava";
import { PlatformStore } from "../../stand_ins/platform_store.ts";
import { createStoreClient } from "../../stand_ins/store_client.ts";
import {
  applyFleet,
  type ApplyOptions,
  changeDrains,
  readFleet,
  readHead,
  recordGenerationFloor,
} from "./configuration_apply.ts";
import {
  ChunkReader,
  joinChunks,
  splitFleet,
  TARGET_CHUNK_BYTES,
} from "./configuration_chunks.ts";
import {
  chunkKey,
  diffHead,
  HEAD_KEY,
  safePatchHead,
} from "./configuration_head.ts";
import { SUPERSEDED_CHUNK_RETENTION_MILLISECONDS } from "./configuration_store.ts";
import { createEmptyFleet, safeParseFleet } from "./fleet_file.ts";
import type { Fleet } from "./fleet_schema.ts";

function fleetNamed(name: string, models = 1): Fleet {
  const sections = Array.from(
    { length: models },
    (_unused, index) => `[model m-${index}]\nversion = 1\n`,
  );
  return safeParseFleet(`[fleet]\nname = ${name}\n${sections.join("")}`)
    ._unsafeUnwrap();
}

function setUp(): {
  store: PlatformStore;
  options: (applyId: string, more?: Partial<ApplyOptions>) => ApplyOptions;
} {
  const store = new PlatformStore();
  const client = createStoreClient(store);
  return {
    store,
    options: (applyId, more = {}) => ({
      client,
      applyId,
      wallMilliseconds: () => 0,
      sleep: async () => undefined,
      ...more,
    }),
  };
}

test("guards against a fleet that loses sections in chunks, and against reading unchanged chunks again", (t) => {
  const fleet = fleetNamed("a", 5_000);
  const chunked = splitFleet(fleet);
  t.is(Math.log2(chunked.digests.length) % 1, 0);
  const mean = [...chunked.texts.values()].join("").length /
    chunked.digests.length;
  t.true(
    mean > TARGET_CHUNK_BYTES / 2 && mean < TARGET_CHUNK_BYTES * 2,
    `${mean}`,
  );
  t.deepEqual(
    joinChunks(chunked.digests, chunked.texts)._unsafeUnwrap(),
    fleet,
  );
  const other = splitFleet(fleetNamed("b", 5_000), {
    currentCount: chunked.digests.length,
  });
  const changed = other.digests.filter((digest) => !chunked.texts.has(digest));
  t.is(changed.length, 1);
  const reader = new ChunkReader();
  reader.read(chunked.digests, chunked.texts);
  const onlyChanged = new Map(
    [...other.texts].filter(([digest]) => changed.includes(digest)),
  );
  t.is(reader.read(other.digests, onlyChanged)._unsafeUnwrap().fleet.name, "b");
  t.true(joinChunks(other.digests, onlyChanged).isErr());
});

test("guards against a head difference that builds another head", async (t) => {
  const { options } = setUp();
  const first =
    (await applyFleet(fleetNamed("a", 3_000), options("1")))._unsafeUnwrap()
      .head;
  const second =
    (await applyFleet(fleetNamed("b", 3_000), options("2")))._unsafeUnwrap()
      .head;
  const delta = diffHead(first, second);
  t.is(delta.changed.length, 1);
  t.is(safePatchHead(first, delta)._unsafeUnwrap().digest, second.digest);
  t.true(safePatchHead(first, { ...delta, changed: [] }).isErr());
});

test("guards against two winners of a race and against a loser that is not told who won", async (t) => {
  const { store, options } = setUp();
  const results = await Promise.all([
    applyFleet(fleetNamed("a"), options("alice.1")),
    applyFleet(fleetNamed("b"), options("bob.2")),
  ]);
  const won = results.find((result) => result.isOk());
  const lost = results.find((result) => result.isErr());
  const winner = won?._unsafeUnwrap().head.applyId ?? "";
  t.is(lost?._unsafeUnwrapErr().kind, "configuration_conflict");
  t.deepEqual(lost?._unsafeUnwrapErr().path, ["head", winner]);
  t.deepEqual(store.keys().length, 2, "the loser's chunk is removed");
});

test("guards against reporting a lost reply as a failure, or running the change twice", async (t) => {
  const { store, options } = setUp();
  await applyFleet(fleetNamed("a"), options("1"));
  async function loseHeadReply(): Promise<number> {
    store.faults.lostReplies = 1;
    return 0;
  }
  const applied = await applyFleet(
    fleetNamed("b"),
    options("2", { fleetGeneration: loseHeadReply }),
  );
  t.is(applied._unsafeUnwrap().head.generation, 2);
  const overtaken = await applyFleet(
    fleetNamed("c"),
    options("3", {
      fleetGeneration: loseHeadReply,
      client: overtakeOnRead(
        store,
        async () => void await applyFleet(fleetNamed("d"), options("4")),
      ),
    }),
  );
  t.is(
    overtaken._unsafeUnwrap().head.applyId,
    "3",
    "the history of the head shows that 3 won",
  );
  t.is(
    (await readHead(createStoreClient(store)))._unsafeUnwrap()?.head.generation,
    4,
  );
});

/** A client before whose third read of the head, the read-back, another change happens. */
function overtakeOnRead(store: PlatformStore, overtake: () => Promise<void>) {
  const client = createStoreClient(store);
  const read = client.read.bind(client);
  let headReads = 0;
  client.read = async (key) => {
    if (key === HEAD_KEY && ++headReads === 3) await overtake();
    return read(key);
  };
  return client;
}

test("guards against naming a winner from a stale read after a conflict", async (t) => {
  const { store, options } = setUp();
  await applyFleet(fleetNamed("a"), options("1"));
  let sleeps = 0;
  const result = await applyFleet(
    fleetNamed("b"),
    options("2", {
      fleetGeneration: async () => {
        if (sleeps > 0) return 0;
        await applyFleet(fleetNamed("c"), options("3"));
        store.faults.staleWrites = 1;
        return 0;
      },
      sleep: async () => {
        if (++sleeps === 2) store.faults.staleWrites = 0;
      },
    }),
  );
  t.deepEqual(result._unsafeUnwrapErr().path, ["head", "3"]);
  t.is(sleeps, 2);
});

test("guards against telling the loser of a race that the store went back", async (t) => {
  const { store, options } = setUp();
  await applyFleet(fleetNamed("a"), options("1"));
  async function winFirst(): Promise<number> {
    await applyFleet(fleetNamed("b"), options("2"));
    return 2;
  }
  const lost = await applyFleet(
    fleetNamed("c"),
    options("3", { fleetGeneration: winFirst }),
  );
  t.deepEqual(lost._unsafeUnwrapErr().path, ["head", "2"]);
  t.is(
    (await readHead(createStoreClient(store)))._unsafeUnwrap()?.head.applyId,
    "2",
  );
});

test("guards against drains that an apply takes back", async (t) => {
  const { store, options } = setUp();
  await applyFleet(fleetNamed("a"), options("1"));
  const drained = await changeDrains(
    (drains) => ({ ...drains, hosts: ["host-1"] }),
    options("2"),
  );
  t.is(drained._unsafeUnwrap().head.generation, 2);
  const applied = await applyFleet(fleetNamed("b"), options("3"));
  t.deepEqual(applied._unsafeUnwrap().head.drains.hosts, ["host-1"]);
  t.false(
    (await applyFleet(fleetNamed("b"), options("4")))._unsafeUnwrap().changed,
  );
  t.is(store.current(HEAD_KEY)?.version, 3);
});

test("guards against chunks that are removed too early, or never", async (t) => {
  const { store, options } = setUp();
  const first =
    (await applyFleet(fleetNamed("a"), options("1")))._unsafeUnwrap().head
      .chunks[0] ?? "";
  await applyFleet(fleetNamed("b"), options("2"));
  await applyFleet(
    fleetNamed("c"),
    options("3", {
      wallMilliseconds: () => SUPERSEDED_CHUNK_RETENTION_MILLISECONDS - 1,
    }),
  );
  t.truthy(store.current(chunkKey(first)));
  const applied = await applyFleet(
    fleetNamed("d"),
    options("4", {
      wallMilliseconds: () => SUPERSEDED_CHUNK_RETENTION_MILLISECONDS,
    }),
  );
  t.is(store.current(chunkKey(first)), undefined);
  t.false(
    applied._unsafeUnwrap().head.superseded.some((entry) =>
      entry.digest === first
    ),
  );
  const again = await applyFleet(fleetNamed("a"), options("5"));
  t.deepEqual(
    (await readFleet(createStoreClient(store), again._unsafeUnwrap().head))
      ._unsafeUnwrap(),
    fleetNamed("a"),
  );
});

test("guards against an apply below the fleet's generation after the store went back", async (t) => {
  const { store, options } = setUp();
  for (const name of ["a", "b", "c"]) {
    await applyFleet(fleetNamed(name), options(name));
  }
  store.rollBack(4);
  t.is(
    (await readHead(createStoreClient(store)))._unsafeUnwrap()?.head.generation,
    1,
  );
  const asked = await applyFleet(
    fleetNamed("d"),
    options("d", { fleetGeneration: async () => 3 }),
  );
  t.deepEqual(asked._unsafeUnwrapErr().path, ["generation"]);
  await recordGenerationFloor(createStoreClient(store), 3);
  t.deepEqual(
    (await applyFleet(fleetNamed("d"), options("d")))._unsafeUnwrapErr().path,
    ["generation"],
  );
  t.true(
    (await applyFleet(fleetNamed("d"), options("d", { generation: 3 })))
      .isErr(),
  );
  t.is(
    (await applyFleet(fleetNamed("d"), options("d", { generation: 4 })))
      ._unsafeUnwrap().head.generation,
    4,
  );
});

test("guards against an outage that leaves a configuration in part", async (t) => {
  const { store, options } = setUp();
  await applyFleet(fleetNamed("a"), options("1"));
  async function outage(): Promise<number> {
    store.faults.outage = true;
    return 0;
  }
  const result = await applyFleet(
    createEmptyFleet(),
    options("2", { fleetGeneration: outage }),
  );
  t.is(result._unsafeUnwrapErr().kind, "platform_unavailable");
  store.faults.outage = false;
  t.is(
    (await readHead(createStoreClient(store)))._unsafeUnwrap()?.head.applyId,
    "1",
  );
});
