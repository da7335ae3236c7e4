/**
 * Random histories of the configuration: operators race, replies get lost, the
 * platform and the network fail, routers restart. Then everything heals and all
 * routers must agree.
 */
import {
  classifyReadBack,
  planHead,
  type ReadBackResult,
} from "../src/core/configuration_plan.ts";
import { sha256 } from "../src/core/configuration_head.ts";
import { createSeededRandom } from "../src/core/random.ts";
import type { ConfigurationRules } from "./configuration_rules.ts";
import { ConfigurationWorld, type WriteReply } from "./configuration_world.ts";

const OPERATORS = 3;
const STEPS = 70;
const HEALING_ROUNDS = 60;
/** Messages delivered in a healing round; bounds schemes that never fall silent. */
const MAXIMUM_DELIVERIES = 200;
const MAXIMUM_COMMIT_ATTEMPTS = 5;
const SHARED_TEXT = "shared by all fleets";
const SHARED_DIGEST = sha256(SHARED_TEXT);

type _Change = Generator<void, void, void>;

/** An operator's change as `configuration_apply.ts` makes it, call by call. */
function* _careful(
  world: ConfigurationWorld,
  applyId: string,
  aboveFleet = world.chance(0.3),
): _Change {
  const read = world.read();
  if (!read) return;
  const { head, version } = read;
  const base = head && { head, version };
  const text = world.chance(0.3) && base ? SHARED_TEXT : `fleet of ${applyId}`;
  const digest = sha256(text);
  const highest = Math.max(
    world.fleetGeneration(),
    world.store.floor,
    head?.generation ?? 0,
  );
  const chosen = aboveFleet ? highest + 1 : undefined;
  const plan = planHead(base, {
    applyId,
    chunks: [SHARED_DIGEST, digest],
    nowMilliseconds: world.nowMilliseconds,
    removed: [],
    drains: { hosts: [applyId], backendServers: [] },
    ...(chosen === undefined ? {} : { generation: chosen }),
  });
  yield;
  if (!world.writeChunk(SHARED_DIGEST, SHARED_TEXT)) return;
  yield;
  if (!world.writeChunk(digest, text)) return;
  yield;
  let mayHaveWritten = false;
  let replyLost = false;
  for (let attempt = 0; attempt < MAXIMUM_COMMIT_ATTEMPTS; attempt++) {
    const back = world.read();
    const verdict: ReadBackResult["kind"] | "unread" = back
      ? classifyReadBack(
        plan,
        back.head && { head: back.head, version: back.version },
        { replyLost },
      ).kind
      : "unread";
    if (verdict === "won" || verdict === "lost") {
      return world.told(verdict, plan.head);
    }
    const seen = Math.max(world.fleetGeneration(), world.store.floor);
    const allowed: boolean = verdict === "unchanged" &&
      plan.head.generation > Math.max(seen, plan.baseGeneration) &&
      (seen <= plan.baseGeneration || chosen !== undefined);
    if (!allowed && !mayHaveWritten) return;
    const reply: WriteReply | "none" = allowed ? world.writeHead(plan) : "none";
    if (reply === "done") return world.told("won", plan.head);
    if (reply === "unavailable" && !mayHaveWritten) return;
    mayHaveWritten = true;
    replyLost ||= reply === "lost" || reply === "unavailable";
    yield;
  }
}

/** The naive change: no condition, and a lost reply counts as success. */
function* _careless(world: ConfigurationWorld, applyId: string): _Change {
  const read = world.read();
  if (!read) return;
  const base = read.head && { head: read.head, version: read.version };
  const text = `fleet of ${applyId}`;
  const plan = planHead(base, {
    applyId,
    chunks: [sha256(text)],
    nowMilliseconds: 0,
    removed: [],
  });
  yield;
  if (world.writeHead(plan) === "unavailable") return;
  world.told("won", plan.head);
  yield;
  world.writeChunk(sha256(text), text);
}

