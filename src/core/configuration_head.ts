/**
 * The head of the configuration: the one object whose conditional update makes
 * a change effective. It names the chunks by hash and carries the drains.
 */
import { createHash } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { type ApplicationError, createError } from "./errors.ts";
import type { Drains } from "./fleet_schema.ts";

/** Key of the head in the platform. */
export const HEAD_KEY = "configuration/head";
/** Key of the lowest generation that an apply must exceed after a rollback. */
export const FLOOR_KEY = "configuration/floor";

/** Key of a chunk in the platform. */
export function chunkKey(digest: string): string {
  return `configuration/chunk/${digest}`;
}

/** How many past applies the head names, to resolve replies lost long ago. */
export const MAXIMUM_RECENT_APPLIES = 32;

const _digest = z.string().regex(/^[0-9a-f]{64}$/);
const _generation = z.number().int().positive();

const _headSchema = z.object({
  generation: _generation,
  digest: _digest,
  applyId: z.string().min(1),
  chunks: z.array(_digest).min(1),
  drains: z.object({
    hosts: z.array(z.string()),
    backendServers: z.array(z.string()),
  }),
});

const _storedHeadSchema = _headSchema.extend({
  /** Past applies, newest first. */
  recent: z.array(z.object({ generation: _generation, applyId: z.string() }))
    .default([]),
  /** Chunks that are no longer used, with the wall time of their replacement. */
  superseded: z.array(z.object({ digest: _digest, atMilliseconds: z.number() }))
    .default([]),
});

/** What routers exchange; `digest` covers all other fields. */
export interface ConfigurationHead {
  readonly generation: number;
  readonly digest: string;
  readonly applyId: string;
  readonly chunks: readonly string[];
  readonly drains: Drains;
}

/** The head as the platform holds it. */
export type StoredHead = z.infer<typeof _storedHeadSchema>;

/** Writes JSON with sorted keys, so equal values have equal text. */
export function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_key, item: unknown) => {
    if (typeof item !== "object" || item === null || Array.isArray(item)) {
      return item;
    }
    return Object.fromEntries(
      Object.entries(item).sort(([left], [right]) => left < right ? -1 : 1),
    );
  });
}

/** Returns the SHA-256 of a text in hexadecimal. */
export function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/** Returns the digest over everything that routers act on. */
export function digestHead(head: Omit<ConfigurationHead, "digest">): string {
  const { generation, applyId, chunks, drains } = head;
  return sha256(canonicalJson({ generation, applyId, chunks, drains }));
}

/** Builds a head with its digest. */
export function createHead(
  fields: Omit<ConfigurationHead, "digest">,
): ConfigurationHead {
  const { generation, applyId, chunks, drains } = fields;
  const digest = digestHead(fields);
  return { generation, digest, applyId, chunks, drains };
}

function _checkDigest<Head extends ConfigurationHead>(
  parsed: z.ZodSafeParseResult<Head>,
): Result<Head, ApplicationError> {
  if (!parsed.success) {
    return err(
      createError("malformed_body", "the head is malformed", ["head"]),
    );
  }
  if (digestHead(parsed.data) !== parsed.data.digest) {
    return err(
      createError("malformed_body", "the head does not match its digest", [
        "head",
      ]),
    );
  }
  return ok(parsed.data);
}

/** Checks the head that another router sent. */
export function safeParseHead(
  value: unknown,
): Result<ConfigurationHead, ApplicationError> {
  return _checkDigest(_headSchema.safeParse(value));
}

/** Checks the head that the platform returned. */
export function safeParseStoredHead(
  text: string,
): Result<StoredHead, ApplicationError> {
  try {
    return _checkDigest(_storedHeadSchema.safeParse(JSON.parse(text)));
  } catch {
    return err(createError("malformed_body", "the head is not JSON", ["head"]));
  }
}

/** A head as the difference from another, since most changes touch few chunks. */
export interface HeadDelta extends Omit<ConfigurationHead, "chunks"> {
  readonly base: string;
  readonly count: number;
  readonly changed: readonly (readonly [index: number, digest: string])[];
}

const _deltaSchema = _headSchema.omit({ chunks: true }).extend({
  base: _digest,
  count: z.number().int().positive(),
  changed: z.array(z.tuple([z.number().int().nonnegative(), _digest])),
});

/** Describes a head as its difference from a base that the receiver has. */
export function diffHead(
  base: ConfigurationHead,
  head: ConfigurationHead,
): HeadDelta {
  const { chunks, ...fields } = head;
  const changed = [...chunks.entries()].filter(([index, digest]) =>
    base.chunks[index] !== digest
  );
  return { ...fields, base: base.digest, count: chunks.length, changed };
}

/** Rebuilds a head from a base and a difference, and checks its digest. */
export function safePatchHead(
  base: ConfigurationHead,
  value: unknown,
): Result<ConfigurationHead, ApplicationError> {
  const parsed = _deltaSchema.safeParse(value);
  if (!parsed.success || parsed.data.base !== base.digest) {
    return err(
      createError("malformed_body", "the head difference is malformed", [
        "head",
      ]),
    );
  }
  const { changed, count, ...fields } = parsed.data;
  const chunks = base.chunks.slice(0, count);
  for (const [index, digest] of changed) {
    if (index < count) chunks[index] = digest;
  }
  return safeParseHead({ ...fields, chunks });
}
