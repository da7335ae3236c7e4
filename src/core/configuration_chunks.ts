/**
 * Splits a fleet into chunks by content hash and puts chunks back together. A
 * section's chunk depends on its name only, so a change touches few chunks.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { canonicalJson, sha256 } from "./configuration_head.ts";
import { type ApplicationError, createError } from "./errors.ts";
import {
  createEmptyFleet,
  readSections,
  SECTION_RECORDS,
  toFleetSections,
} from "./fleet_file.ts";
import type { Fleet } from "./fleet_schema.ts";
import type { IniFault } from "./ini_document.ts";
import { hash32 } from "./rendezvous.ts";

/** Size that a chunk has on average, in bytes. */
export const TARGET_CHUNK_BYTES = 16 * 1024;

/** A fleet as chunks: their digests in order and their texts. */
export interface ChunkedFleet {
  readonly digests: readonly string[];
  readonly texts: ReadonlyMap<string, string>;
}

/** Options of a split. */
export interface SplitOptions {
  /** Kept while chunks stay within half and twice the target size. */
  readonly currentCount?: number;
}

function _chooseCount(totalBytes: number, currentCount = 0): number {
  const average = totalBytes / currentCount;
  const fits = average >= TARGET_CHUNK_BYTES / 2 &&
    average <= TARGET_CHUNK_BYTES * 2;
  if (currentCount > 0 && fits) return currentCount;
  return 2 **
    Math.max(0, Math.round(Math.log2(totalBytes / TARGET_CHUNK_BYTES)));
}

/** Splits a fleet into a power of two of chunks. */
export function splitFleet(
  fleet: Fleet,
  options: SplitOptions = {},
): ChunkedFleet {
  const sections = [...toFleetSections(fleet)];
  const totalBytes = Buffer.byteLength(JSON.stringify(sections));
  const count = _chooseCount(totalBytes, options.currentCount);
  const groups: Record<string, unknown>[] = Array.from(
    { length: count },
    () => ({}),
  );
  for (const [title, section] of sections) {
    const group = groups[hash32(title) % count];
    if (group) group[title] = section;
  }
  const texts = new Map<string, string>();
  const digests = groups.map((group) => {
    const text = canonicalJson(group);
    const digest = sha256(text);
    texts.set(digest, text);
    return digest;
  });
  return { digests, texts };
}

const _chunkSchema = z.record(z.string(), z.record(z.string(), z.string()));

interface _ReadChunk {
  readonly part: Fleet;
  readonly titles: readonly string[];
}

function _readChunk(text: string): Result<_ReadChunk, ApplicationError> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return err(createError("invalid_fleet_file", "a chunk is not JSON"));
  }
  const parsed = _chunkSchema.safeParse(value);
  if (!parsed.success) {
    return err(createError("invalid_fleet_file", "a chunk is malformed"));
  }
  const titles = Object.keys(parsed.data);
  const sections = Object.entries(parsed.data).map(([title, section]) => ({
    title,
    entries: new Map(Object.entries(section)),
  }));
  const faults: IniFault[] = [];
  const part = createEmptyFleet();
  readSections(sections, part, faults);
  const fault = faults[0];
  if (!fault) return ok({ part, titles });
  return err(createError("invalid_fleet_file", fault.detail, fault.path));
}

/**
 * Puts chunks back together. Parsed chunks are remembered, so a change costs
 * the parsing of the changed chunks only.
 */
export class ChunkReader {
  #known = new Map<string, _ReadChunk>();

  /**
   * Parses one chunk ahead of `read`, so that a caller can spread the parsing
   * over time. A malformed chunk is left for `read` to report.
   */
  prepare(text: string): void {
    const digest = sha256(text);
    if (this.#known.has(digest)) return;
    const chunk = _readChunk(text);
    if (chunk.isOk()) this.#known.set(digest, chunk.value);
  }

  /** Reads the chunks of a head; fails if one is missing or malformed. */
  read(
    digests: readonly string[],
    texts: ReadonlyMap<string, string>,
  ): Result<Fleet, ApplicationError> {
    const used = new Map<string, _ReadChunk>();
    const fleet = createEmptyFleet();
    for (const digest of digests) {
      const chunk = this.#readOne(digest, texts.get(digest));
      if (chunk.isErr()) return err(chunk.error);
      used.set(digest, chunk.value);
      _merge(fleet, chunk.value);
    }
    this.#known = used;
    return ok(fleet);
  }

  #readOne(
    digest: string,
    text: string | undefined,
  ): Result<_ReadChunk, ApplicationError> {
    const known = this.#known.get(digest);
    if (known) return ok(known);
    if (text === undefined) {
      return err(createError("not_found", "a chunk is missing", [digest]));
    }
    return _readChunk(text);
  }
}

function _merge(fleet: Fleet, { part, titles }: _ReadChunk): void {
  if (titles.includes("fleet")) fleet.fleet = part.fleet;
  for (const record of Object.values(SECTION_RECORDS)) {
    Object.assign(fleet[record], part[record]);
  }
}

/** Puts chunks back together once. */
export function joinChunks(
  digests: readonly string[],
  texts: ReadonlyMap<string, string>,
): Result<Fleet, ApplicationError> {
  return new ChunkReader().read(digests, texts);
}
