/** Bodies of the messages between entry routers, stewards and aggregators. */
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

function idText<Id extends string>() {
  return z.string().min(1).max(256).transform((text) => text as Id);
}

const _amount = z.number().nonnegative();
const _positive = z.number().positive();
const _count = z.number().int().nonnegative();

/**
 * A grant id in a message: the number that the sender counted up for it, or the
 * whole id if another router's grant is meant.
 */
const _grant = z.union([_count, z.string().min(1).max(256)]);
type _WireGrant = z.infer<typeof _grant>;

/** The id of a grant that an incarnation counted up. */
export function grantIdOf(incarnation: IncarnationId, number: number): string {
  return `${incarnation}/${number.toString(36)}`;
}

/** Shortens an id in a message from the incarnation that created it. */
export function encodeGrantId(
  grantId: string,
  self: IncarnationId,
): _WireGrant {
  const prefix = `${self}/`;
  if (!grantId.startsWith(prefix)) return grantId;
  return Number.parseInt(grantId.slice(prefix.length), 36);
}

/** The whole id of a grant in a message from a peer. */
export function decodeGrantId(grant: _WireGrant, from: IncarnationId): string {
  return typeof grant === "number" ? grantIdOf(from, grant) : grant;
}

/**
 * Body of `admission.request`: server, grant, workspace, priority, weight in
 * tokens, remaining milliseconds, and 1 if the request may wait in the queue.
 * There are several for each chat request, so no field names travel.
 */
export const slotRequestSchema = z.tuple([
  idText<BackendServerId>(),
  _grant,
  idText<WorkspaceId>(),
  _count.max(PRIORITIES.length - 1),
  _positive,
  _amount,
  z.union([z.literal(0), z.literal(1)]),
]);
export type SlotRequestBody = z.input<typeof slotRequestSchema>;

/** The fields of an `admission.request`; the deadline is what remains of it. */
export interface SlotRequestFields {
  readonly server: BackendServerId;
  readonly grantId: string;
  readonly workspace: WorkspaceId;
  readonly priority: Priority;
  readonly weight: number;
  readonly remaining: number;
  readonly queue: boolean;
}

/** Encodes a request for a slot. */
export function encodeSlotRequest(
  question: SlotRequestFields,
  self: IncarnationId,
): SlotRequestBody {
  const { server, grantId, workspace, priority, weight, remaining, queue } =
    question;
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

/** Decodes a request for a slot; fails if it is malformed. */
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
 * Reply to `admission.request`: empty if granted, else the number of the
 * reason, and load, mean and expected wait in tokens and milliseconds.
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

/** The reply to a request that was granted or refused. */
export function slotReplyOf(refusal: SlotRefusal | undefined): SlotReplyBody {
  if (!refusal) return [];
  return [
    REFUSAL_REASONS.indexOf(refusal.reason),
    refusal.loadTokens,
    refusal.meanTokens,
    refusal.expectedWaitMilliseconds,
  ];
}

/** The refusal in a reply; undefined if the slot was granted. */
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
  idText<BackendServerId>(),
  _grant,
]);
export type GrantReferenceBody = z.input<typeof grantReferenceSchema>;

const _grants = z.array(z.tuple([
  idText<BackendServerId>(),
  z.string().min(1).max(256),
  idText<WorkspaceId>(),
  _positive,
  _amount,
]));

/**
 * Body of `admission.renew`: the grants that a router holds, as server, grant,
 * workspace, weight and time held; or the servers that a new steward takes over.
 */
export const renewSchema = z.union([
  z.object({ grants: _grants }),
  z.object({ takeOver: z.array(idText<BackendServerId>()) }),
]);
export type RenewBody = z.input<typeof renewSchema>;

/** Reply to a renewal: servers that the receiver is no steward of. */
export const renewReplySchema = z.object({
  rejected: z.array(idText<BackendServerId>()),
});
export type RenewReplyBody = z.input<typeof renewReplySchema>;

/** Reply to a takeover: the grants of the servers. */
export const takeOverReplySchema = z.object({ grants: _grants });
export type TakeOverReplyBody = z.input<typeof takeOverReplySchema>;

/** A grant as a message presents it, with its backend server. */
export interface PresentedGrant extends HeldGrant {
  readonly backendServer: BackendServerId;
}

/** Encodes grants for a message. */
export function encodeGrants(
  grants: readonly PresentedGrant[],
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
): PresentedGrant[] {
  return grants.map((
    [backendServer, grantId, workspace, weightTokens, heldMilliseconds],
  ) => ({ backendServer, grantId, workspace, weightTokens, heldMilliseconds }));
}

const _poolTotals = z.tuple([z.string(), _amount, _amount, _amount]).readonly();
const _bytes = z.custom<Uint8Array>((value) => value instanceof Uint8Array);

/**
 * Body of `load.report`: from a steward, with null for servers that are not
 * live, or from another aggregator.
 */
export const loadReportSchema = z.union([
  z.object({
    servers: z.array(
      z.tuple([idText<BackendServerId>(), _amount.nullable()]),
    ),
  }),
  z.object({
    dataCentre: idText<DataCentreId>(),
    pools: z.array(_poolTotals).readonly(),
    loads: _bytes.optional(),
  }),
]);
export type LoadReportBody = z.input<typeof loadReportSchema>;

/** Body of `load.summary`. */
export const loadSummarySchema = z.object({
  aggregator: idText<IncarnationId>(),
  sequence: _amount,
  pools: z.array(_poolTotals).readonly(),
  catalogue: z.string().optional(),
  loads: _bytes.optional(),
});
