import test from "ava";
import { chooseCollectors, type CollectorCandidate } from "./collectors.ts";
import {
  brandId,
  type DataCentreId,
  type HostId,
  type SocketAddress,
} from "./ids.ts";

function candidate(
  name: string,
  options: Partial<CollectorCandidate> = {},
): CollectorCandidate {
  return {
    address: brandId<SocketAddress>(`${name}:1`),
    host: brandId<HostId>(name),
    dataCentre: brandId<DataCentreId>("north"),
    capacity: 1,
    directAgeMilliseconds: 100,
    seenAgeMilliseconds: 100,
    unansweredMilliseconds: 0,
    ...options,
  };
}

function chosenHosts(candidates: readonly CollectorCandidate[]): string[] {
  return chooseCollectors(candidates).map(({ host }) => host as string);
}

test("guards against choosing weak hosts as collectors while strong ones are available", (t) => {
  const weak = Array.from({ length: 20 }, (_, index) => candidate(`w${index}`));
  const strong = ["s0", "s1"].map((name) => candidate(name, { capacity: 3 }));
  t.deepEqual(chosenHosts([...weak, ...strong]).sort(), ["s0", "s1"]);
});

test("guards against a choice that depends on the order of the candidates", (t) => {
  const all = Array.from({ length: 9 }, (_, index) => candidate(`r${index}`));
  t.deepEqual(chosenHosts(all), chosenHosts([...all].reverse()));
});

test("guards against reporting to a collector that stopped responding", (t) => {
  const silent = candidate("strong", {
    capacity: 3,
    directAgeMilliseconds: 1_300,
    seenAgeMilliseconds: 1_300,
    unansweredMilliseconds: 1_300,
  });
  const others = ["a", "b", "c"].map((name) => candidate(name));
  t.false(chosenHosts([silent, ...others]).includes("strong"));
});

test("guards against excluding a preferred collector for good after it stopped responding", (t) => {
  const reconnected = candidate("strong", {
    capacity: 3,
    directAgeMilliseconds: 9_000,
    seenAgeMilliseconds: 300,
    unansweredMilliseconds: 6_100,
  });
  t.is(chosenHosts([reconnected, candidate("a"), candidate("b")])[0], "strong");
});

test("guards against preferring routers that no router hears from to live routers", (t) => {
  const silent = ["x", "y", "z"].map((name) =>
    candidate(name, {
      capacity: 9,
      directAgeMilliseconds: Infinity,
      seenAgeMilliseconds: Infinity,
    })
  );
  t.deepEqual(chosenHosts([...silent, candidate("a"), candidate("b")]).sort(), [
    "a",
    "b",
  ]);
  t.is(chosenHosts(silent).length, 2);
});
