/**
 * Bodies of membership messages and the record of a member. Records are encoded
 * as arrays to save space, because a full sync carries one per member.
 */
import { z } from "zod";
import {
  brandId,
  type DataCentreId,
  type HostId,
  type IncarnationId,
  type SocketAddress,
} from "./ids.ts";

/** Member states; at equal incarnation and refutation, later states win. */
export const MEMBER_STATES = ["alive", "suspect", "dead", "left"] as const;
/** State that a claim asserts about a member. */
export type MemberState = typeof MEMBER_STATES[number];

/** A claim about one member. Records are immutable and replaced as a whole. */
export interface MemberRecord {
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  readonly address: SocketAddress;
  readonly callerAddress: SocketAddress;
  readonly incarnation: IncarnationId;
  /** Wall-clock start time in milliseconds; orders a host's incarnations. */
  readonly started: number;
  /** Counter that only the member itself raises, to override claims about it. */
  readonly refutation: number;
  readonly state: MemberState;
  readonly leaving: boolean;
  /** Local monotonic time at which the state was entered. */
  readonly since: number;
}

const MAXIMUM_RECORDS = 16_384;
const LEAVING_FLAG = 4;

const _recordSchema = z.tuple([
  z.string().min(1).max(253),
  z.string().min(1).max(253),
  z.string().max(64),
  z.string().max(64),
  z.string().min(1).max(64),
  z.number().nonnegative(),
  z.number().nonnegative(),
  z.number().int().min(0).max(LEAVING_FLAG + MEMBER_STATES.length - 1),
  z.number().nonnegative(),
]);
const _recordsSchema = z.array(_recordSchema).max(MAXIMUM_RECORDS);
/** A record as encoded in messages; the last field is the age of its state. */
export type WireRecord = z.infer<typeof _recordSchema>;

/**
 * A probe (`q`: probe number; `r`: claim about the receiver) or the reply to it
 * (`a`: probe number).
 */
export const probeSchema = z.strictObject({
  q: z.number().optional(),
  a: z.number().optional(),
  /** Digest of the sender's view. */
  d: z.number(),
  r: _recordsSchema.optional(),
});
/** A request to probe a member (`q`) or the notice that it replied (`a`). */
export const indirectProbeSchema = z.strictObject({
  q: z.number().optional(),
  a: z.number().optional(),
  /** Host, incarnation and address of the member to probe. */
  t: z.tuple([z.string(), z.string(), z.string()]).optional(),
});
/** A push of records that changed or that the receiver lacks. */
export const updatesSchema = z.strictObject({ u: _recordsSchema });
/** A sync with bucket digests; `p` is 0 in a request and 1 in a response. */
export const syncSchema = z.strictObject({
  p: z.union([z.literal(0), z.literal(1)]),
  b: z.array(z.number()).max(1_024),
  u: _recordsSchema,
});

/** Kinds of membership messages. */
export type MembershipMessageKind =
  | "membership.probe"
  | "membership.probe_indirect"
  | "membership.updates"
  | "membership.sync";

/** A one-way message; its sender awaits no response. */
export interface MembershipMessage {
  readonly to: SocketAddress;
  readonly kind: MembershipMessageKind;
  readonly body: unknown;
}

/** Encodes a record, replacing `since` by the age of the state at `now`. */
export function packRecord(record: MemberRecord, now: number): WireRecord {
  const { host, dataCentre, address, callerAddress, incarnation } = record;
  const flags = MEMBER_STATES.indexOf(record.state) +
    (record.leaving ? LEAVING_FLAG : 0);
  const age = Math.max(0, Math.round(now - record.since));
  return [
    host,
    dataCentre,
    address,
    callerAddress,
    incarnation,
    record.started,
    record.refutation,
    flags,
    record.state === "dead" || record.state === "left" ? age : 0,
  ];
}

/** Decodes a record that was validated against the schema. */
export function unpackRecord(wire: WireRecord, now: number): MemberRecord {
  return {
    host: brandId<HostId>(wire[0]),
    dataCentre: brandId<DataCentreId>(wire[1]),
    address: brandId<SocketAddress>(wire[2]),
    callerAddress: brandId<SocketAddress>(wire[3]),
    incarnation: brandId<IncarnationId>(wire[4]),
    started: wire[5],
    refutation: wire[6],
    state: MEMBER_STATES[wire[7] % LEAVING_FLAG] as MemberState,
    leaving: wire[7] >= LEAVING_FLAG,
    since: now - wire[8],
  };
}
