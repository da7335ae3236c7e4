/**
 * Messages between gateways. Reports travel as arrays with hashed server ids,
 * because every router sends them to every other several times a second.
 */
import { z } from "zod";
import type { InFlightCount } from "./core/fleet_load.ts";
import {
  type BackendServerId,
  brandId,
  type DataCentreId,
  type HostId,
  type SocketAddress,
} from "./core/ids.ts";
import type { PartEntry } from "./core/prompt_directory.ts";
import { hash32 } from "./core/rendezvous.ts";
import type { ServerCounts } from "./core/report_sums.ts";
import type { OutcomeCount } from "./core/server_outcomes.ts";

/** What a collector says of a router. */
export interface RouterListing {
  readonly address: SocketAddress;
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  readonly callerAddress: SocketAddress;
  readonly isServing: boolean;
  readonly isWatching: boolean;
  /** Share of its time that the router was busy, 0 to 1. */
  readonly busyShare: number;
  /** Relative strength of its host. */
  readonly capacity: number;
  /** Time since the router was heard, in milliseconds. */
  readonly ageMilliseconds: number;
}

/** Which routers a summary covers. */
export type SummaryScope = "data_centre" | "fleet";

/** What a collector sums up for others, the receiver included. */
export interface ReportSummary extends ServerCounts {
  readonly scope: SummaryScope;
  /** Routers whose counts are in the sums. */
  readonly routers: number;
  /** Time since the sums were made; a sum that is passed on keeps its age. */
  readonly ageMilliseconds: number;
  /** Empty if nothing is to be said about routers this time. */
  readonly listings: readonly RouterListing[];
}

/** What a router tells all others. */
export interface GatewayReport {
  /** Where callers connect to this router. */
  readonly callerAddress: SocketAddress;
  /** Whether callers may be sent to this router. */
  readonly isServing: boolean;
  /** Whether this router follows the registry in the store and tells others. */
  readonly isWatching: boolean;
  /** Share of its time that the router was busy, 0 to 1. */
  readonly busyShare: number;
  /** Relative strength of its host. */
  readonly capacity: number;
  readonly configurationVersion: number;
  readonly registryRevision: number;
  readonly registryDigest: number;
  readonly loads: readonly InFlightCount[];
  readonly outcomes: readonly OutcomeCount[];
  /** Parts of prompts that were read at a further server. */
  readonly readings: readonly PartEntry[];
  /** Whether the router misses the sum of the fleet, so everybody should answer. */
  readonly needsSummary: boolean;
  /** Present in reports of collectors. */
  readonly summary: ReportSummary | undefined;
}

const _address = z.string().min(1).max(64).transform((text) =>
  brandId<SocketAddress>(text)
);
const _number = z.number();
const _text = z.string().min(1).max(256);
/** Shares and capacities travel as whole hundredths. */
const HUNDREDTHS = 100;
const SERVING_FLAG = 1;
const WATCHING_FLAG = 2;
const NEEDS_SUMMARY_FLAG = 4;
const DATA_CENTRE_SCOPE = 0;
const FLEET_SCOPE = 1;
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
  z.array(_number),
  z.array(_number),
  z.array(_packedListing),
]);
const _packedReport = z.tuple([
  _address,
  _number,
  _number,
  _number,
  _number,
  _number,
  _number,
  z.array(_number),
  z.array(_number),
  z.array(_number),
  _packedSummary.nullable(),
]);

/** A report as it travels. */
export type PackedReport = z.infer<typeof _packedReport>;

/** Addresses of routers that the sender knows. */
export const gatewayPeersSchema = z.object({ addresses: z.array(_address) });

function _packFlags(
  { isServing, isWatching }: Pick<GatewayReport, "isServing" | "isWatching">,
): number {
  return (isServing ? SERVING_FLAG : 0) | (isWatching ? WATCHING_FLAG : 0);
}

function _packLoads(loads: readonly InFlightCount[]): number[] {
  return loads.flatMap(({ server, inFlight }) => [hash32(server), inFlight]);
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
    Math.round(listing.busyShare * HUNDREDTHS),
    Math.round(listing.capacity * HUNDREDTHS),
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

/** Packs a report for the wire. */
export function packReport(report: GatewayReport): PackedReport {
  const needs = report.needsSummary ? NEEDS_SUMMARY_FLAG : 0;
  return [
    report.callerAddress,
    _packFlags(report) | needs,
    Math.round(report.busyShare * HUNDREDTHS),
    Math.round(report.capacity * HUNDREDTHS),
    report.configurationVersion,
    report.registryRevision,
    report.registryDigest,
    _packLoads(report.loads),
    _packOutcomes(report.outcomes),
    report.readings.flatMap(({ part, server }) => [part, hash32(server)]),
    report.summary ? _packSummary(report.summary) : null,
  ];
}

/** Maps hashes of server ids back to ids. */
export type ServerIdsByHash = ReadonlyMap<number, BackendServerId>;

/** Returns the map from hash to id of the given servers. */
export function indexServerIds(
  servers: Iterable<BackendServerId>,
): ServerIdsByHash {
  return new Map([...servers].map((server) => [hash32(server), server]));
}

function _unpackLoads(
  packed: readonly number[],
  names: ServerIdsByHash,
): InFlightCount[] {
  const loads: InFlightCount[] = [];
  for (let index = 0; index + 1 < packed.length; index += 2) {
    const server = names.get(packed[index] as number);
    if (!server) continue;
    loads.push({ server, inFlight: packed[index + 1] as number });
  }
  return loads;
}

function _unpackOutcomes(
  packed: readonly number[],
  names: ServerIdsByHash,
): OutcomeCount[] {
  const outcomes: OutcomeCount[] = [];
  for (let index = 0; index + 2 < packed.length; index += 3) {
    const server = names.get(packed[index] as number);
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
  names: ServerIdsByHash,
): PartEntry[] {
  const readings: PartEntry[] = [];
  for (let index = 0; index + 1 < packed.length; index += 2) {
    const server = names.get(packed[index + 1] as number);
    if (server) readings.push({ part: packed[index] as number, server });
  }
  return readings;
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
  names: ServerIdsByHash,
): ReportSummary {
  const [scope, routers, ageMilliseconds, loads, outcomes, listings] = packed;
  return {
    scope: scope === FLEET_SCOPE ? "fleet" : "data_centre",
    routers,
    ageMilliseconds,
    loads: _unpackLoads(loads, names),
    outcomes: _unpackOutcomes(outcomes, names),
    listings: listings.map(_unpackListing),
  };
}

/** Reads a packed report; servers that are not known here are left out. */
export function safeUnpackReport(
  body: unknown,
  names: ServerIdsByHash,
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
    loads: _unpackLoads(packed.data[7], names),
    outcomes: _unpackOutcomes(packed.data[8], names),
    readings: _unpackReadings(packed.data[9], names),
    needsSummary: (flags & NEEDS_SUMMARY_FLAG) !== 0,
    summary: summary ? _unpackSummary(summary, names) : undefined,
  };
}
