/**
 * Finds prompt parts that crash the backend servers that read them, so that
 * requests with such a part are rejected instead of ending one server after the
 * other.
 *
 * Every request that a crash interrupts makes its prompt parts suspect, most of
 * them wrongly. What tells them apart is that a sound part completes: a part is
 * quarantined after several crashes, apart in time, without one completed
 * request in the whole fleet. Servers that crash together for another reason
 * count once. Routers announce crashes and completions of suspects to each other,
 * since every router sees few requests of a part.
 *
 * A head has room for thousands of parts, and a crash makes all of them suspect. Parts
 * that were read in the same crashes are indistinguishable and share one record.
 */
import { AnnouncementLog } from "./announcement_log.ts";
import { evictOldest } from "./bounded_map.ts";
import type { PartKey } from "./prompt_directory.ts";
import {
  type IncarnationKey,
  incarnationKeyOf,
} from "./server_incarnations.ts";
import type { RegisteredServer } from "./server_registry.ts";

/** Crashes, apart in time, after which a part is quarantined. */
const QUARANTINE_CRASHES = 3;
/** Crashes closer together than this count as one. */
const SEPARATE_CRASH_MILLISECONDS = 500;
/** How long requests with a quarantined part are rejected after its last crash. */
const QUARANTINE_MILLISECONDS = 600_000;
/** Crashes are forgotten after this time without a further one. */
const SUSPICION_MILLISECONDS = 2 * QUARANTINE_MILLISECONDS;
/** A part is sound for this long after a request with it completed. */
const SOUND_MILLISECONDS = 60_000;
/** Beyond this number, the parts that completed longest ago are forgotten. */
const MAXIMUM_COMPLETED_PARTS = 20_000;
/** Beyond this number, the suspects whose last crash is oldest are forgotten. */
const MAXIMUM_SUSPECTS = 65_536;
/** Suspects that are forgotten together. */
const EVICTED_SUSPECTS = 4_096;
/** Crashes that are kept for each part. */
const MAXIMUM_CRASHES = 16;
/** Several prompts with as many parts as a head has room for. */
const MAXIMUM_ANNOUNCEMENTS = 16_384;

/** What a request showed about a part of its prompt. */
export interface PartEvidence {
  readonly part: PartKey;
  /** The server whose crash interrupted it; undefined if the request completed. */
  readonly crash: IncarnationKey | undefined;
  /** When that was, on the receiver's monotonic clock, in milliseconds. */
  readonly at: number;
}

/** A part that is quarantined. */
export interface Quarantine {
  readonly part: PartKey;
  readonly crashes: number;
  /** Time until the quarantine ends. */
  readonly remainingMilliseconds: number;
}

/** Callbacks for events that are logged. */
export interface PromptCrashesOptions {
  readonly onQuarantined?: (quarantine: Quarantine) => void;
  /** Called when a completed request proves a quarantined part sound. */
  readonly onCleared?: (part: PartKey) => void;
}

/** What the parts have in common that were read in the same crashes. */
interface _CrashSet {
  readonly key: string;
  /** When each crash was; the oldest entry first. */
  readonly times: ReadonlyMap<IncarnationKey, number>;
  readonly lastCrash: number;
  readonly quarantinedUntil: number;
  /** Number of suspects. */
  suspects: number;
}

/** The suspects of one prompt that share a crash set. */
interface _ReadSuspects {
  readonly part: PartKey;
  count: number;
}

/** Returns the number of crashes without those that follow another closely. */
function _countSeparate(times: readonly number[]): number {
  let count = 0;
  let last = Number.NEGATIVE_INFINITY;
  for (const time of [...times].sort((left, right) => left - right)) {
    if (time - last < SEPARATE_CRASH_MILLISECONDS) continue;
    last = time;
    count++;
  }
  return count;
}

function _createCrashSet(
  key: string,
  times: ReadonlyMap<IncarnationKey, number>,
): _CrashSet {
  const lastCrash = Math.max(...times.values());
  const isQuarantined =
    _countSeparate([...times.values()]) >= QUARANTINE_CRASHES;
  return {
    key,
    times,
    lastCrash,
    quarantinedUntil: isQuarantined
      ? lastCrash + QUARANTINE_MILLISECONDS
      : Number.NEGATIVE_INFINITY,
    suspects: 0,
  };
}

