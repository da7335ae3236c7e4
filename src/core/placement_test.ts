import test from "ava";
import { testServer, testServers } from "../../stand_ins/registered_servers.ts";
import { type BackendServerId, brandId, type DataCentreId } from "./ids.ts";
import { choosePlacement, type PlacementInput } from "./placement.ts";
import type { PromptPart } from "./prompt.ts";
import { createPromptDirectory, partKeyOf } from "./prompt_directory.ts";
import { createSeededRandom } from "./random.ts";
import type { RegisteredServer } from "./server_registry.ts";

const NORTH = brandId<DataCentreId>("north");

function serverOf(id: string, options: object = {}): RegisteredServer {
  return testServer(id, { dataCentre: "south", slots: 100, ...options });
}

function serversOf(count: number): RegisteredServer[] {
  return testServers(count, { dataCentre: "south", slots: 100 });
}

function partsOf(subject: string, own = "own"): PromptPart[] {
  return [
    { id: "system", tokens: 100 },
    { id: subject, tokens: 10_000 },
    { id: own, tokens: 100 },
  ];
}

function inputOf(
  servers: readonly RegisteredServer[],
  options: Partial<PlacementInput> = {},
): PlacementInput {
  return {
    servers,
    inFlight: () => 0,
    isExcluded: () => false,
    tried: new Set(),
    promptParts: [],
    holders: () => new Set(),
    dataCentre: NORTH,
    bound: { factor: 1.5, slack: 2 },
    random: createSeededRandom(1),
    ...options,
  };
}

/** Plays arrivals of Poisson length on servers and returns what happened. */
function play(subjectOf: (index: number) => string, count: number) {
  const servers = serversOf(6);
  const loads = new Map<BackendServerId, number>();
  const ends: { at: number; server: BackendServerId }[] = [];
  const readAt = new Map<string, Set<BackendServerId>>();
  const random = createSeededRandom(3);
  const directory = createPromptDirectory();
  let worst = 0;
  for (let index = 0; index < count; index++) {
    const now = index * 10;
    for (const end of ends.filter(({ at }) => at <= now)) {
      loads.set(end.server, (loads.get(end.server) ?? 0) - 1);
      ends.splice(ends.indexOf(end), 1);
    }
    const subject = subjectOf(index);
    const promptParts = partsOf(subject);
    const placement = choosePlacement(inputOf(servers, {
      inFlight: (id) => loads.get(id) ?? 0,
      promptParts,
      holders: (part) => directory.holders(part),
      random,
    }))!;
    const { id } = placement.server;
    directory.record(promptParts, id);
    const mean = [...loads.values()].reduce((sum, load) => sum + load, 0) / 6;
    worst = Math.max(worst, (loads.get(id) ?? 0) + 1 - (2 * mean + 3));
    loads.set(id, (loads.get(id) ?? 0) + 1);
    ends.push({ at: now + 400 + random.integer(800), server: id });
    readAt.set(subject, (readAt.get(subject) ?? new Set()).add(id));
  }
  const homes = [...readAt.values()].reduce((sum, { size }) => sum + size, 0);
  return { worst, homesPerSubject: homes / readAt.size, readAt };
}

test("guards against a shared part being read at many servers under even load", (t) => {
  const random = createSeededRandom(9);
  const { worst, homesPerSubject } = play(
    () => `subject-${random.integer(60)}`,
    6_000,
  );
  t.true(worst <= 0, `${worst} above the bound`);
  t.true(homesPerSubject < 2.5, `${homesPerSubject} servers a subject`);
});

test("guards against a hot subject overloading its server, replaying a fifth of all requests on one subject", (t) => {
  const random = createSeededRandom(9);
  const { worst, readAt } = play(
    () => random.next() < 0.2 ? "hot" : `subject-${random.integer(60)}`,
    6_000,
  );
  t.true(worst <= 0, `${worst} above the bound`);
  t.true(readAt.get("hot")!.size >= 2);
});

