/**
 * The configuration head: the single object whose conditional update commits a
 * change. It lists the chunks by digest and contains the drains.
 */
import { createHash } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { type ApplicationError, createError } from "./errors.ts";
import type { Drains } from "./fleet_schema.ts";

/** Key of the head in the platform's store. */
export const HEAD_KEY = "configuration/head";
/** Key of the generation that an apply must exceed after a store rollback. */
export const FLOOR_KEY = "configuration/floor";

/** Key of a chunk in the platform's store. */
export function chunkKey(digest: string): string {
  return `configuration/chunk/${digest}`;
}

/**
 * Number of past applies listed in the head, to resolve a reply lost several
 * changes ago.
 */
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

/** The head as routers exchange it; `digest` covers all other fields. */
export interface ConfigurationHead {
  readonly generation: number;
  readonly digest: string;
  readonly applyId: string;
  readonly chunks: readonly string[];
  readonly drains: Drains;
}

/** The head as the platform stores it. */
export type StoredHead = z.infer<typeof _storedHeadSchema>;

/** Serializes to JSON with sorted keys, so that equal values give equal text. */
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

/** Returns the SHA-256 digest of a text in hexadecimal. */
export function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/** Returns the digest of all fields that routers act on. */
export function digestHead(head: Omit<ConfigurationHead, "digest">): string {
  const { generation, applyId, chunks, drains } = head;
  return sha256(canonicalJson({ generation, applyId, chunks, drains }));
}

/** Creates a head and computes its digest. */
export function createHead(
  fields: Omit<ConfigurationHead, "digest">,
): ConfigurationHead {
  const { generation, applyId, chunks, drains } = fields;
  const digest = digestHead(fields);
  return { generation, digest, applyId, chunks, drains };
}

function _verifyDigest<Head extends ConfigurationHead>(
  parsed: z.ZodSafeParseResult<Head>,
): Result<Head, ApplicationError> {
  if (!parsed.success) {
    return err(
      createError("malformed_body", "the configuration head is malformed", [
        "head",
      ]),
    );
  }
  if (digestHead(parsed.data) !== parsed.data.digest) {
    return err(
      createError(
        "malformed_body",
        "the configuration head does not match its digest",
        [
          "head",
        ],
      ),
    );
  }
  return ok(parsed.data);
}

/** Validates a head received from another router. */
export function safeParseHead(
  value: unknown,
): Result<ConfigurationHead, ApplicationError> {
  return _verifyDigest(_headSchema.safeParse(value));
}

/** Validates a head read from the platform. */
export function safeParseStoredHead(
  text: string,
): Result<StoredHead, ApplicationError> {
  try {
    return _verifyDigest(_storedHeadSchema.safeParse(JSON.parse(text)));
  } catch {
    return err(
      createError(
        "malformed_body",
        "the configuration head is not valid JSON",
        ["head"],
      ),
    );
  }
}

/** A head as a delta from a base head; most changes affect few chunks. */
export interface HeadDelta extends Omit<ConfigurationHead, "chunks"> {
  /** Digest of the base head. */
  readonly base: string;
  /** Number of chunks of the encoded head. */
  readonly count: number;
  readonly changed: readonly (readonly [index: number, digest: string])[];
}

const _deltaSchema = _headSchema.omit({ chunks: true }).extend({
  base: _digest,
  count: z.number().int().positive(),
  changed: z.array(z.tuple([z.number().int().nonnegative(), _digest])),
});

/** Encodes a head as a delta from a base that the receiver has. */
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

/** Applies a delta to its base and verifies the digest of the result. */
export function safePatchHead(
  base: ConfigurationHead,
  value: unknown,
): Result<ConfigurationHead, ApplicationError> {
  const parsed = _deltaSchema.safeParse(value);
  if (!parsed.success || parsed.data.base !== base.digest) {
    return err(
      createError(
        "malformed_body",
        "the head delta is malformed or based on another head",
        [
          "head",
        ],
      ),
    );
  }
  const { changed, count, ...fields } = parsed.data;
  const chunks = base.chunks.slice(0, count);
  for (const [index, digest] of changed) {
    if (index < count) chunks[index] = digest;
  }
  return safeParseHead({ ...fields, chunks });
}
