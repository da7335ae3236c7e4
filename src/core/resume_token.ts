/**
 * Resume tokens. A token is the signed position of a stream. A caller whose
 * router failed sends the token of the last event to any other router. The
 * token contains the workspace, so that no other workspace can resume the
 * stream.
 */
import { createHmac, timingSafeEqual } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { type ApplicationError, createError } from "./errors.ts";

const SIGNATURE_CHARACTERS = 32;
const MAXIMUM_TOKEN_CHARACTERS = 2_048;

const _positionSchema = z.strictObject({
  workspace: z.string(),
  backendServer: z.string(),
  stream: z.string(),
  /** Number of tokens that the caller has already received. */
  offset: z.number().int().min(0),
  model: z.string(),
});

/** The position of a stream after an event. */
export type StreamPosition = z.infer<typeof _positionSchema>;

function _sign(payload: string, fleetKey: string): string {
  return createHmac("sha256", fleetKey).update(`resume\0${payload}`).digest(
    "base64url",
  )
    .slice(0, SIGNATURE_CHARACTERS);
}

/** Encodes and signs a position. */
export function createResumeToken(
  position: StreamPosition,
  fleetKey: string,
): string {
  const payload = Buffer.from(JSON.stringify(position)).toString("base64url");
  return `${payload}.${_sign(payload, fleetKey)}`;
}

function _safeDecodeJson(payload: string): unknown {
  try {
    return JSON.parse(Buffer.from(payload, "base64url").toString("utf8"));
  } catch {
    return undefined;
  }
}

function _invalid(detail: string): Result<never, ApplicationError> {
  return err(createError("token_invalid", detail, ["last-event-id"]));
}

/** Verifies a token of a workspace, or returns a `token_invalid` error. */
export function safeParseResumeToken(
  token: string,
  workspace: string,
  fleetKey: string,
): Result<StreamPosition, ApplicationError> {
  if (token.length > MAXIMUM_TOKEN_CHARACTERS) return _invalid("too long");
  const [payload = "", signature = ""] = token.split(".");
  const expected = Buffer.from(_sign(payload, fleetKey));
  const given = Buffer.from(signature);
  if (expected.length !== given.length || !timingSafeEqual(expected, given)) {
    return _invalid("the signature does not match");
  }
  const position = _positionSchema.safeParse(_safeDecodeJson(payload));
  if (!position.success) return _invalid("the position is malformed");
  if (position.data.workspace !== workspace) {
    return _invalid("the token belongs to another workspace");
  }
  return ok(position.data);
}
