/**
 * Simulated environment of a configuration history: a store that may serve
 * stale reads, be rolled back or be unavailable, routers that may be
 * partitioned or restarted, and messages in flight. Invariants are checked at
 * each adoption.
 */
import { ok } from "neverthrow";
import type {
  ConfigurationAction,
  ConfigurationEvent,
  ConfigurationSource,
} from "../src/core/configuration_events.ts";
import type {
  ConfigurationHead,
  StoredHead,
} from "../src/core/configuration_head.ts";
import type { HeadPlan } from "../src/core/configuration_plan.ts";
import { createEmptyFleet } from "../src/core/fleet_file.ts";
import { brandId, type SocketAddress } from "../src/core/ids.ts";
import type { RandomSource } from "../src/core/random.ts";
import type { ConfigurationRules, ModelRouter } from "./configuration_rules.ts";

const ROUTERS = 4;
const LOST_REPLY_RATIO = 0.15;
const LOST_MESSAGE_RATIO = 0.1;
const FLEET = createEmptyFleet();

/** Immutable state of the store; each write appends a new one. */
interface _StoreState {
  readonly version: number;
  readonly head: StoredHead | undefined;
  /** Chunk texts by digest. */
  readonly chunks: ReadonlyMap<string, string>;
  readonly floor: number;
}

interface _Message {
  /**
   * Indexes of the routers whose restart drops the message; -1 is the platform,
   * whose rollback drops it.
   */
  readonly endpoints: readonly number[];
  readonly deliver: () => void;
}

interface _Node {
  router: ModelRouter;
  /** Network partition; routers reach only the routers of their own group. */
  group: number;
  cutFromPlatform: boolean;
  lastAdopted: number;
}

/** Result of a head write as the operator sees it. */
export type WriteReply = "done" | "conflict" | "lost" | "unavailable";

