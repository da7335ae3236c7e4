import test from "ava";
import { type BackendServerId, brandId, type WorkspaceId } from "./ids.ts";
import { createWarmServers } from "./warm_servers.ts";

test("guards against unbounded growth, and against listing removed servers or those of another workspace as warm", (t) => {
  const warm = createWarmServers(2);
  const [a, b, c] = ["a", "b", "c"].map((name) =>
    brandId<WorkspaceId>(name)
  ) as [WorkspaceId, WorkspaceId, WorkspaceId];
  const servers = Array.from(
    { length: 10 },
    (_unused, index) => brandId<BackendServerId>(`s${index}`),
  );
  for (const server of servers) warm.served(a, server);
  warm.served(a, brandId("s5"));
  t.deepEqual([...warm.of(a)], [
    "s5",
    "s9",
    "s8",
    "s7",
    "s6",
    "s4",
    "s3",
    "s2",
  ]);
  warm.retain((server) => server !== "s9");
  t.false(warm.of(a).includes(brandId("s9")));
  warm.served(b, brandId("s1"));
  t.deepEqual([...warm.of(b)], ["s1"]);
  warm.served(c, brandId("s1"));
  t.deepEqual(warm.of(a), []);
  t.is(warm.of(b).length, 1);
});
