import test, { type ExecutionContext } from "ava";
import {
  createPlatformStandIn,
  type PlatformStandIn,
} from "../stand_ins/platform.ts";
import {
  createHttpPlatformClient,
  type HttpPlatformClient,
} from "./http_platform_client.ts";

interface Setup {
  readonly platform: PlatformStandIn;
  readonly client: HttpPlatformClient;
}

async function setUp(t: ExecutionContext, key = "k"): Promise<Setup> {
  const platform = await createPlatformStandIn({
    key: "k",
    hostLagMilliseconds: 50,
  });
  const client = createHttpPlatformClient({
    address: platform.address,
    key,
    timeoutMilliseconds: 300,
  });
  t.teardown(async () => {
    await client.close();
    await platform.close();
  });
  return { platform, client };
}

test("guards against an update overwriting a concurrent change", async (t) => {
  const { client } = await setUp(t);
  t.is((await client.write("configuration/head", "one", 0))._unsafeUnwrap(), 1);
  t.is(
    (await client.write("configuration/head", "two", 0))._unsafeUnwrapErr()
      .kind,
    "platform_conflict",
  );
  t.is((await client.write("configuration/head", "two", 1))._unsafeUnwrap(), 2);
  t.deepEqual((await client.read("configuration/head"))._unsafeUnwrap(), {
    key: "configuration/head",
    version: 2,
    value: "two",
  });
  t.is((await client.read("configuration/head"))._unsafeUnwrap()?.value, "two");
  t.is(
    (await client.remove("configuration/head", 1))._unsafeUnwrapErr().kind,
    "platform_conflict",
  );
  t.true((await client.remove("configuration/head", 2)).isOk());
  t.is((await client.read("configuration/head"))._unsafeUnwrap(), undefined);
  t.deepEqual(client.counters(), {
    reads: 3,
    writes: 5,
    watches: 0,
    failures: 0,
  });
});

test("guards against reporting a write as failed when it took effect but its reply was lost", async (t) => {
  const { platform, client } = await setUp(t);
  platform.setFaults({ lostReplies: 1 });
  t.is(
    (await client.write("a/b", "one", 0))._unsafeUnwrapErr().kind,
    "platform_outcome_unknown",
  );
  t.is((await client.read("a/b"))._unsafeUnwrap()?.value, "one");
  platform.setFaults({ outage: true });
  t.is(
    (await client.write("a/b", "two", 1))._unsafeUnwrapErr().kind,
    "platform_unavailable",
  );
  platform.setFaults({ outage: false, slowMilliseconds: 500 });
  t.is(
    (await client.write("a/b", "two", 1))._unsafeUnwrapErr().kind,
    "platform_outcome_unknown",
  );
  t.is(
    (await client.read("a/b"))._unsafeUnwrapErr().kind,
    "platform_unavailable",
  );
});

test("guards against a watch that misses a change or never returns", async (t) => {
  const { platform, client } = await setUp(t);
  const watching = client.watch("a", 0, 5_000);
  await client.write("a", "one", 0);
  t.is((await watching)._unsafeUnwrap()?.version, 1);
  t.is((await client.watch("a", 1, 20))._unsafeUnwrap(), undefined);
  platform.setFaults({ silentWatches: true });
  t.is(
    (await client.watch("a", 1, 20))._unsafeUnwrapErr().kind,
    "platform_unavailable",
  );
});

test("guards against faults of the platform stand-in that have no or the wrong effect", async (t) => {
  const { platform, client } = await setUp(t);
  for (const [version, value] of ["one", "two", "three"].entries()) {
    await client.write("a", value, version);
  }
  platform.setFaults({ staleWrites: 1 });
  t.is((await client.read("a"))._unsafeUnwrap()?.value, "two");
  platform.setFaults({ staleWrites: 0 });
  platform.store.rollBack(2);
  t.deepEqual((await client.read("a"))._unsafeUnwrap(), {
    key: "a",
    version: 1,
    value: "one",
  });
  platform.setHost("host-1", "live");
  t.deepEqual((await client.listHosts())._unsafeUnwrap(), []);
  await new Promise((resolve) => setTimeout(resolve, 100));
  t.deepEqual((await client.listHosts())._unsafeUnwrap(), [{
    host: "host-1",
    state: "live",
  }]);
});

test("guards against a rejected key looking like a missing object", async (t) => {
  const { client } = await setUp(t, "wrong");
  t.is(
    (await client.read("a"))._unsafeUnwrapErr().kind,
    "platform_unavailable",
  );
  t.is(
    (await client.write("a", "", 0))._unsafeUnwrapErr().kind,
    "platform_unavailable",
  );
});
