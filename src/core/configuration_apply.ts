/**
 * Applies a configuration: chunks first, then one conditional update of the
 * head. If the reply is lost, reading the head back shows whether the update
 * took effect.
 */
import { err, ok, type Result } from "neverthrow";
import type { PlatformClient } from "../platform_client.ts";
import { joinChunks, splitFleet } from "./configuration_chunks.ts";
import {
  chunkKey,
  FLOOR_KEY,
  HEAD_KEY,
  safeParseStoredHead,
  type StoredHead,
} from "./configuration_head.ts";
import {
  classifyReadBack,
  type HeadPlan,
  planHead,
} from "./configuration_plan.ts";
import {
  ensureChunks,
  removeChunks,
  removeExpiredChunks,
} from "./configuration_store.ts";
import { type ApplicationError, createError } from "./errors.ts";
import type { Drains, Fleet } from "./fleet_schema.ts";

const MAXIMUM_COMMIT_ATTEMPTS = 8;
/** Delay before a commit is retried, per attempt already made. */
const COMMIT_RETRY_MILLISECONDS = 100;
const MAXIMUM_DRAIN_CHANGE_ATTEMPTS = 5;

/** Dependencies and parameters of an operator's change. */
export interface ApplyOptions {
  readonly client: PlatformClient;
  /** Unique per change; named in the error of a concurrent change that lost. */
  readonly applyId: string;
  /** Wall clock, by which superseded chunks expire. */
  readonly wallMilliseconds: () => number;
  readonly sleep: (milliseconds: number) => Promise<void>;
  /** Returns the highest generation seen by the routers that respond. */
  readonly readHighestGeneration?: () => Promise<number>;
  /**
   * Replaces the next generation; set by the operator after the store was
   * rolled back.
   */
  readonly generation?: number;
}

/** The result of a successful apply. */
export interface ApplyOutcome {
  readonly head: StoredHead;
  /** False if the fleet already has this configuration. */
  readonly changed: boolean;
}

/** The head with the version of its stored object. */
export interface VersionedHead {
  readonly head: StoredHead;
  readonly version: number;
}

type _AsyncResult<T> = Promise<Result<T, ApplicationError>>;

/** Reads the head; undefined if no configuration was ever applied. */
export async function readHead(
  client: PlatformClient,
): _AsyncResult<VersionedHead | undefined> {
  const read = await client.read(HEAD_KEY);
  return read.andThen((object) => {
    if (!object) return ok(undefined);
    return safeParseStoredHead(object.value).map((head) => ({
      head,
      version: object.version,
    }));
  });
}

/** Reads the fleet that a head describes. */
export async function readFleet(
  client: PlatformClient,
  head: StoredHead,
): _AsyncResult<Fleet> {
  const texts = new Map<string, string>();
  for (const digest of new Set(head.chunks)) {
    const read = await client.read(chunkKey(digest));
    if (read.isErr()) return err(read.error);
    if (read.value) texts.set(digest, read.value.value);
  }
  return joinChunks(head.chunks, texts);
}

async function _readFloor(client: PlatformClient): _AsyncResult<number> {
  const read = await client.read(FLOOR_KEY);
  return read.map((object) => {
    const floor = Number(object?.value ?? 0);
    return Number.isSafeInteger(floor) ? floor : 0;
  });
}

/**
 * Raises the stored generation floor to a generation that routers have seen;
 * later applies must exceed it.
 */
export async function recordGenerationFloor(
  client: PlatformClient,
  generation: number,
): _AsyncResult<void> {
  const read = await client.read(FLOOR_KEY);
  if (read.isErr()) return err(read.error);
  if (Number(read.value?.value ?? 0) >= generation) return ok(undefined);
  const written = await client.write(
    FLOOR_KEY,
    String(generation),
    read.value?.version ?? 0,
  );
  return written.map(() => undefined);
}

function _rollbackError(generation: number): ApplicationError {
  return createError(
    "configuration_conflict",
    `the platform's store went back to an earlier state: routers have already seen generation ${generation}; apply with --generation set to a higher one`,
    ["generation"],
  );
}

function _conflict(
  plan: HeadPlan,
  winner: { generation: number; applyId: string },
): ApplicationError {
  return createError(
    "configuration_conflict",
    `generation ${plan.head.generation} was not applied; concurrent change ${winner.applyId} won with generation ${winner.generation}`,
    ["head", winner.applyId],
  );
}

/**
 * Rejects a plan whose generation is not above the base's and the highest known
 * to the routers or the recorded floor. Unless the operator chose the
 * generation, also rejects a plan whose base is below that highest one, because
 * the store was rolled back.
 */
async function _checkGeneration(
  plan: HeadPlan,
  options: ApplyOptions,
): _AsyncResult<void> {
  const floor = await _readFloor(options.client);
  if (floor.isErr()) return err(floor.error);
  const seen = Math.max(
    floor.value,
    await options.readHighestGeneration?.() ?? 0,
  );
  const { baseGeneration, head } = plan;
  const highest = Math.max(seen, baseGeneration);
  const isAbove = head.generation > highest;
  const isImplicit = options.generation === undefined;
  if (isAbove && !(isImplicit && seen > baseGeneration)) return ok(undefined);
  // A concurrent change may have won and reached routers since the head was read.
  const current = await readHead(options.client);
  if (current.isErr()) return err(current.error);
  const verdict = classifyReadBack(plan, current.value, { replyLost: false });
  return err(
    verdict.kind === "lost"
      ? _conflict(plan, verdict.winner)
      : _rollbackError(highest),
  );
}

