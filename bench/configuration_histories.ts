/**
 * Runs randomized configuration histories: concurrent operators, lost replies,
 * platform outages, network partitions and router restarts. Once all faults
 * are repaired, every router must converge to the same configuration.
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
const RECOVERY_ROUNDS = 60;
/** Deliveries per recovery round; stops schemes that send messages forever. */
const MAXIMUM_DELIVERIES = 200;
const MAXIMUM_COMMIT_ATTEMPTS = 5;
const SHARED_TEXT = "shared by all fleets";
const SHARED_DIGEST = sha256(SHARED_TEXT);

type _Change = Generator<void, void, void>;

/**
 * Applies a change with the same calls as `configuration_apply.ts`, and yields
 * between them so that other events can interleave. `aboveFleet` sets a
 * generation above all known ones explicitly.
 */
function* _applyConditionally(
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
  const explicitGeneration = aboveFleet ? highest + 1 : undefined;
  const plan = planHead(base, {
    applyId,
    chunks: [SHARED_DIGEST, digest],
    nowMilliseconds: world.nowMilliseconds,
    removed: [],
    drains: { hosts: [applyId], backendServers: [] },
    ...(explicitGeneration === undefined
      ? {}
      : { generation: explicitGeneration }),
  });
  yield;
  if (!world.writeChunk(SHARED_DIGEST, SHARED_TEXT)) return;
  yield;
  if (!world.writeChunk(digest, text)) return;
  yield;
  let mayHaveWritten = false;
  let replyLost = false;
  for (let attempt = 0; attempt < MAXIMUM_COMMIT_ATTEMPTS; attempt++) {
    const current = world.read();
    const outcome: ReadBackResult["kind"] | "unread" = current
      ? classifyReadBack(
        plan,
        current.head && { head: current.head, version: current.version },
        { replyLost },
      ).kind
      : "unread";
    if (outcome === "won" || outcome === "lost") {
      return world.recordOutcome(outcome, plan.head);
    }
    const seen = Math.max(world.fleetGeneration(), world.store.floor);
    const isAllowed: boolean = outcome === "unchanged" &&
      plan.head.generation > Math.max(seen, plan.baseGeneration) &&
      (seen <= plan.baseGeneration || explicitGeneration !== undefined);
    if (!isAllowed && !mayHaveWritten) return;
    const reply: WriteReply | "none" = isAllowed
      ? world.writeHead(plan)
      : "none";
    if (reply === "done") return world.recordOutcome("won", plan.head);
    if (reply === "unavailable" && !mayHaveWritten) return;
    mayHaveWritten = true;
    replyLost ||= reply === "lost" || reply === "unavailable";
    yield;
  }
}

/** Applies a change without a version check; a lost reply counts as success. */
function* _applyUnconditionally(
  world: ConfigurationWorld,
  applyId: string,
): _Change {
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
  world.recordOutcome("won", plan.head);
  yield;
  world.writeChunk(sha256(text), text);
}

class _History {
  readonly world: ConfigurationWorld;
  readonly #rules: ConfigurationRules;
  readonly #operators: (_Change | undefined)[] = Array.from({
    length: OPERATORS,
  });
  #applyCount = 0;

  constructor(rules: ConfigurationRules, seed: number) {
    this.#rules = rules;
    this.world = new ConfigurationWorld(rules, createSeededRandom(seed));
  }

  run(): ReadonlySet<string> {
    for (let step = 0; step < STEPS; step++) this.#step();
    this.#recover();
    this.world.checkOutcomes();
    return this.world.violations;
  }

  #step(): void {
    const { world } = this;
    const { random } = world;
    const index = random.integer(world.nodes.length);
    const draw = random.next();
    if (draw < 0.35) this.#resume(random.integer(OPERATORS));
    else if (draw < 0.70) world.deliverOne();
    else if (draw < 0.80) world.fetchHead(index, { kind: "platform" });
    else if (draw < 0.90) this.#advance(index, random.integer(2_000));
    else this.#injectFault(index);
  }

  #resume(operator: number, aboveFleet?: boolean): void {
    const change = this.#rules.isConditional
      ? _applyConditionally
      : _applyUnconditionally;
    const running = this.#operators[operator] ??= change(
      this.world,
      `apply-${++this.#applyCount}`,
      aboveFleet,
    );
    if (running.next().done) this.#operators[operator] = undefined;
  }

  #advance(index: number, milliseconds: number): void {
    this.world.nowMilliseconds += milliseconds;
    this.world.handle(index, { kind: "tick" });
    this.world.sendFrames(index);
  }

  #injectFault(index: number): void {
    const { world } = this;
    const node = world.nodes[index];
    if (!node) return;
    switch (world.random.integer(5)) {
      case 0:
        world.outage = !world.outage;
        return;
      case 1:
        node.group = 1 - node.group;
        return;
      case 2:
        node.cutFromPlatform = !node.cutFromPlatform;
        return;
      case 3:
        return world.restart(index);
      default:
        if (world.chance(0.4)) world.rollBack();
    }
  }

  /**
   * Repairs the network, then the platform; the routers must converge after
   * each repair.
   */
  #recover(): void {
    const { world } = this;
    for (const node of world.nodes) node.group = 0;
    if (world.outage) {
      this.#runUntil(
        () => this.#hasConverged(this.#highestInForce()),
        "routers diverge during an outage",
      );
    }
    world.outage = false;
    for (const node of world.nodes) node.cutFromPlatform = false;
    for (const [operator, running] of this.#operators.entries()) {
      if (running) this.#finishChange(operator);
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
    ) this.#finishChange(0, true);
    this.#runUntil(
      () => this.#hasConverged(world.store.head?.generation ?? 0),
      "routers diverge from the store after recovery",
    );
  }

  #finishChange(operator: number, aboveFleet?: boolean): void {
    do this.#resume(operator, aboveFleet); while (this.#operators[operator]);
  }

  #highestInForce(): number {
    return Math.max(
      ...this.world.nodes.map(({ router }) =>
        router.inForce()?.generation ?? 0
      ),
    );
  }

  #hasConverged(generation: number): boolean {
    const { nodes } = this.world;
    const digest = nodes[0]?.router.inForce()?.digest;
    return nodes.every(({ router }) =>
      (router.inForce()?.generation ?? 0) === generation &&
      router.inForce()?.digest === digest
    );
  }

  #runUntil(isSettled: () => boolean, violation: string): void {
    const { world } = this;
    for (let round = 0; round < RECOVERY_ROUNDS && !isSettled(); round++) {
      for (const index of world.nodes.keys()) {
        this.#advance(index, 250);
        if (round % 4 === index % 2) {
          world.fetchHead(index, { kind: "platform" });
        }
      }
      let delivered = 0;
      while (delivered < MAXIMUM_DELIVERIES && world.deliverOne()) delivered++;
      if (delivered === MAXIMUM_DELIVERIES) world.violate("messages never end");
    }
    if (!isSettled()) world.violate(violation);
  }
}

/** Result of a series of histories. */
export interface HistoriesReport {
  readonly histories: number;
  /** Number of histories that violated each invariant. */
  readonly violations: ReadonlyMap<string, number>;
  readonly firstBadSeed: number | undefined;
}

/** Runs one history for each of a series of consecutive seeds. */
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
