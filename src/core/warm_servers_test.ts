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
  for (const server of servers) warm.recordServed(a, server);
  warm.recordServed(a, brandId("s5"));
  t.deepEqual([...warm.serversOf(a)], [
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
  t.false(warm.serversOf(a).includes(brandId("s9")));
  warm.recordServed(b, brandId("s1"));
  t.deepEqual([...warm.serversOf(b)], ["s1"]);
  warm.recordServed(c, brandId("s1"));
  t.deepEqual(warm.serversOf(a), []);
  t.is(warm.serversOf(b).length, 1);
});