/** Whether a failed write certainly had no effect. */
function _isUnwritten({ kind }: ApplicationError): boolean {
  return kind !== "platform_conflict" && kind !== "platform_outcome_unknown";
}

/**
 * Writes the plan's head if the stored head is still the plan's base. The
 * stored head and the generation are checked before every write because the
 * write's version condition alone is not enough: a rolled-back store assigns the
 * same versions again.
 */
async function _commit(
  plan: HeadPlan,
  options: ApplyOptions,
): _AsyncResult<StoredHead> {
  const { client, sleep } = options;
  const text = JSON.stringify(plan.head);
  let mayHaveWritten = false;
  let replyLost = false;
  let detail =
    "no read of the configuration head showed whether the change was applied";
  for (let attempt = 0; attempt < MAXIMUM_COMMIT_ATTEMPTS; attempt++) {
    if (attempt > 0) await sleep(COMMIT_RETRY_MILLISECONDS * attempt);
    const current = await readHead(client);
    if (current.isErr()) {
      if (!mayHaveWritten) return err(current.error);
      detail = current.error.detail;
      continue;
    }
    const verdict = classifyReadBack(plan, current.value, { replyLost });
    if (verdict.kind === "won") return ok(plan.head);
    if (verdict.kind === "lost") return err(_conflict(plan, verdict.winner));
    detail =
      `the stored configuration head does not show whether the change was applied (classified as ${verdict.kind})`;
    if (verdict.kind === "went_back" && !mayHaveWritten) {
      return err(_rollbackError(plan.baseGeneration));
    }
    if (verdict.kind === "unknown") break;
    if (verdict.kind !== "unchanged") continue;
    const allowed = await _checkGeneration(plan, options);
    if (allowed.isErr()) {
      if (!mayHaveWritten) return err(allowed.error);
      detail = allowed.error.detail;
      continue;
    }
    const written = await client.write(HEAD_KEY, text, plan.baseVersion);
    if (written.isOk()) return ok(plan.head);
    if (_isUnwritten(written.error) && !mayHaveWritten) {
      return err(written.error);
    }
    mayHaveWritten = true;
    replyLost ||= written.error.kind !== "platform_conflict";
  }
  const kind = mayHaveWritten
    ? "platform_outcome_unknown"
    : "platform_unavailable";
  return err(createError(kind, detail, ["head"]));
}

/** Applies a fleet as the new configuration and keeps the current drains. */
export async function applyFleet(
  fleet: Fleet,
  options: ApplyOptions,
): _AsyncResult<ApplyOutcome> {
  const { client } = options;
  const read = await readHead(client);
  if (read.isErr()) return err(read.error);
  const base = read.value;
  const currentChunkCount = base?.head.chunks.length;
  const chunked = splitFleet(
    fleet,
    currentChunkCount === undefined ? {} : { currentCount: currentChunkCount },
  );
  const now = options.wallMilliseconds();
  const removed = base
    ? await removeExpiredChunks(client, base, chunked.digests, now)
    : [];
  const plan = planHead(base, {
    applyId: options.applyId,
    chunks: chunked.digests,
    nowMilliseconds: now,
    removed,
    ...(options.generation === undefined
      ? {}
      : { generation: options.generation }),
  });
  if (base && !plan.changed && options.generation === undefined) {
    const allowed = await _checkGeneration(plan, options);
    return allowed.map(() => ({ head: base.head, changed: false }));
  }
  const current = new Set(base?.head.chunks);
  const newChunks = new Map(
    [...chunked.texts].filter(([digest]) => !current.has(digest)),
  );
  const ensured = await ensureChunks(client, newChunks);
  if (ensured.isErr()) return err(ensured.error);
  const committed = await _commit(plan, options);
  if (committed.isErr()) {
    if (committed.error.kind !== "platform_outcome_unknown") {
      await removeChunks(client, ensured.value.created);
    }
    return err(committed.error);
  }
  // Another apply may have removed superseded chunks that this one found before
  // the commit, so those are written again.
  const storedChunks = new Map(
    [...newChunks].filter(([digest]) => ensured.value.existing.has(digest)),
  );
  const refreshed = await ensureChunks(client, storedChunks);
  if (refreshed.isErr()) return err(refreshed.error);
  return ok({ head: committed.value, changed: true });
}

/** Changes only the drains; retries if a concurrent change wins. */
export async function changeDrains(
  change: (drains: Drains) => Drains,
  options: ApplyOptions,
): _AsyncResult<ApplyOutcome> {
  let lastError = createError(
    "configuration_conflict",
    "the drains were not changed: concurrent changes won every attempt",
    ["head"],
  );
  for (let attempt = 0; attempt < MAXIMUM_DRAIN_CHANGE_ATTEMPTS; attempt++) {
    const read = await readHead(options.client);
    if (read.isErr()) return err(read.error);
    const base = read.value;
    if (!base) {
      return err(
        createError("not_found", "no configuration has been applied yet", [
          "head",
        ]),
      );
    }
    const plan = planHead(base, {
      applyId: options.applyId,
      chunks: base.head.chunks,
      nowMilliseconds: options.wallMilliseconds(),
      removed: [],
      drains: change(base.head.drains),
    });
    if (!plan.changed) return ok({ head: base.head, changed: false });
    const committed = await _commit(plan, options);
    if (committed.isOk()) return ok({ head: committed.value, changed: true });
    lastError = committed.error;
    if (
      lastError.kind !== "configuration_conflict" ||
      lastError.path[0] !== "head"
    ) break;
  }
  return err(lastError);
}
