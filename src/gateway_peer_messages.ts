/**
 * Messages between gateways. Reports travel as arrays with hashed server ids,
 * because every router sends them to every other several times a second.
 */
import { z } from "zod";
import type { ServerLoad } from "./core/fleet_load.ts";
import {
  type BackendServerId,
  brandId,
  type SocketAddress,
} from "./core/ids.ts";
import type { PartReading } from "./core/prompt_directory.ts";
import { hash32 } from "./core/rendezvous.ts";
import type { OutcomeCount } from "./core/server_outcomes.ts";

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
  readonly configurationVersion: number;
  readonly registryRevision: number;
  readonly registryDigest: number;
  readonly loads: readonly ServerLoad[];
  readonly outcomes: readonly OutcomeCount[];
  /** Parts of prompts that were read at a further server. */
  readonly readings: readonly PartReading[];
}

const _address = z.string().min(1).max(64).transform((text) =>
  brandId<SocketAddress>(text)
);
const _number = z.number();
const SERVING_FLAG = 1;
const WATCHING_FLAG = 2;
const _packedReport = z.tuple([
  _address,
  _number,
  _number,
  _number,
  _number,
  _number,
  z.array(_number),
  z.array(_number),
  z.array(_number),
]);

/** A report as it travels. */
export type PackedReport = z.infer<typeof _packedReport>;

/** Addresses of routers that the sender knows. */
export const gatewayPeersSchema = z.object({ addresses: z.array(_address) });

/** Packs a report for the wire. */
export function packReport(report: GatewayReport): PackedReport {
  return [
    report.callerAddress,
    (report.isServing ? SERVING_FLAG : 0) |
    (report.isWatching ? WATCHING_FLAG : 0),
    Math.round(report.busyShare * 100),
    report.configurationVersion,
    report.registryRevision,
    report.registryDigest,
    report.loads.flatMap(({ server, inFlight }) => [hash32(server), inFlight]),
    report.outcomes.flatMap(({ server, requests, failures }) => [
      hash32(server),
      requests,
      failures,
    ]),
    report.readings.flatMap(({ part, server }) => [part, hash32(server)]),
  ];
}

/** Maps hashes of server ids back to ids. */
export type ServerNames = ReadonlyMap<number, BackendServerId>;

/** Returns the map from hash to id of the given servers. */
export function nameServers(servers: Iterable<BackendServerId>): ServerNames {
  return new Map([...servers].map((server) => [hash32(server), server]));
}

function _unpackLoads(
  packed: readonly number[],
  names: ServerNames,
): ServerLoad[] {
  const loads: ServerLoad[] = [];
  for (let index = 0; index + 1 < packed.length; index += 2) {
    const server = names.get(packed[index] as number);
    if (!server) continue;
    loads.push({ server, inFlight: packed[index + 1] as number });
  }
  return loads;
}

function _unpackOutcomes(
  packed: readonly number[],
  names: ServerNames,
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
  names: ServerNames,
): PartReading[] {
  const readings: PartReading[] = [];
  for (let index = 0; index + 1 < packed.length; index += 2) {
    const server = names.get(packed[index + 1] as number);
    if (server) readings.push({ part: packed[index] as number, server });
  }
  return readings;
}

/** Reads a packed report; servers that are not known here are left out. */
export function safeUnpackReport(
  body: unknown,
  names: ServerNames,
): GatewayReport | undefined {
  const packed = _packedReport.safeParse(body);
  if (!packed.success) return undefined;
  const [callerAddress, flags, busy, version, revision, digest] = packed.data;
  return {
    callerAddress,
    isServing: (flags & SERVING_FLAG) !== 0,
    isWatching: (flags & WATCHING_FLAG) !== 0,
    busyShare: busy / 100,
    configurationVersion: version,
    registryRevision: revision,
    registryDigest: digest,
    loads: _unpackLoads(packed.data[6], names),
    outcomes: _unpackOutcomes(packed.data[7], names),
    readings: _unpackReadings(packed.data[8], names),
  };
}
