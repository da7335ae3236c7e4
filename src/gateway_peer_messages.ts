/**
 * The encoding of messages between gateways. Reports are compact arrays with hashed server ids,
 * because every router sends them to every other several times a second.
 */
import { z } from "zod";
import type { InFlightCount } from "./core/load_control/fleet_load.ts";
import {
  type BackendServerId,
  brandId,
  type DataCentreId,
  type HostId,
  type SocketAddress,
} from "./core/ids.ts";
import { listSchema, numberListSchema } from "./core/list_schema.ts";
import type { PartEntry } from "./core/prompt_directory.ts";
import { hash32 } from "./core/hash32.ts";
import type { OutcomeCount } from "./core/server_outcomes.ts";
import type {
  GatewayReport,
  ReportedEvidence,
  ReportSummary,
  RouterListing,
} from "./gateway_report.ts";

const _address = z.string().min(1).max(64).transform((text) =>
  brandId<SocketAddress>(text)
);
const _number = z.number();
/** Routers that one message may name. */
const MAXIMUM_ROUTERS = 10_000;
const _text = z.string().min(1).max(256);
/** Fractions and capacities are encoded as integer hundredths. */
const HUNDREDTHS = 100;
const SERVING_FLAG = 1;
const WATCHING_FLAG = 2;
const NEEDS_SUMMARY_FLAG = 4;
const DATA_CENTRE_SCOPE = 0;
const FLEET_SCOPE = 1;
/** Distinguishes the key of a server's prompt tokens from its hash. */
const PROMPT_TOKENS_MASK = 0x5bd1e995;
/** Stands for a crash in evidence of a completed request. */
const NO_CRASH = -1;
const _packedListing = z.tuple([
  _address,
  _text,
  _text,
  _address,
  _number,
  _number,
  _number,
  _number,
]);
const _packedSummary = z.tuple([
  _number,
  _number,
  _number,
  numberListSchema,
  numberListSchema,
  listSchema(_packedListing, MAXIMUM_ROUTERS),
]);
const _packedReport = z.tuple([
  _address,
  _number,
  _number,
  _number,
  _number,
  _number,
  _number,
  numberListSchema,
  numberListSchema,
  numberListSchema,
  _packedSummary.nullable(),
  // Left out while empty, as routers of earlier releases expect.
  numberListSchema.optional(),
  numberListSchema.optional(),
]);

/** A report in its encoded form. */
export type PackedReport = z.infer<typeof _packedReport>;

/** Schema for the router addresses that the sender knows. */
export const gatewayPeersSchema = z.object({
  addresses: listSchema(_address, MAXIMUM_ROUTERS),
});

function _toHundredths(value: number): number {
  return Math.round(value * HUNDREDTHS);
}

/**
 * Rounds a host's capacity as reports carry it. Routers rank each other by it, and
 * one that ranked itself by the exact value would disagree with the others.
 */
export function roundCapacity(capacity: number): number {
  return _toHundredths(capacity) / HUNDREDTHS;
}

function _packFlags(
  { isServing, isWatching }: Pick<GatewayReport, "isServing" | "isWatching">,
): number {
  return (isServing ? SERVING_FLAG : 0) | (isWatching ? WATCHING_FLAG : 0);
}

/**
 * Prompt tokens travel in the list of loads under a key of their own, which routers
 * of earlier releases skip like the hash of a server that they do not know.
 */
function _promptTokensKey(serverHash: number): number {
  return (serverHash ^ PROMPT_TOKENS_MASK) >>> 0;
}

function _packLoads(loads: readonly InFlightCount[]): number[] {
  return loads.flatMap(({ server, inFlight, promptTokens }) => {
    const hash = hash32(server);
    return promptTokens === undefined
      ? [hash, inFlight]
      : [hash, inFlight, _promptTokensKey(hash), promptTokens];
  });
}

function _packOutcomes(outcomes: readonly OutcomeCount[]): number[] {
  return outcomes.flatMap(({ server, requests, failures }) => [
    hash32(server),
    requests,
    failures,
  ]);
}

function _packListing(
  listing: RouterListing,
): z.infer<typeof _packedListing> {
  return [
    listing.address,
    listing.host,
    listing.dataCentre,
    listing.callerAddress,
    _packFlags(listing),
    _toHundredths(listing.busyShare),
    _toHundredths(listing.capacity),
    Math.round(listing.ageMilliseconds),
  ];
}

function _packSummary(
  summary: ReportSummary,
): z.infer<typeof _packedSummary> {
  return [
    summary.scope === "fleet" ? FLEET_SCOPE : DATA_CENTRE_SCOPE,
    summary.routers,
    Math.round(summary.ageMilliseconds),
    _packLoads(summary.loads),
    _packOutcomes(summary.outcomes),
    summary.listings.map(_packListing),
  ];
}

function _packEvidence(evidence: readonly ReportedEvidence[]): number[] {
  return evidence.flatMap(({ part, crash, ageMilliseconds }) => [
    part,
    crash ?? NO_CRASH,
    Math.round(ageMilliseconds),
  ]);
}

