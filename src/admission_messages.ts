/** Message bodies between entry routers, owners and load aggregators. */
import { z } from "zod";
import type { HeldGrant } from "./core/admission.ts";
import { PRIORITIES, type Priority } from "./core/fleet_schema.ts";
import type {
  BackendServerId,
  DataCentreId,
  IncarnationId,
  WorkspaceId,
} from "./core/ids.ts";
import type { SlotRefusal, SlotRefusalReason } from "./core/server_owner.ts";

const REFUSAL_REASONS = [
  "leaving",
  "load_unknown",
  "above_capacity",
  "above_bound",
  "queue_busy",
  "queue_full",
  "deadline_exceeded",
  "cancelled",
  "not_steward",
  "steward_unreachable",
] as const satisfies readonly SlotRefusalReason[];

function _idSchema<Id extends string>() {
  return z.string().min(1).max(256).transform((text) => text as Id);
}

const _amount = z.number().nonnegative();
const _positive = z.number().positive();
const _count = z.number().int().nonnegative();

/**
 * A grant id in a message: the sender's sequence number for a grant of its own,
 * or the complete id for a grant of another router.
 */
const _grantId = z.union([_count, z.string().min(1).max(256)]);
type _EncodedGrantId = z.infer<typeof _grantId>;

/** The id of a grant, from an incarnation and its sequence number. */
export function grantIdOf(
  incarnation: IncarnationId,
  sequence: number,
): string {
  return `${incarnation}/${sequence.toString(36)}`;
}

/** Encodes an id; the sequence number is enough for a sender's own grant. */
export function encodeGrantId(
  grantId: string,
  self: IncarnationId,
): _EncodedGrantId {
  const prefix = `${self}/`;
  if (!grantId.startsWith(prefix)) return grantId;
  return Number.parseInt(grantId.slice(prefix.length), 36);
}

/** The complete id of a grant in a message from a peer. */
export function decodeGrantId(
  grant: _EncodedGrantId,
  from: IncarnationId,
): string {
  return typeof grant === "number" ? grantIdOf(from, grant) : grant;
}

/**
 * Body of `admission.request`: server, grant, workspace, priority, weight in
 * tokens, remaining milliseconds, and 1 if the request may wait in the queue.
 * A tuple saves the field names, as each chat request causes several of these.
 */
export const slotRequestSchema = z.tuple([
  _idSchema<BackendServerId>(),
  _grantId,
  _idSchema<WorkspaceId>(),
  _count.max(PRIORITIES.length - 1),
  _positive,
  _amount,
  z.union([z.literal(0), z.literal(1)]),
]);
export type SlotRequestBody = z.input<typeof slotRequestSchema>;

/** The decoded fields of an `admission.request`. */
export interface SlotRequestFields {
  readonly server: BackendServerId;
  readonly grantId: string;
  readonly workspace: WorkspaceId;
  readonly priority: Priority;
  readonly weight: number;
  /** Milliseconds until the deadline; clocks differ between routers. */
  readonly remaining: number;
  readonly queue: boolean;
}

/** Encodes a request for a slot. */
export function encodeSlotRequest(
  request: SlotRequestFields,
  self: IncarnationId,
): SlotRequestBody {
  const { server, grantId, workspace, priority, weight, remaining, queue } =
    request;
  return [
    server,
    encodeGrantId(grantId, self),
    workspace,
    PRIORITIES.indexOf(priority),
    Math.ceil(weight),
    Math.round(remaining),
    queue ? 1 : 0,
  ];
}

/** Decodes a request for a slot; throws if it is malformed. */
export function parseSlotRequest(
  body: unknown,
  from: IncarnationId,
): SlotRequestFields {
  const [server, grant, workspace, priority, weight, remaining, queue] =
    slotRequestSchema.parse(body);
  return {
    server,
    grantId: decodeGrantId(grant, from),
    workspace,
    priority: PRIORITIES[priority] as Priority,
    weight,
    remaining,
    queue: queue === 1,
  };
}

/**
 * Reply to `admission.request`: empty if granted, otherwise the index of the
 * reason, load and mean load in tokens, and expected wait in milliseconds.
 */