/** The prompt parts that one router suspects or has quarantined. */
export class PromptCrashes {
  readonly #options: PromptCrashesOptions;
  readonly #completed = new Map<PartKey, number>();
  /** The suspects, those whose last crash is oldest first. */
  readonly #suspects = new Map<PartKey, _CrashSet>();
  readonly #crashSets = new Map<string, _CrashSet>();
  readonly #announcements = new AnnouncementLog<PartEvidence>(
    MAXIMUM_ANNOUNCEMENTS,
  );

  constructor(options: PromptCrashesOptions = {}) {
    this.#options = options;
  }

  /** Records that a request completed, which proves its parts sound. */
  recordCompleted(parts: readonly PartKey[], now: number): void {
    for (const part of parts) {
      const wasSuspect = this.#suspects.has(part);
      this.#setSound(part, now);
      if (wasSuspect) {
        this.#announcements.add({ part, crash: undefined, at: now });
      }
    }
    evictOldest(this.#completed, MAXIMUM_COMPLETED_PARTS);
  }

  /** Records that a server's crash interrupted a request. */
  recordCrash(
    server: RegisteredServer,
    parts: readonly PartKey[],
    now: number,
  ): void {
    const crash = incarnationKeyOf(server);
    for (const part of parts) {
      if (this.#addCrash(part, crash, now, now)) {
        this.#announcements.add({ part, crash, at: now });
      }
    }
  }

  /**
   * Adds a peer's evidence and announces it, so that it outlives the peer. A
   * router that knows a suspect to be sound announces that instead.
   */
  addEvidence(evidence: PartEvidence, now: number): void {
    const { part, crash, at } = evidence;
    if (crash === undefined) {
      const wasKnown = this.#isSound(part, at);
      this.#setSound(part, at);
      evictOldest(this.#completed, MAXIMUM_COMPLETED_PARTS);
      if (!wasKnown) this.#announcements.add(evidence);
      return;
    }
    const completedAt = this.#completed.get(part);
    if (completedAt !== undefined && this.#isSound(part, at)) {
      this.#announcements.add({ part, crash: undefined, at: completedAt });
      return;
    }
    const isNew = this.#addCrash(part, crash, at, now);
    if (isNew) this.#announcements.add(evidence);
  }

  /**
   * Returns the longest quarantine that applies to a prompt. A part that was only
   * ever read beside another one is as suspect as that one; without the other in
   * the prompt, a request tells which of the two is sound.
   */
  findQuarantine(
    parts: readonly PartKey[],
    now: number,
  ): Quarantine | undefined {
    if (this.#suspects.size === 0) return undefined;
    const read = this.#suspectsOf(parts);
    let longest: Quarantine | undefined;
    for (const [crashSet, { part }] of read) {
      const remainingMilliseconds = crashSet.quarantinedUntil - now;
      if (remainingMilliseconds <= (longest?.remainingMilliseconds ?? 0)) {
        continue;
      }
      if (this.#isExplained(crashSet, read)) continue;
      longest = { part, crashes: crashSet.times.size, remainingMilliseconds };
    }
    return longest;
  }

  #suspectsOf(
    parts: readonly PartKey[],
  ): ReadonlyMap<_CrashSet, _ReadSuspects> {
    const read = new Map<_CrashSet, _ReadSuspects>();
    for (const part of new Set(parts)) {
      const crashSet = this.#suspects.get(part);
      if (!crashSet) continue;
      const known = read.get(crashSet);
      if (known) known.count++;
      else read.set(crashSet, { part, count: 1 });
    }
    return read;
  }

  /** Returns all quarantines, for the state dump and the metrics. */
  quarantines(now: number): Quarantine[] {
    const quarantines: Quarantine[] = [];
    for (const part of this.#suspects.keys()) {
      const quarantine = this.#quarantineOf(part, now);
      if (quarantine) quarantines.push(quarantine);
    }
    return quarantines;
  }

  /** Forgets suspects whose crashes are long ago. */
  expire(now: number): void {
    for (const [part, { lastCrash }] of this.#suspects) {
      if (now - lastCrash >= SUSPICION_MILLISECONDS) this.#remove(part);
    }
  }

  /** Sequence number of the next announcement. */
  get nextSequence(): number {
    return this.#announcements.nextSequence;
  }

  /** Returns the announcements from a sequence number on. */
  announcementsSince(sequence: number): readonly PartEvidence[] {
    return this.#announcements.since(sequence);
  }

  /** Whether a suspect that the prompt lacks was read in all crashes of a set. */
  #isExplained(
    crashSet: _CrashSet,
    read: ReadonlyMap<_CrashSet, _ReadSuspects>,
  ): boolean {
    const crashes = [...crashSet.times.keys()];
    for (const other of this.#crashSets.values()) {
      if (other.suspects <= (read.get(other)?.count ?? 0)) continue;
      if (crashes.every((crash) => other.times.has(crash))) return true;
    }
    return false;
  }

  #quarantineOf(part: PartKey, now: number): Quarantine | undefined {
    const crashSet = this.#suspects.get(part);
    if (!crashSet || now >= crashSet.quarantinedUntil) return undefined;
    return {
      part,
      crashes: crashSet.times.size,
      remainingMilliseconds: crashSet.quarantinedUntil - now,
    };
  }

  #isSound(part: PartKey, at: number): boolean {
    const completedAt = this.#completed.get(part);
    return completedAt !== undefined && at - completedAt < SOUND_MILLISECONDS;
  }

  #setSound(part: PartKey, at: number): void {
    const latest = Math.max(at, this.#completed.get(part) ?? at);
    this.#completed.delete(part);
    this.#completed.set(part, latest);
    const crashSet = this.#suspects.get(part);
    if (!crashSet) return;
    this.#remove(part);
    if (crashSet.quarantinedUntil > at) this.#options.onCleared?.(part);
  }

  /** Adds a crash; returns whether the part is suspect and the crash was new. */
  #addCrash(
    part: PartKey,
    crash: IncarnationKey,
    at: number,
    now: number,
  ): boolean {
    if (this.#isSound(part, at)) return false;
    if (now - at >= SUSPICION_MILLISECONDS) return false;
    const known = this.#suspects.get(part);
    if (known?.times.has(crash)) return false;
    const crashSet = this.#withCrash(known, crash, at);
    this.#remove(part);
    this.#suspects.set(part, crashSet);
    crashSet.suspects++;
    this.#evictSuspects();
    const wasQuarantined = known !== undefined && now < known.quarantinedUntil;
    const quarantine = this.#quarantineOf(part, now);
    if (quarantine && !wasQuarantined) {
      this.#options.onQuarantined?.(quarantine);
    }
    return true;
  }

  /** Returns the set of the known crashes and a further one. */
  #withCrash(
    known: _CrashSet | undefined,
    crash: IncarnationKey,
    at: number,
  ): _CrashSet {
    const times = new Map(known?.times);
    times.set(crash, at);
    evictOldest(times, MAXIMUM_CRASHES);
    const key = [...times.keys()].sort((left, right) => left - right).join();
    let crashSet = this.#crashSets.get(key);
    if (!crashSet) {
      crashSet = _createCrashSet(key, times);
      this.#crashSets.set(key, crashSet);
    }
    return crashSet;
  }

  #remove(part: PartKey): void {
    const crashSet = this.#suspects.get(part);
    if (!crashSet) return;
    this.#suspects.delete(part);
    crashSet.suspects--;
    if (crashSet.suspects === 0) this.#crashSets.delete(crashSet.key);
  }

  #evictSuspects(): void {
    if (this.#suspects.size <= MAXIMUM_SUSPECTS) return;
    const kept = MAXIMUM_SUSPECTS - EVICTED_SUSPECTS;
    for (const oldest of this.#suspects.keys()) {
      this.#remove(oldest);
      if (this.#suspects.size <= kept) return;
    }
  }
}

/** Creates a `PromptCrashes` without evidence. */
export function createPromptCrashes(
  options: PromptCrashesOptions = {},
): PromptCrashes {
  return new PromptCrashes(options);
}
