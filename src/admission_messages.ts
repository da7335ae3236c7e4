/** Bodies of the messages between entry routers, stewards and aggregators. */
import { z } from "zod";
import type { HeldGrant } from "./core/admission.ts";
import { PRIORITIES } from "./core/fleet_schema.ts";
import type {
  BackendServerId,
  DataCentreId,
  IncarnationId,
  WorkspaceId,
} from "./core/ids.ts";
import type { SlotRefusal, SlotRefusalReason } from "./core/steward.ts";

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

/** Body of `admission.request`. Times are remaining milliseconds. */
export const slotRequestSchema = z.object({
  server: idText<BackendServerId>(),
  grant: z.string().min(1).max(256),
  workspace: idText<WorkspaceId>(),
  priority: z.enum(PRIORITIES),
  weight: _positive,
  remaining: _amount,
  queue: z.boolean(),
});
export type SlotRequestBody = z.input<typeof slotRequestSchema>;

/** Reply to `admission.request`: granted if there is no reason. */
export const slotReplySchema = z.object({
  reason: z.enum(REFUSAL_REASONS).optional(),
  load: _amount.optional(),
  mean: _amount.optional(),
  wait: _amount.optional(),
});
export type SlotReplyBody = z.infer<typeof slotReplySchema>;

/** The reply to a request that was granted or refused. */
export function slotReplyOf(refusal: SlotRefusal | undefined): SlotReplyBody {
  if (!refusal) return {};
  return {
    reason: refusal.reason,
    load: refusal.loadTokens,
    mean: refusal.meanTokens,
    wait: refusal.expectedWaitMilliseconds,
  };
}

/** Body of `admission.release` and `admission.cancel`. */
export const grantReferenceSchema = z.object({
  server: idText<BackendServerId>(),
  grant: z.string().min(1).max(256),
});
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
