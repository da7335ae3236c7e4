/**
 * Splits a fleet into content-addressed chunks and joins them again. Sections
 * are assigned to chunks by a hash of their name, so a change affects few chunks.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { canonicalJson, sha256 } from "./configuration_head.ts";
import { type ApplicationError, createError } from "./errors.ts";
import {
  createEmptyFleet,
  parseSections,
  SECTION_RECORDS,
  toFleetSections,
} from "./fleet_file.ts";
import type { Fleet } from "./fleet_schema.ts";
import type { IniIssue } from "./ini_document.ts";
import { hash32 } from "./hash32.ts";

/** Target for the average chunk size. */
export const TARGET_CHUNK_BYTES = 16 * 1024;

/** A fleet as chunks: the ordered digests and the text of each digest. */
export interface ChunkedFleet {
  readonly digests: readonly string[];
  readonly texts: ReadonlyMap<string, string>;
}

/** Options of `splitFleet`. */
export interface SplitOptions {
  /**
   * Number of chunks so far; kept while their average size is half to twice the
   * target.
   */
  readonly currentCount?: number;
}

function _chooseChunkCount(totalBytes: number, currentCount = 0): number {
  const average = totalBytes / currentCount;
  const fits = average >= TARGET_CHUNK_BYTES / 2 &&
    average <= TARGET_CHUNK_BYTES * 2;
  if (currentCount > 0 && fits) return currentCount;
  return 2 **
    Math.max(0, Math.round(Math.log2(totalBytes / TARGET_CHUNK_BYTES)));
}

/** Splits a fleet into chunks; a newly chosen count is a power of two. */
export function splitFleet(
  fleet: Fleet,
  options: SplitOptions = {},
): ChunkedFleet {
  const sections = [...toFleetSections(fleet)];
  const totalBytes = Buffer.byteLength(JSON.stringify(sections));
  const count = _chooseChunkCount(totalBytes, options.currentCount);
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

interface _ParsedChunk {
  readonly part: Fleet;
  readonly titles: readonly string[];
}

function _parseChunk(text: string): Result<_ParsedChunk, ApplicationError> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return err(
      createError(
        "invalid_fleet_file",
        "a configuration chunk is not valid JSON",
      ),
    );
  }
  const parsed = _chunkSchema.safeParse(value);
  if (!parsed.success) {
    return err(
      createError(
        "invalid_fleet_file",
        "a configuration chunk does not match the schema",
      ),
    );
  }
  const titles = Object.keys(parsed.data);
  const sections = Object.entries(parsed.data).map(([title, section]) => ({
    title,
    entries: new Map(Object.entries(section)),
  }));
  const faults: IniIssue[] = [];
  const part = createEmptyFleet();
  parseSections(sections, part, faults);
  const fault = faults[0];
  if (!fault) return ok({ part, titles });
  return err(createError("invalid_fleet_file", fault.detail, fault.path));
}

/**
 * Joins chunks into a fleet. Caches parsed chunks, so that after a change only
 * the changed chunks are parsed.
 */
export class ChunkReader {
  #parsedChunks = new Map<string, _ParsedChunk>();

  /**
   * Parses one chunk before `read` is called, so that a caller can spread the
   * parsing over time. Malformed chunks are ignored here and reported by `read`.
   */
  parseAhead(text: string): void {
    const digest = sha256(text);
    if (this.#parsedChunks.has(digest)) return;
    const chunk = _parseChunk(text);
    if (chunk.isOk()) this.#parsedChunks.set(digest, chunk.value);
  }

  /** Joins the chunks of a head; fails if one is missing or malformed. */
  read(
    digests: readonly string[],
    texts: ReadonlyMap<string, string>,
  ): Result<Fleet, ApplicationError> {
    const used = new Map<string, _ParsedChunk>();
    const fleet = createEmptyFleet();
    for (const digest of digests) {
      const chunk = this.#readChunk(digest, texts.get(digest));
      if (chunk.isErr()) return err(chunk.error);
      used.set(digest, chunk.value);
      _mergeInto(fleet, chunk.value);
    }
    this.#parsedChunks = used;
    return ok(fleet);
  }

  #readChunk(
    digest: string,
    text: string | undefined,
  ): Result<_ParsedChunk, ApplicationError> {
    const known = this.#parsedChunks.get(digest);
    if (known) return ok(known);
    if (text === undefined) {
      return err(
        createError("not_found", "a configuration chunk is missing", [digest]),
      );
    }
    return _parseChunk(text);
  }
}

function _mergeInto(fleet: Fleet, { part, titles }: _ParsedChunk): void {
  if (titles.includes("fleet")) fleet.fleet = part.fleet;
  for (const record of Object.values(SECTION_RECORDS)) {
    Object.assign(fleet[record], part[record]);
  }
}

/** Joins chunks into a fleet without caching parsed chunks. */
export function joinChunks(
  digests: readonly string[],
  texts: ReadonlyMap<string, string>,
): Result<Fleet, ApplicationError> {
  return new ChunkReader().read(digests, texts);
}