/** Store, routers and network of one history, with its invariant checks. */
export class ConfigurationWorld {
  readonly random: RandomSource;
  readonly nodes: _Node[];
  outage = false;
  nowMilliseconds = 0;
  /** Invariants violated so far. */
  readonly violations = new Set<string>();
  readonly #rules: ConfigurationRules;
  #history: _StoreState[] = [{
    version: 0,
    head: undefined,
    chunks: new Map(),
    floor: 0,
  }];
  #messages: _Message[] = [];
  readonly #adopted = new Map<number, string>();
  readonly #reportedWon = new Map<number, string>();
  readonly #reportedLost = new Set<string>();

  constructor(rules: ConfigurationRules, random: RandomSource) {
    this.#rules = rules;
    this.random = random;
    this.nodes = Array.from({ length: ROUTERS }, () => this.#createNode());
  }

  chance(ratio: number): boolean {
    return this.random.next() < ratio;
  }

  get store(): _StoreState {
    return this.#history.at(-1) as _StoreState;
  }

  /**
   * Reads the store. Some reads lag one or two writes behind; during an outage
   * the result is undefined.
   */
  read(staleRatio = 0.1): _StoreState | undefined {
    if (this.outage) return undefined;
    const age = this.chance(staleRatio) ? 1 + this.random.integer(2) : 0;
    return this.#history[Math.max(0, this.#history.length - 1 - age)];
  }

  /** Highest generation that any router reports to operators. */
  fleetGeneration(): number {
    return Math.max(
      ...this.nodes.map(({ router }) => router.highestGeneration()),
    );
  }

  writeChunk(digest: string, text: string): boolean {
    if (this.outage) return false;
    const { chunks } = this.store;
    this.#commit({ chunks: new Map(chunks).set(digest, text) });
    return true;
  }

  writeHead(plan: HeadPlan): WriteReply {
    if (this.outage) return "unavailable";
    const lost = this.chance(LOST_REPLY_RATIO);
    if (lost && this.chance(0.5)) return "lost";
    const { version } = this.store;
    if (this.#rules.isConditional && version !== plan.baseVersion) {
      return lost ? "lost" : "conflict";
    }
    this.#commit({ head: plan.head, version: version + 1 });
    return lost ? "lost" : "done";
  }

  /** Records the outcome of a change as reported to its operator. */
  recordOutcome(
    outcome: "won" | "lost",
    { generation, applyId }: ConfigurationHead,
  ): void {
    if (outcome === "won") this.#reportedWon.set(generation, applyId);
    else this.#reportedLost.add(applyId);
  }

  /**
   * Restores an earlier state of the store and drops calls in flight to it, as
   * a real restore does. Reported wins of generations that neither the restored
   * store nor any router knows are discarded. Does nothing if an adopted
   * generation is known only to the discarded states: after their loss nothing
   * would show that the generation was ever used.
   */
  rollBack(): void {
    const length = Math.max(
      1,
      this.#history.length - 1 - this.random.integer(4),
    );
    const restored = this.#history[length - 1]?.head?.generation ?? 0;
    const known = Math.max(restored, this.fleetGeneration());
    if (Math.max(0, ...this.#adopted.keys()) > known) return;
    this.#history = this.#history.slice(0, length);
    this.#messages = this.#messages.filter(({ endpoints }) =>
      !endpoints.includes(-1)
    );
    for (const generation of this.#reportedWon.keys()) {
      if (generation > known) this.#reportedWon.delete(generation);
    }
  }

  /**
   * Restarts a router. Does nothing if the router is the only one to know its
   * generation: after the restart neither the store nor the fleet would show
   * that the generation was ever used.
   */
  restart(index: number): void {
    const node = this.nodes[index] as _Node;
    const others = this.nodes.filter((other) => other !== node);
    const knownElsewhere = Math.max(
      this.store.head?.generation ?? 0,
      ...others.map(({ router }) => router.highestGeneration()),
    );
    if (node.router.highestGeneration() > knownElsewhere) return;
    this.#messages = this.#messages.filter(({ endpoints }) =>
      !endpoints.includes(index)
    );
    node.router = this.#rules.createRouter(this.nowMilliseconds);
    node.lastAdopted = 0;
    this.fetchHead(index, { kind: "platform" });
    for (let peer = 0; peer < ROUTERS; peer++) {
      if (peer !== index) {
        this.fetchHead(index, { kind: "peer", address: _addressOf(peer) });
      }
    }
  }

  /** Passes an event to a router and performs the resulting actions. */
  handle(index: number, event: ConfigurationEvent): void {
    const { router } = this.nodes[index] as _Node;
    const actions = router.handle(event, {
      nowMilliseconds: this.nowMilliseconds,
      random: this.random.next(),
      readFleet: () => ok(FLEET),
    });
    for (const action of actions) this.#perform(index, action);
  }

  /** Starts a read of the head; the result arrives as a message. */
  fetchHead(index: number, source: ConfigurationSource): void {
    const failed: ConfigurationEvent = {
      kind: "fetch_failed",
      source,
      what: "head",
    };
    if (source.kind === "platform") {
      const state = this.#reachesPlatform(index) ? this.read() : undefined;
      if (state) {
        this.#send([index, -1], index, { kind: "head_read", head: state.head });
      }
      return;
    }
    const peer = _indexOf(source.address);
    const head = this.#reaches(index, peer)
      ? this.#node(peer).router.inForce()
      : undefined;
    this.#send(
      [index, peer],
      index,
      head ? { kind: "head_fetched", from: source.address, head } : failed,
    );
  }

  /** Delivers a random message in flight; false if there is none. */
  deliverOne(): boolean {
    if (this.#messages.length === 0) return false;
    const [message] = this.#messages.splice(
      this.random.integer(this.#messages.length),
      1,
    );
    message?.deliver();
    return true;
  }

  /** Announces the router's current generation, which every frame carries. */
  sendFrames(index: number): void {
    const generation = this.#node(index).router.inForce()?.generation ?? 0;
    this.#announceToPeers(index, generation);
  }

  /** Compares the outcomes reported to operators with what routers adopted. */
  checkOutcomes(): void {
    for (const [generation, applyId] of this.#reportedWon) {
      const adopted = this.#adopted.get(generation);
      if (adopted !== undefined && adopted !== applyId) {
        this.violate("an operator was told that a losing change won");
      }
    }
    for (const applyId of this.#adopted.values()) {
      if (this.#reportedLost.has(applyId)) {
        this.violate("an operator was told that a winning change lost");
      }
    }
  }

  violate(violation: string): void {
    this.violations.add(violation);
  }

  #createNode(): _Node {
    const router = this.#rules.createRouter(this.nowMilliseconds);
    return { router, group: 0, cutFromPlatform: false, lastAdopted: 0 };
  }

  #node(index: number): _Node {
    return this.nodes[index] as _Node;
  }

  #commit(change: Partial<_StoreState>): void {
    this.#history.push({ ...this.store, ...change });
  }

  #reachesPlatform(index: number): boolean {
    return !this.outage && !this.#node(index).cutFromPlatform;
  }

  #reaches(from: number, to: number): boolean {
    return this.#node(from).group === this.#node(to).group;
  }

  #send(
    endpoints: readonly number[],
    index: number,
    event: ConfigurationEvent,
  ): void {
    this.#messages.push({
      endpoints,
      deliver: () => this.handle(index, event),
    });
  }

  #announceToPeers(index: number, generation: number): void {
    for (let other = 0; other < ROUTERS; other++) {
      if (other === index || !this.#reaches(index, other)) continue;
      if (this.chance(LOST_MESSAGE_RATIO)) continue;
      this.#send([index, other], other, {
        kind: "announced",
        from: _addressOf(index),
        generation,
      });
    }
  }

  #perform(index: number, action: ConfigurationAction): void {
    switch (action.kind) {
      case "fetch_head":
        return this.fetchHead(index, action.source);
      case "fetch_chunks":
        return this.#fetchChunks(index, action.source, action.digests);
      case "adopt":
        return this.#recordAdoption(index, action.head);
      case "announce":
        return this.#announceToPeers(index, action.head.generation);
      case "record_floor":
        if (
          this.#reachesPlatform(index) && action.generation > this.store.floor
        ) this.#commit({ floor: action.generation });
        return;
      default:
        return;
    }
  }

  #fetchChunks(
    index: number,
    source: ConfigurationSource,
    digests: readonly string[],
  ): void {
    const peer = source.kind === "peer" ? _indexOf(source.address) : -1;
    const reached = peer < 0
      ? this.#reachesPlatform(index)
      : this.#reaches(index, peer);
    if (!reached || this.chance(LOST_MESSAGE_RATIO)) {
      return this.#send([index, peer], index, {
        kind: "fetch_failed",
        source,
        what: "chunks",
      });
    }
    const texts = digests.map((digest) =>
      peer < 0
        ? this.store.chunks.get(digest)
        : this.#node(peer).router.chunkOf(digest)
    );
    this.#send([index, peer], index, {
      kind: "chunks_arrived",
      source,
      texts: texts.filter((text) => text !== undefined),
    });
  }

  #recordAdoption(index: number, head: ConfigurationHead): void {
    const node = this.#node(index);
    if (head.generation <= node.lastAdopted) this.violate("a router regressed");
    node.lastAdopted = head.generation;
    const winner = this.#adopted.get(head.generation);
    if (winner !== undefined && winner !== head.applyId) {
      this.violate("a generation has two winners");
    }
    this.#adopted.set(head.generation, head.applyId);
    if (
      head.chunks.some((digest) => node.router.chunkOf(digest) === undefined)
    ) this.violate("a configuration was partially adopted");
  }
}

function _addressOf(index: number): SocketAddress {
  return brandId(`127.0.0.1:${7_000 + index}`);
}

function _indexOf(address: SocketAddress): number {
  return Number(address.slice(address.indexOf(":") + 1)) - 7_000;
}