/** Encodes a report. */
export function packReport(report: GatewayReport): PackedReport {
  const summaryFlag = report.needsSummary ? NEEDS_SUMMARY_FLAG : 0;
  const packed = [
    report.callerAddress,
    _packFlags(report) | summaryFlag,
    _toHundredths(report.busyShare),
    _toHundredths(report.capacity),
    report.configurationVersion,
    report.registryRevision,
    report.registryDigest,
    _packLoads(report.loads),
    _packOutcomes(report.outcomes),
    report.readings.flatMap(({ part, server }) => [part, hash32(server)]),
    report.summary ? _packSummary(report.summary) : null,
  ] as const satisfies PackedReport;
  const { evidence, leaving } = report;
  if (evidence.length === 0 && leaving.length === 0) return [...packed];
  return [...packed, _packEvidence(evidence), [...leaving]];
}

/** Server ids by their hash. */
export type ServerIdsByHash = ReadonlyMap<number, BackendServerId>;

/** Indexes server ids by their hash. */
export function indexServerIds(
  servers: Iterable<BackendServerId>,
): ServerIdsByHash {
  return new Map([...servers].map((server) => [hash32(server), server]));
}

function _unpackLoads(
  packed: readonly number[],
  serverIds: ServerIdsByHash,
): InFlightCount[] {
  const loads = new Map<BackendServerId, InFlightCount>();
  for (let index = 0; index + 1 < packed.length; index += 2) {
    const key = packed[index] as number;
    const count = packed[index + 1] as number;
    const server = serverIds.get(key);
    if (server) {
      loads.set(server, { server, inFlight: count });
      continue;
    }
    // The tokens follow the requests of the same server.
    const tokenServer = serverIds.get(_promptTokensKey(key));
    const load = tokenServer && loads.get(tokenServer);
    if (load) loads.set(load.server, { ...load, promptTokens: count });
  }
  return [...loads.values()];
}

function _unpackOutcomes(
  packed: readonly number[],
  serverIds: ServerIdsByHash,
): OutcomeCount[] {
  const outcomes: OutcomeCount[] = [];
  for (let index = 0; index + 2 < packed.length; index += 3) {
    const server = serverIds.get(packed[index] as number);
    if (!server) continue;
    outcomes.push({
      server,
      requests: packed[index + 1] as number,
      failures: packed[index + 2] as number,
    });
  }
  return outcomes;
}

function _unpackReadings(
  packed: readonly number[],
  serverIds: ServerIdsByHash,
): PartEntry[] {
  const readings: PartEntry[] = [];
  for (let index = 0; index + 1 < packed.length; index += 2) {
    const server = serverIds.get(packed[index + 1] as number);
    if (server) readings.push({ part: packed[index] as number, server });
  }
  return readings;
}

function _unpackEvidence(packed: readonly number[]): ReportedEvidence[] {
  const evidence: ReportedEvidence[] = [];
  for (let index = 0; index + 2 < packed.length; index += 3) {
    const crash = packed[index + 1] as number;
    evidence.push({
      part: packed[index] as number,
      crash: crash === NO_CRASH ? undefined : crash,
      ageMilliseconds: packed[index + 2] as number,
    });
  }
  return evidence;
}

function _unpackListing(
  packed: z.infer<typeof _packedListing>,
): RouterListing {
  const [address, host, dataCentre, callerAddress, flags] = packed;
  return {
    address,
    host: brandId<HostId>(host),
    dataCentre: brandId<DataCentreId>(dataCentre),
    callerAddress,
    ..._unpackFlags(flags),
    busyShare: packed[5] / HUNDREDTHS,
    capacity: packed[6] / HUNDREDTHS,
    ageMilliseconds: packed[7],
  };
}

function _unpackFlags(flags: number) {
  return {
    isServing: (flags & SERVING_FLAG) !== 0,
    isWatching: (flags & WATCHING_FLAG) !== 0,
  };
}

function _unpackSummary(
  packed: z.infer<typeof _packedSummary>,
  serverIds: ServerIdsByHash,
): ReportSummary {
  const [scope, routers, ageMilliseconds, loads, outcomes, listings] = packed;
  return {
    scope: scope === FLEET_SCOPE ? "fleet" : "data_centre",
    routers,
    ageMilliseconds,
    loads: _unpackLoads(loads, serverIds),
    outcomes: _unpackOutcomes(outcomes, serverIds),
    listings: listings.map(_unpackListing),
  };
}

/**
 * Decodes a report without servers missing from the index; undefined if it is
 * malformed.
 */
export function safeUnpackReport(
  body: unknown,
  serverIds: ServerIdsByHash,
): GatewayReport | undefined {
  const packed = _packedReport.safeParse(body);
  if (!packed.success) return undefined;
  const [callerAddress, flags, busy, capacity, version, revision, digest] =
    packed.data;
  const summary = packed.data[10];
  return {
    callerAddress,
    ..._unpackFlags(flags),
    busyShare: busy / HUNDREDTHS,
    capacity: capacity / HUNDREDTHS,
    configurationVersion: version,
    registryRevision: revision,
    registryDigest: digest,
    loads: _unpackLoads(packed.data[7], serverIds),
    outcomes: _unpackOutcomes(packed.data[8], serverIds),
    readings: _unpackReadings(packed.data[9], serverIds),
    evidence: _unpackEvidence(packed.data[11] ?? []),
    leaving: packed.data[12] ?? [],
    needsSummary: (flags & NEEDS_SUMMARY_FLAG) !== 0,
    summary: summary ? _unpackSummary(summary, serverIds) : undefined,
  };
}