test("guards against parts that are read again because servers join and leave", (t) => {
  const directory = createPromptDirectory();
  const random = createSeededRandom(4);
  let servers = serversOf(6);
  let copied = 0;
  let readAgain = 0;
  for (let index = 0; index < 3_000; index++) {
    // Every 500 requests a server joins and the oldest one leaves.
    if (index % 500 === 499) {
      servers = [...servers.slice(1), serverOf(`joined-${index}`)];
    }
    const promptParts = partsOf(`subject-${random.integer(60)}`);
    const subject = partKeyOf(promptParts[1]!);
    const isKnown = directory.holders(subject).size > 0;
    const { server, cacheSource } = choosePlacement(inputOf(servers, {
      promptParts,
      holders: (part) => directory.holders(part),
      random,
    }))!;
    if (isKnown && !directory.holders(subject).has(server.id)) {
      if (cacheSource) copied++;
      else readAgain++;
    }
    directory.record(promptParts, server.id);
  }
  t.is(readAgain, 0);
  t.true(copied > 0 && copied < 120, `${copied} copied in 6 changes`);
});

test("guards against a cache that is copied from an excluded server, or without need", (t) => {
  const servers = serversOf(3);
  const promptParts = partsOf("subject");
  const subject = partKeyOf(promptParts[1]!);
  function sourceOf(options: Partial<PlacementInput>): string | undefined {
    return choosePlacement(inputOf(servers, { promptParts, ...options }))
      ?.cacheSource;
  }
  const gone = brandId<BackendServerId>("gone");
  function holders(part: number): ReadonlySet<BackendServerId> {
    return new Set(part === subject ? [gone] : []);
  }
  t.is(sourceOf({ holders }), "gone");
  t.is(sourceOf({ holders, isExcluded: (id) => id === gone }), undefined);
  t.is(sourceOf({ holders: () => new Set([servers[0]!.id]) }), undefined);
});

test("guards against a subject that moves when another server joins", (t) => {
  const few = serversOf(9);
  const many = serversOf(10);
  let moved = 0;
  for (let index = 0; index < 1_000; index++) {
    const promptParts = partsOf(`subject-${index}`);
    const before = choosePlacement(inputOf(few, { promptParts }))!.server.id;
    const after = choosePlacement(inputOf(many, { promptParts }))!.server.id;
    if (before !== after) moved++;
  }
  t.true(moved < 150, `${moved} of 1000 moved to a tenth of the servers`);
});

test("guards against a request going back to a server that it was sent to", (t) => {
  const servers = serversOf(2);
  const promptParts = partsOf("subject");
  const first = choosePlacement(inputOf(servers, { promptParts }))!.server.id;
  const tried = new Set([first]);
  const second = choosePlacement(inputOf(servers, { promptParts, tried }))!;
  t.not(second.server.id, first);
  tried.add(second.server.id);
  t.is(choosePlacement(inputOf(servers, { promptParts, tried })), undefined);
});

test("guards against an excluded server being used while others are left, and against none being used", (t) => {
  const servers = serversOf(2);
  function isExcluded(id: BackendServerId): boolean {
    return id === servers[0]!.id;
  }
  for (let index = 0; index < 20; index++) {
    const promptParts = partsOf(`subject-${index}`);
    const placement = choosePlacement(
      inputOf(servers, { promptParts, isExcluded }),
    );
    t.is(placement?.server.id, servers[1]!.id);
  }
  const last = choosePlacement(inputOf(servers, { isExcluded: () => true }));
  t.is(last?.reason, "last_resort");
});

test("guards against bytes between data centres when a near server has room", (t) => {
  const servers = [
    serverOf("near", { dataCentre: "north" }),
    serverOf("far"),
    serverOf("other"),
  ];
  function choose(near: number): string | undefined {
    return choosePlacement(
      inputOf(servers, { inFlight: (id) => id === "near" ? near : 1 }),
    )?.server.id;
  }
  t.is(choose(1), "near");
  t.is(choose(2), "near");
  t.not(choose(5), "near");
});

test("guards against a full server being chosen while others have free places", (t) => {
  const servers = [serverOf("full", { slots: 2 }), serverOf("free")];
  for (let index = 0; index < 20; index++) {
    const placement = choosePlacement(inputOf(servers, {
      inFlight: (id) => id === "full" ? 2 : 3,
      promptParts: partsOf(`subject-${index}`),
    }));
    t.is(placement?.server.id as string, "free");
  }
});
