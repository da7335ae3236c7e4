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
 */
import { AnnouncementLog } from "./announcement_log.ts";
import { evictOldest } from "./bounded_map.ts";
import type { PromptPart } from "./prompt.ts";
import { type PartKey, partKeyOf, sharedPartsOf } from "./prompt_directory.ts";
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
/** Beyond this number, the oldest suspects are forgotten. */
const MAXIMUM_SUSPECTS = 4_096;
/** Crashes that are kept for each part. */
const MAXIMUM_CRASHES = 16;
const MAXIMUM_ANNOUNCEMENTS = 2_048;

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

interface _Suspect {
  readonly crashes: Map<IncarnationKey, number>;
  quarantinedUntil: number;
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

/** The prompt parts that one router suspects or has quarantined. */
export class PromptCrashes {
  readonly #options: PromptCrashesOptions;
  readonly #completed = new Map<PartKey, number>();
  readonly #suspects = new Map<PartKey, _Suspect>();
  readonly #announcements = new AnnouncementLog<PartEvidence>(
    MAXIMUM_ANNOUNCEMENTS,
  );

  constructor(options: PromptCrashesOptions = {}) {
    this.#options = options;
  }

  /** Records that a request completed, which proves its parts sound. */
  recordCompleted(parts: readonly PromptPart[], now: number): void {
    for (const part of sharedPartsOf(parts)) {
      const key = partKeyOf(part);
      const wasSuspect = this.#suspects.has(key);
      this.#setSound(key, now);
      if (wasSuspect) {
        this.#announcements.add({ part: key, crash: undefined, at: now });
      }
    }
  }

  /** Records that a server's crash interrupted a request. */
  recordCrash(
    server: RegisteredServer,
    parts: readonly PromptPart[],
    now: number,
  ): void {
    const crash = incarnationKeyOf(server);
    for (const part of sharedPartsOf(parts)) {
      const evidence = { part: partKeyOf(part), crash, at: now };
      if (this.#addCrash(evidence.part, crash, now, now)) {
        this.#announcements.add(evidence);
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
    parts: readonly PromptPart[],
    now: number,
  ): Quarantine | undefined {
    if (this.#suspects.size === 0) return undefined;
    const keys = new Set(sharedPartsOf(parts).map(partKeyOf));
    let longest: Quarantine | undefined;
    for (const key of keys) {
      const quarantine = this.#quarantineOf(key, now);
      if (!quarantine || this.#isExplained(key, keys)) continue;
      const { remainingMilliseconds } = quarantine;
      if (remainingMilliseconds > (longest?.remainingMilliseconds ?? 0)) {
        longest = quarantine;
      }
    }
    return longest;
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
    for (const [part, { crashes }] of this.#suspects) {
      const last = Math.max(...crashes.values());
      if (now - last >= SUSPICION_MILLISECONDS) this.#suspects.delete(part);
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

  /** Whether a suspect that the prompt lacks was read in all crashes of a part. */
  #isExplained(part: PartKey, prompt: ReadonlySet<PartKey>): boolean {
    const crashes = [...this.#suspects.get(part)?.crashes.keys() ?? []];
    for (const [other, suspect] of this.#suspects) {
      if (prompt.has(other)) continue;
      if (crashes.every((crash) => suspect.crashes.has(crash))) return true;
    }
    return false;
  }

  #quarantineOf(part: PartKey, now: number): Quarantine | undefined {
    const suspect = this.#suspects.get(part);
    if (!suspect || now >= suspect.quarantinedUntil) return undefined;
    return {
      part,
      crashes: suspect.crashes.size,
      remainingMilliseconds: suspect.quarantinedUntil - now,
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
    evictOldest(this.#completed, MAXIMUM_COMPLETED_PARTS);
    const suspect = this.#suspects.get(part);
    if (!suspect) return;
    this.#suspects.delete(part);
    if (suspect.quarantinedUntil > at) this.#options.onCleared?.(part);
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
    let suspect = this.#suspects.get(part);
    if (!suspect) {
      suspect = {
        crashes: new Map(),
        quarantinedUntil: Number.NEGATIVE_INFINITY,
      };
      this.#suspects.set(part, suspect);
      evictOldest(this.#suspects, MAXIMUM_SUSPECTS);
    }
    if (suspect.crashes.has(crash)) return false;
    suspect.crashes.set(crash, at);
    evictOldest(suspect.crashes, MAXIMUM_CRASHES);
    this.#quarantine(part, suspect, now);
    return true;
  }

  #quarantine(part: PartKey, suspect: _Suspect, now: number): void {
    const times = [...suspect.crashes.values()];
    if (_countSeparate(times) < QUARANTINE_CRASHES) return;
    const wasQuarantined = now < suspect.quarantinedUntil;
    suspect.quarantinedUntil = Math.max(...times) + QUARANTINE_MILLISECONDS;
    const quarantine = this.#quarantineOf(part, now);
    if (quarantine && !wasQuarantined) {
      this.#options.onQuarantined?.(quarantine);
    }
  }
}

/** Creates a `PromptCrashes` without evidence. */
export function createPromptCrashes(
  options: PromptCrashesOptions = {},
): PromptCrashes {
  return new PromptCrashes(options);
}
