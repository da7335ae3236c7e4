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
    heardAgeMilliseconds: 100,
    unansweredMilliseconds: 0,
    ...options,
  };
}

function namesOf(candidates: readonly CollectorCandidate[]): string[] {
  return chooseCollectors(candidates).map(({ host }) => host as string);
}

test("guards against weak hosts collecting while strong ones are there", (t) => {
  const weak = Array.from({ length: 20 }, (_, index) => candidate(`w${index}`));
  const strong = ["s0", "s1"].map((name) => candidate(name, { capacity: 3 }));
  t.deepEqual(namesOf([...weak, ...strong]).sort(), ["s0", "s1"]);
});

test("guards against routers that choose differently from the same view", (t) => {
  const all = Array.from({ length: 9 }, (_, index) => candidate(`r${index}`));
  t.deepEqual(namesOf(all), namesOf([...all].reverse()));
});

test("guards against reporting on to a collector that fell silent", (t) => {
  const dead = candidate("strong", {
    capacity: 3,
    directAgeMilliseconds: 1_300,
    heardAgeMilliseconds: 1_300,
    unansweredMilliseconds: 1_300,
  });
  const others = ["a", "b", "c"].map((name) => candidate(name));
  t.false(namesOf([dead, ...others]).includes("strong"));
});

test("guards against a collector that was cut off for a while never being used again", (t) => {
  const back = candidate("strong", {
    capacity: 3,
    directAgeMilliseconds: 9_000,
    heardAgeMilliseconds: 300,
    unansweredMilliseconds: 6_100,
  });
  t.is(namesOf([back, candidate("a"), candidate("b")])[0], "strong");
});

test("guards against routers that only a list names displacing living ones", (t) => {
  const listed = ["x", "y", "z"].map((name) =>
    candidate(name, {
      capacity: 9,
      directAgeMilliseconds: Infinity,
      heardAgeMilliseconds: Infinity,
    })
  );
  t.deepEqual(namesOf([...listed, candidate("a"), candidate("b")]).sort(), [
    "a",
    "b",
  ]);
  t.is(namesOf(listed).length, 2);
});
