import test from "ava";
import { brandId, type DataCentreId, type HostId } from "./ids.ts";
import { pickByRendezvous } from "./rendezvous.ts";
import { aggregatorKey, summaryChildren } from "./summary_tree.ts";

const EAST = brandId<DataCentreId>("east");

test("guards against routers that the summary tree omits or reaches twice", (t) => {
  const members = Array.from({ length: 59 }, (_unused, index) => ({
    host: brandId<HostId>(`host-${index}`),
    leaving: index % 2 === 0,
  }));
  const root = pickByRendezvous(
    aggregatorKey(EAST),
    members.filter((member) => !member.leaving),
    (member) => member.host,
  );
  const reached = members.flatMap(({ host }) =>
    summaryChildren(EAST, members, host)
  );
  t.is(reached.length, 58);
  t.is(new Set(reached).size, 58);
  t.false(reached.includes(root as typeof members[number]));
});
