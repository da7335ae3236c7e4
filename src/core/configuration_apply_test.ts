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

function createFleet(name: string, models = 1): Fleet {
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

test("guards against losing sections when a fleet is split, and against parsing unchanged chunks again", (t) => {
  const fleet = createFleet("a", 5_000);
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
  const other = splitFleet(createFleet("b", 5_000), {
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

test("guards against a head delta that rebuilds a different head", async (t) => {
  const { options } = setUp();
  const first =
    (await applyFleet(createFleet("a", 3_000), options("1")))._unsafeUnwrap()
      .head;
  const second =
    (await applyFleet(createFleet("b", 3_000), options("2")))._unsafeUnwrap()
      .head;
  const delta = diffHead(first, second);
  t.is(delta.changed.length, 1);
  t.is(safePatchHead(first, delta)._unsafeUnwrap().digest, second.digest);
  t.true(safePatchHead(first, { ...delta, changed: [] }).isErr());
});

test("guards against two concurrent applies both winning, and against a loser that is not told who won", async (t) => {
  const { store, options } = setUp();
  const results = await Promise.all([
    applyFleet(createFleet("a"), options("alice.1")),
    applyFleet(createFleet("b"), options("bob.2")),
  ]);
  const won = results.find((result) => result.isOk());
  const lost = results.find((result) => result.isErr());
  const winner = won?._unsafeUnwrap().head.applyId ?? "";
  t.is(lost?._unsafeUnwrapErr().kind, "configuration_conflict");
  t.deepEqual(lost?._unsafeUnwrapErr().path, ["head", winner]);
  t.deepEqual(store.keys().length, 2, "the loser's chunk is removed");
});

test("guards against reporting an apply whose reply was lost as failed, or applying it twice", async (t) => {
  const { store, options } = setUp();
  await applyFleet(createFleet("a"), options("1"));
  async function loseHeadReply(): Promise<number> {
    store.faults.lostReplies = 1;
    return 0;
  }
  const applied = await applyFleet(
    createFleet("b"),
    options("2", { readHighestGeneration: loseHeadReply }),
  );
  t.is(applied._unsafeUnwrap().head.generation, 2);
  const overtaken = await applyFleet(
    createFleet("c"),
    options("3", {
      readHighestGeneration: loseHeadReply,
      client: createOvertakenClient(
        store,
        async () => void await applyFleet(createFleet("d"), options("4")),
      ),
    }),
  );
  t.is(
    overtaken._unsafeUnwrap().head.applyId,
    "3",
    "the head's history lists apply 3",
  );
  t.is(
    (await readHead(createStoreClient(store)))._unsafeUnwrap()?.head.generation,
    4,
  );
});

/** Runs `overtake` before the third read of the head, which is the read-back. */
function createOvertakenClient(
  store: PlatformStore,
  overtake: () => Promise<void>,
) {
  const client = createStoreClient(store);
  const read = client.read.bind(client);
  let headReads = 0;
  client.read = async (key) => {
    if (key === HEAD_KEY && ++headReads === 3) await overtake();
    return read(key);
  };
  return client;
}

test("guards against reporting the wrong winner from a stale read after a conflict", async (t) => {
  const { store, options } = setUp();
  await applyFleet(createFleet("a"), options("1"));
  let sleeps = 0;
  const result = await applyFleet(
    createFleet("b"),
    options("2", {
      readHighestGeneration: async () => {
        if (sleeps > 0) return 0;
        await applyFleet(createFleet("c"), options("3"));
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

test("guards against reporting a lost race as a rollback of the store", async (t) => {
  const { store, options } = setUp();
  await applyFleet(createFleet("a"), options("1"));
  async function applyCompetingFleet(): Promise<number> {
    await applyFleet(createFleet("b"), options("2"));
    return 2;
  }
  const lost = await applyFleet(
    createFleet("c"),
    options("3", { readHighestGeneration: applyCompetingFleet }),
  );
  t.deepEqual(lost._unsafeUnwrapErr().path, ["head", "2"]);
  t.is(
    (await readHead(createStoreClient(store)))._unsafeUnwrap()?.head.applyId,
    "2",
  );
});

test("guards against an apply that undoes drains", async (t) => {
  const { store, options } = setUp();
  await applyFleet(createFleet("a"), options("1"));
  const drained = await changeDrains(
    (drains) => ({ ...drains, hosts: ["host-1"] }),
    options("2"),
  );
  t.is(drained._unsafeUnwrap().head.generation, 2);
  const applied = await applyFleet(createFleet("b"), options("3"));
  t.deepEqual(applied._unsafeUnwrap().head.drains.hosts, ["host-1"]);
  t.false(
    (await applyFleet(createFleet("b"), options("4")))._unsafeUnwrap().changed,
  );
  t.is(store.current(HEAD_KEY)?.version, 3);
});

test("guards against removing superseded chunks too early, or never", async (t) => {
  const { store, options } = setUp();
  const first =
    (await applyFleet(createFleet("a"), options("1")))._unsafeUnwrap().head
      .chunks[0] ?? "";
  await applyFleet(createFleet("b"), options("2"));
  await applyFleet(
    createFleet("c"),
    options("3", {
      wallMilliseconds: () => SUPERSEDED_CHUNK_RETENTION_MILLISECONDS - 1,
    }),
  );
  t.truthy(store.current(chunkKey(first)));
  const applied = await applyFleet(
    createFleet("d"),
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
  const again = await applyFleet(createFleet("a"), options("5"));
  t.deepEqual(
    (await readFleet(createStoreClient(store), again._unsafeUnwrap().head))
      ._unsafeUnwrap(),
    createFleet("a"),
  );
});

test("guards against applying a generation below the fleet's after a rollback of the store", async (t) => {
  const { store, options } = setUp();
  for (const name of ["a", "b", "c"]) {
    await applyFleet(createFleet(name), options(name));
  }
  store.rollBack(4);
  t.is(
    (await readHead(createStoreClient(store)))._unsafeUnwrap()?.head.generation,
    1,
  );
  const asked = await applyFleet(
    createFleet("d"),
    options("d", { readHighestGeneration: async () => 3 }),
  );
  t.deepEqual(asked._unsafeUnwrapErr().path, ["generation"]);
  await recordGenerationFloor(createStoreClient(store), 3);
  t.deepEqual(
    (await applyFleet(createFleet("d"), options("d")))._unsafeUnwrapErr().path,
    ["generation"],
  );
  t.true(
    (await applyFleet(createFleet("d"), options("d", { generation: 3 })))
      .isErr(),
  );
  t.is(
    (await applyFleet(createFleet("d"), options("d", { generation: 4 })))
      ._unsafeUnwrap().head.generation,
    4,
  );
});

test("guards against a partially applied configuration after an outage", async (t) => {
  const { store, options } = setUp();
  await applyFleet(createFleet("a"), options("1"));
  async function startOutage(): Promise<number> {
    store.faults.outage = true;
    return 0;
  }
  const result = await applyFleet(
    createEmptyFleet(),
    options("2", { readHighestGeneration: startOutage }),
  );
  t.is(result._unsafeUnwrapErr().kind, "platform_unavailable");
  store.faults.outage = false;
  t.is(
    (await readHead(createStoreClient(store)))._unsafeUnwrap()?.head.applyId,
    "1",
  );
});
