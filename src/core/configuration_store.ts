/**
 * Storage of chunks in the platform: they are written before the head that lists
 * them and removed an hour after they were replaced. Every apply that reuses a
 * chunk increments its version, so a removal based on an older version fails.
 */
import { err, ok, type Result } from "neverthrow";
import type { PlatformClient } from "../platform_client.ts";
import {
  chunkKey,
  HEAD_KEY,
  safeParseStoredHead,
  type StoredHead,
} from "./configuration_head.ts";
import { type ApplicationError, createError } from "./errors.ts";

/** Replaced chunks are kept this long for routers that are still fetching them. */
export const SUPERSEDED_CHUNK_RETENTION_MILLISECONDS = 60 * 60 * 1_000;
const MAXIMUM_REMOVALS_PER_APPLY = 64;
const MAXIMUM_CHUNK_WRITE_ATTEMPTS = 4;
const PARALLEL_WRITES = 8;

/** Written chunks by digest: new ones with their version, and existing ones. */
export interface EnsuredChunks {
  readonly created: ReadonlyMap<string, number>;
  readonly existing: ReadonlySet<string>;
}

type _EnsuredChunk = { readonly existed: boolean; readonly version: number };

async function _ensureChunk(
  client: PlatformClient,
  digest: string,
  text: string,
): Promise<Result<_EnsuredChunk, ApplicationError>> {
  const key = chunkKey(digest);
  let expected = 0;
  let lastError = createError(
    "platform_unavailable",
    "a configuration chunk could not be written",
    [key],
  );
  for (let attempt = 0; attempt < MAXIMUM_CHUNK_WRITE_ATTEMPTS; attempt++) {
    const written = await client.write(key, text, expected);
    if (written.isOk()) {
      return ok({ existed: expected > 0, version: written.value });
    }
    lastError = written.error;
    const read = await client.read(key);
    if (read.isErr()) return err(read.error);
    expected = read.value?.version ?? 0;
  }
  return err(lastError);
}

/** Writes chunks; increments the version of those that exist. */
export async function ensureChunks(
  client: PlatformClient,
  texts: ReadonlyMap<string, string>,
): Promise<Result<EnsuredChunks, ApplicationError>> {
  const queue = [...texts];
  const created = new Map<string, number>();
  const existing = new Set<string>();
  let failure: ApplicationError | undefined;
  async function runWorker(): Promise<void> {
    for (let next = queue.shift(); next && !failure; next = queue.shift()) {
      const [digest, text] = next;
      const ensured = await _ensureChunk(client, digest, text);
      if (ensured.isErr()) failure = ensured.error;
      else if (ensured.value.existed) existing.add(digest);
      else created.set(digest, ensured.value.version);
    }
  }
  await Promise.all(Array.from({ length: PARALLEL_WRITES }, runWorker));
  return failure ? err(failure) : ok({ created, existing });
}

async function _readHead(
  client: PlatformClient,
): Promise<{ head: StoredHead; version: number } | undefined> {
  const read = await client.read(HEAD_KEY);
  const object = read.isOk() ? read.value : undefined;
  const head = object && safeParseStoredHead(object.value);
  return object && head?.isOk()
    ? { head: head.value, version: object.version }
    : undefined;
}

/** Removes the chunks of a failed apply, unless the current head lists them. */
export async function removeChunks(
  client: PlatformClient,
  created: ReadonlyMap<string, number>,
): Promise<void> {
  const current = await _readHead(client);
  if (!current) return;
  const used = new Set([
    ...current.head.chunks,
    ...current.head.superseded.map((entry) => entry.digest),
  ]);
  for (const [digest, version] of created) {
    if (!used.has(digest)) await client.remove(chunkKey(digest), version);
  }
}

/**
 * Removes superseded chunks past their retention; returns the digests of those
 * that are now absent.
 */
export async function removeExpiredChunks(
  client: PlatformClient,
  base: { readonly head: StoredHead; readonly version: number },
  wanted: readonly string[],
  nowMilliseconds: number,
): Promise<string[]> {
  const kept = new Set([...base.head.chunks, ...wanted]);
  const expired = base.head.superseded.filter(({ digest, atMilliseconds }) =>
    nowMilliseconds - atMilliseconds >=
      SUPERSEDED_CHUNK_RETENTION_MILLISECONDS &&
    !kept.has(digest)
  ).slice(0, MAXIMUM_REMOVALS_PER_APPLY);
  const versions = new Map<string, number>();
  const absent: string[] = [];
  for (const { digest } of expired) {
    const read = await client.read(chunkKey(digest));
    if (read.isErr()) return absent;
    if (read.value) versions.set(digest, read.value.version);
    else absent.push(digest);
  }
  // Read after the versions: an apply that reuses a chunk has already changed
  // the head, or increments the chunk's version later, which makes the removal
  // fail.
  if (
    versions.size > 0 && (await _readHead(client))?.version !== base.version
  ) return absent;
  for (const [digest, version] of versions) {
    const removed = await client.remove(chunkKey(digest), version);
    if (removed.isOk()) absent.push(digest);
  }
  return absent;
}