export const slotReplySchema = z.union([
  z.tuple([]),
  z.tuple([
    _count.max(REFUSAL_REASONS.length - 1),
    _amount,
    _amount,
    _amount,
  ]),
]);
export type SlotReplyBody = z.infer<typeof slotReplySchema>;

/** Encodes the reply to a request for a slot. */
export function slotReplyOf(refusal: SlotRefusal | undefined): SlotReplyBody {
  if (!refusal) return [];
  return [
    REFUSAL_REASONS.indexOf(refusal.reason),
    refusal.loadTokens,
    refusal.meanTokens,
    refusal.expectedWaitMilliseconds,
  ];
}

/** Decodes the refusal in a reply; undefined if the slot was granted. */
export function refusalOf(reply: SlotReplyBody): SlotRefusal | undefined {
  if (reply.length === 0) return undefined;
  const [reason, loadTokens, meanTokens, expectedWaitMilliseconds] = reply;
  return {
    reason: REFUSAL_REASONS[reason] as SlotRefusalReason,
    loadTokens,
    meanTokens,
    expectedWaitMilliseconds,
  };
}

/** Body of `admission.release` and `admission.cancel`: server and grant. */
export const grantReferenceSchema = z.tuple([
  _idSchema<BackendServerId>(),
  _grantId,
]);
export type GrantReferenceBody = z.input<typeof grantReferenceSchema>;

const _grants = z.array(z.tuple([
  _idSchema<BackendServerId>(),
  z.string().min(1).max(256),
  _idSchema<WorkspaceId>(),
  _positive,
  _amount,
]));

/**
 * Body of `admission.renew`: the grants that a router holds, as server, grant,
 * workspace, weight and time held; or the servers that a new owner takes over.
 */
export const renewSchema = z.union([
  z.object({ grants: _grants }),
  z.object({ takeOver: z.array(_idSchema<BackendServerId>()) }),
]);
export type RenewBody = z.input<typeof renewSchema>;

/** Reply to a renewal: servers that the receiver does not own. */
export const renewReplySchema = z.object({
  rejected: z.array(_idSchema<BackendServerId>()),
});
export type RenewReplyBody = z.input<typeof renewReplySchema>;

/** Reply to a takeover: the outstanding grants of the servers. */
export const takeOverReplySchema = z.object({ grants: _grants });
export type TakeOverReplyBody = z.input<typeof takeOverReplySchema>;

/** A held grant and its backend server. */
export interface ServerGrant extends HeldGrant {
  readonly backendServer: BackendServerId;
}

/** Encodes grants for a message. */
export function encodeGrants(
  grants: readonly ServerGrant[],
): z.input<typeof _grants> {
  return grants.map((grant) => [
    grant.backendServer,
    grant.grantId,
    grant.workspace,
    grant.weightTokens,
    Math.max(0, grant.heldMilliseconds),
  ]);
}

/** Decodes the grants of a message. */
export function decodeGrants(
  grants: z.output<typeof _grants>,
): ServerGrant[] {
  return grants.map((
    [backendServer, grantId, workspace, weightTokens, heldMilliseconds],
  ) => ({ backendServer, grantId, workspace, weightTokens, heldMilliseconds }));
}

const _poolTotals = z.tuple([z.string(), _amount, _amount, _amount]).readonly();
const _bytes = z.custom<Uint8Array>((value) => value instanceof Uint8Array);

/**
 * Body of `load.report`: the loads in tokens from an owner, with null for
 * servers that are not live; or the pool totals of another data centre's
 * aggregator.
 */
export const loadReportSchema = z.union([
  z.object({
    servers: z.array(
      z.tuple([_idSchema<BackendServerId>(), _amount.nullable()]),
    ),
  }),
  z.object({
    dataCentre: _idSchema<DataCentreId>(),
    pools: z.array(_poolTotals).readonly(),
    loads: _bytes.optional(),
  }),
]);
export type LoadReportBody = z.input<typeof loadReportSchema>;

/** Body of `load.summary`, which an aggregator sends down its tree. */
export const loadSummarySchema = z.object({
  aggregator: _idSchema<IncarnationId>(),
  sequence: _amount,
  pools: z.array(_poolTotals).readonly(),
  catalogue: z.string().optional(),
  loads: _bytes.optional(),
});
