/**
 * The world of a configuration history: a store that can be stale, rolled back
 * or out, routers that can be cut or restarted, messages under way, and the
 * invariants, which are checked at every adoption.
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

/** One state of the store; each write makes a new one. */
interface _StoreState {
  readonly version: number;
  readonly head: StoredHead | undefined;
  /** Texts of chunks by digest. */
  readonly chunks: ReadonlyMap<string, string>;
  readonly floor: number;
}

interface _Message {
  /** Indexes of routers whose restart loses the message; -1 is the platform. */
  readonly ends: readonly number[];
  readonly deliver: () => void;
}

interface _Seat {
  router: ModelRouter;
  /** Routers of one group reach each other. */
  group: number;
  cutFromPlatform: boolean;
  lastAdopted: number;
}

/** What a write did, as the operator sees it. */
export type WriteReply = "done" | "conflict" | "lost" | "unavailable";

export class ConfigurationWorld {
  readonly random: RandomSource;
  readonly seats: _Seat[];
  outage = false;
  nowMilliseconds = 0;
  /** The invariants that were broken. */
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
  readonly #won = new Map<number, string>();
  readonly #lost = new Set<string>();

  constructor(rules: ConfigurationRules, random: RandomSource) {
    this.#rules = rules;
    this.random = random;
    this.seats = Array.from({ length: ROUTERS }, () => this.#createSeat());
  }

  chance(ratio: number): boolean {
    return this.random.next() < ratio;
  }

  get store(): _StoreState {
    return this.#history.at(-1) as _StoreState;
  }

  /** Reads the store, a little stale at times; undefined during an outage. */
  read(staleRatio = 0.1): _StoreState | undefined {
    if (this.outage) return undefined;
    const age = this.chance(staleRatio) ? 1 + this.random.integer(2) : 0;
    return this.#history[Math.max(0, this.#history.length - 1 - age)];
  }

  /** The highest generation that any router would report to an operator. */
  fleetGeneration(): number {
    return Math.max(
      ...this.seats.map(({ router }) => router.highestGeneration()),
    );
  }

  writeChunk(digest: string, text: string): boolean {
    if (this.outage) return false;
    const { chunks } = this.store;
    this.#push({ chunks: new Map(chunks).set(digest, text) });
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
    this.#push({ head: plan.head, version: version + 1 });
    return lost ? "lost" : "done";
  }

  /** Notes what an operator was told about a change. */
  told(
    outcome: "won" | "lost",
    { generation, applyId }: ConfigurationHead,
  ): void {
    if (outcome === "won") this.#won.set(generation, applyId);
    else this.#lost.add(applyId);
  }

  /**
   * Restores an older state. Calls under way fail, as in any restore. What no
   * router has seen is forgotten, and so is what operators were told of it.
   * Nothing is restored if a generation was adopted that only the store still
   * knows: once it is lost there too, nobody can tell that it was ever used.
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
    this.#messages = this.#messages.filter(({ ends }) => !ends.includes(-1));
    for (const told of this.#won.keys()) {
      if (told > known) this.#won.delete(told);
    }
  }

  /**
   * Restarts a router unless nobody else knows its generation: then neither the
   * store nor the fleet could tell that the generation was ever used.
   */
  restart(index: number): void {
    const seat = this.seats[index] as _Seat;
    const others = this.seats.filter((other) => other !== seat);
    const witnessed = Math.max(
      this.store.head?.generation ?? 0,
      ...others.map(({ router }) => router.highestGeneration()),
    );
    if (seat.router.highestGeneration() > witnessed) return;
    this.#messages = this.#messages.filter(({ ends }) => !ends.includes(index));
    seat.router = this.#rules.createRouter(this.nowMilliseconds);
    seat.lastAdopted = 0;
    this.fetchHead(index, { kind: "platform" });
    for (let peer = 0; peer < ROUTERS; peer++) {
      if (peer !== index) {
        this.fetchHead(index, { kind: "peer", address: _addressOf(peer) });
      }
    }
  }

  /** Gives an event to a router and performs what it decides. */
  handle(index: number, event: ConfigurationEvent): void {
    const { router } = this.seats[index] as _Seat;
    const actions = router.handle(event, {
      nowMilliseconds: this.nowMilliseconds,
      random: this.random.next(),
      readFleet: () => ok(FLEET),
    });
    for (const action of actions) this.#perform(index, action);
  }

  /** Starts a read of the head; the answer travels like any message. */
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
      ? this.#seat(peer).router.inForce()
      : undefined;
    this.#send(
      [index, peer],
      index,
      head ? { kind: "head_fetched", from: source.address, head } : failed,
    );
  }

  /** Delivers one message that is under way, in any order. */
  deliverOne(): boolean {
    if (this.#messages.length === 0) return false;
    const [message] = this.#messages.splice(
      this.random.integer(this.#messages.length),
      1,
    );
    message?.deliver();
    return true;
  }

  /** Sends what every frame carries: the generation in force. */
  sendFrames(index: number): void {
    const generation = this.#seat(index).router.inForce()?.generation ?? 0;
    this.#tellOthers(index, generation);
  }

  /** Compares what operators were told with what was adopted. */
  checkPromises(): void {
    for (const [generation, applyId] of this.#won) {
      const adopted = this.#adopted.get(generation);
      if (adopted !== undefined && adopted !== applyId) {
        this.break("an operator was told that a change won that lost");
      }
    }
    for (const applyId of this.#adopted.values()) {
      if (this.#lost.has(applyId)) {
        this.break("an operator was told that a change lost that won");
      }
    }
  }

  break(violation: string): void {
    this.violations.add(violation);
  }

  #createSeat(): _Seat {
    const router = this.#rules.createRouter(this.nowMilliseconds);
    return { router, group: 0, cutFromPlatform: false, lastAdopted: 0 };
  }

  #seat(index: number): _Seat {
    return this.seats[index] as _Seat;
  }

  #push(change: Partial<_StoreState>): void {
    this.#history.push({ ...this.store, ...change });
  }

  #reachesPlatform(index: number): boolean {
    return !this.outage && !this.#seat(index).cutFromPlatform;
  }

  #reaches(from: number, to: number): boolean {
    return this.#seat(from).group === this.#seat(to).group;
  }

  #send(
    ends: readonly number[],
    index: number,
    event: ConfigurationEvent,
  ): void {
    this.#messages.push({ ends, deliver: () => this.handle(index, event) });
  }

  #tellOthers(index: number, generation: number): void {
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
        return this.#tellOthers(index, action.head.generation);
      case "record_floor":
        if (
          this.#reachesPlatform(index) && action.generation > this.store.floor
        ) this.#push({ floor: action.generation });
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
        : this.#seat(peer).router.chunkOf(digest)
    );
    this.#send([index, peer], index, {
      kind: "chunks_arrived",
      source,
      texts: texts.filter((text) => text !== undefined),
    });
  }

  #recordAdoption(index: number, head: ConfigurationHead): void {
    const seat = this.#seat(index);
    if (head.generation <= seat.lastAdopted) this.break("a router went back");
    seat.lastAdopted = head.generation;
    const winner = this.#adopted.get(head.generation);
    if (winner !== undefined && winner !== head.applyId) {
      this.break("a generation has two winners");
    }
    this.#adopted.set(head.generation, head.applyId);
    if (
      head.chunks.some((digest) => seat.router.chunkOf(digest) === undefined)
    ) this.break("a configuration was adopted in part");
  }
}

function _addressOf(index: number): SocketAddress {
  return brandId(`127.0.0.1:${7_000 + index}`);
}

function _indexOf(address: SocketAddress): number {
  return Number(address.slice(address.indexOf(":") + 1)) - 7_000;
}