class _History {
  readonly world: ConfigurationWorld;
  readonly #rules: ConfigurationRules;
  readonly #operators: (_Change | undefined)[] = Array.from({
    length: OPERATORS,
  });
  #applies = 0;

  constructor(rules: ConfigurationRules, seed: number) {
    this.#rules = rules;
    this.world = new ConfigurationWorld(rules, createSeededRandom(seed));
  }

  run(): ReadonlySet<string> {
    for (let step = 0; step < STEPS; step++) this.#step();
    this.#heal();
    this.world.checkPromises();
    return this.world.violations;
  }

  #step(): void {
    const { world } = this;
    const { random } = world;
    const index = random.integer(world.seats.length);
    const die = random.next();
    if (die < 0.35) this.#operate(random.integer(OPERATORS));
    else if (die < 0.70) world.deliverOne();
    else if (die < 0.80) world.fetchHead(index, { kind: "platform" });
    else if (die < 0.90) this.#pass(index, random.integer(2_000));
    else this.#fail(index);
  }

  #operate(operator: number, aboveFleet?: boolean): void {
    const change = this.#rules.isConditional ? _careful : _careless;
    const running = this.#operators[operator] ??= change(
      this.world,
      `apply-${++this.#applies}`,
      aboveFleet,
    );
    if (running.next().done) this.#operators[operator] = undefined;
  }

  #pass(index: number, milliseconds: number): void {
    this.world.nowMilliseconds += milliseconds;
    this.world.handle(index, { kind: "tick" });
    this.world.sendFrames(index);
  }

  #fail(index: number): void {
    const { world } = this;
    const seat = world.seats[index];
    if (!seat) return;
    switch (world.random.integer(5)) {
      case 0:
        world.outage = !world.outage;
        return;
      case 1:
        seat.group = 1 - seat.group;
        return;
      case 2:
        seat.cutFromPlatform = !seat.cutFromPlatform;
        return;
      case 3:
        return world.restart(index);
      default:
        if (world.chance(0.4)) world.rollBack();
    }
  }

  /** First the network heals, then the platform; the routers agree after each. */
  #heal(): void {
    const { world } = this;
    for (const seat of world.seats) seat.group = 0;
    if (world.outage) {
      this.#settle(
        () => this.#agreeOn(this.#highestInForce()),
        "routers do not agree during an outage",
      );
    }
    world.outage = false;
    for (const seat of world.seats) seat.cutFromPlatform = false;
    for (const [operator, running] of this.#operators.entries()) {
      if (running) this.#finish(operator);
    }
    const last = Math.max(
      world.fleetGeneration(),
      world.store.head?.generation ?? 0,
      world.store.floor,
    );
    for (
      let attempt = 0;
      attempt < 20 && (world.store.head?.generation ?? 0) <= last;
      attempt++
    ) this.#finish(0, true);
    this.#settle(
      () => this.#agreeOn(world.store.head?.generation ?? 0),
      "routers do not agree with the store after healing",
    );
  }

  #finish(operator: number, aboveFleet?: boolean): void {
    do this.#operate(operator, aboveFleet); while (this.#operators[operator]);
  }

  #highestInForce(): number {
    return Math.max(
      ...this.world.seats.map(({ router }) =>
        router.inForce()?.generation ?? 0
      ),
    );
  }

  #agreeOn(generation: number): boolean {
    const { seats } = this.world;
    const digest = seats[0]?.router.inForce()?.digest;
    return seats.every(({ router }) =>
      (router.inForce()?.generation ?? 0) === generation &&
      router.inForce()?.digest === digest
    );
  }

  #settle(isSettled: () => boolean, violation: string): void {
    const { world } = this;
    for (let round = 0; round < HEALING_ROUNDS && !isSettled(); round++) {
      for (const index of world.seats.keys()) {
        this.#pass(index, 250);
        if (round % 4 === index % 2) {
          world.fetchHead(index, { kind: "platform" });
        }
      }
      let delivered = 0;
      while (delivered < MAXIMUM_DELIVERIES && world.deliverOne()) delivered++;
      if (delivered === MAXIMUM_DELIVERIES) world.break("messages never cease");
    }
    if (!isSettled()) world.break(violation);
  }
}

/** What a run of histories found. */
export interface HistoriesReport {
  readonly histories: number;
  /** Histories in which each invariant broke. */
  readonly violations: ReadonlyMap<string, number>;
  readonly firstBadSeed: number | undefined;
}

/** Runs histories with successive seeds. */
export function runConfigurationHistories(
  rules: ConfigurationRules,
  options: { readonly histories: number; readonly firstSeed: number },
): HistoriesReport {
  const violations = new Map<string, number>();
  let firstBadSeed: number | undefined;
  for (let index = 0; index < options.histories; index++) {
    const seed = options.firstSeed + index;
    for (const violation of new _History(rules, seed).run()) {
      firstBadSeed ??= seed;
      violations.set(violation, (violations.get(violation) ?? 0) + 1);
    }
  }
  return { histories: options.histories, violations, firstBadSeed };
}
