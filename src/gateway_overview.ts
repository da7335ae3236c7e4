/** An overview of gateways for operators, read from their state dumps. */
import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import { z } from "zod";
import { CommandFailure, UsageError } from "./command_failure.ts";
import { createError } from "./core/errors.ts";
import { safeParseWith } from "./core/schema_result.ts";

/** A gateway that is busy or overloaded answers later than others. */
const TIMEOUT_MILLISECONDS = 5_000;
const PERCENT = 100;

const _dump = z.object({
  host: z.string(),
  /** Gateways of earlier versions do not state it. */
  dataCentre: z.string().optional(),
  isServing: z.boolean(),
  isStopping: z.boolean(),
  busyShare: z.number(),
  state: z.object({ configurationVersion: z.number() }),
  evacuated: z.array(z.string()),
  cold: z.array(z.object({
    server: z.string(),
    phase: z.string(),
    cause: z.string(),
  })),
  waiting: z.array(z.object({
    service: z.string(),
    lengths: z.record(z.string(), z.number()),
  })),
});

/** What operators see of one gateway. */
export interface GatewayOverview {
  readonly address: string;
  readonly host: string;
  readonly dataCentre: string | undefined;
  readonly isServing: boolean;
  readonly isStopping: boolean;
  readonly configurationVersion: number;
  readonly evacuated: readonly string[];
  readonly cold: readonly {
    readonly server: string;
    readonly phase: string;
    readonly cause: string;
  }[];
  /** Number of waiting requests by service, of all priorities. */
  readonly waiting: Readonly<Record<string, number>>;
  /** Fraction of its capacity that the gateway uses, between 0 and 1. */
  readonly utilization: number;
}

/** A gateway that was asked, with its overview or why there is none. */
export interface QueriedGateway {
  readonly address: string;
  readonly overview: Result<GatewayOverview, string>;
}

async function _fetchDump(address: string): Promise<Result<unknown, string>> {
  try {
    const { statusCode, body } = await request(`http://${address}/state`, {
      signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
    });
    if (statusCode !== 200) {
      await body.dump();
      return err(`status ${statusCode}`);
    }
    return ok(await body.json());
  } catch (cause) {
    return err((cause as Error).message);
  }
}

function _toOverview(
  address: string,
  dump: z.infer<typeof _dump>,
): GatewayOverview {
  const waiting = dump.waiting.map(({ service, lengths }) => {
    const counts = Object.values(lengths);
    return [service, counts.reduce((sum, count) => sum + count, 0)] as const;
  });
  return {
    address,
    host: dump.host,
    dataCentre: dump.dataCentre,
    isServing: dump.isServing,
    isStopping: dump.isStopping,
    configurationVersion: dump.state.configurationVersion,
    evacuated: dump.evacuated,
    cold: dump.cold,
    waiting: Object.fromEntries(waiting.filter(([, count]) => count > 0)),
    utilization: dump.busyShare,
  };
}

/** Reads the overviews of gateways at once, in the order of their addresses. */
export async function queryGateways(
  addresses: readonly string[],
): Promise<QueriedGateway[]> {
  return await Promise.all(addresses.map(async (address) => {
    const dump = await _fetchDump(address);
    const overview = dump.andThen((value) => safeParseWith(_dump, value))
      .map((valid) => _toOverview(address, valid));
    return { address, overview };
  }));
}

function _describeState({ isServing, isStopping }: GatewayOverview): string {
  if (isStopping) return "stopping";
  return isServing ? "serving" : "not serving";
}

function _toText({ address, overview }: QueriedGateway): string {
  if (overview.isErr()) return `${address}  no state: ${overview.error}`;
  const gateway = overview.value;
  const { host, dataCentre, configurationVersion, utilization } = gateway;
  const lists = {
    evacuated: gateway.evacuated,
    cold: gateway.cold.map(({ server, phase, cause }) =>
      `${server} (${phase}, ${cause})`
    ),
    waiting: Object.entries(gateway.waiting).map(([service, count]) =>
      `${service} ${count}`
    ),
  };
  return [
    host,
    dataCentre ?? "unknown",
    address,
    _describeState(gateway),
    `configuration ${configurationVersion}`,
    `utilization ${Math.round(utilization * PERCENT)}%`,
    ...Object.entries(lists).map(([name, items]) =>
      `${name}: ${items.join(", ") || "none"}`
    ),
  ].join("  ");
}

function _toJson({ address, overview }: QueriedGateway): unknown {
  if (overview.isErr()) return { address, error: overview.error };
  const { host, dataCentre, configurationVersion, ...rest } = overview.value;
  return {
    host,
    data_centre: dataCentre ?? null,
    address,
    is_serving: rest.isServing,
    is_stopping: rest.isStopping,
    configuration_version: configurationVersion,
    evacuated: rest.evacuated,
    cold: rest.cold,
    waiting: rest.waiting,
    utilization: rest.utilization,
  };
}

/**
 * Reads the gateways at status addresses separated by commas. Returns what the command
 * prints, as a JSON value and as text; fails if none of them states anything.
 */
export async function describeGateways(
  gateways: string,
): Promise<readonly [value: unknown, text: string]> {
  const addresses = gateways.split(",").map((address) => address.trim())
    .filter((address) => address !== "");
  const invalid = addresses.find((address) => !/^[^\s/@]+:\d+$/.test(address));
  if (addresses.length === 0 || invalid !== undefined) {
    throw new UsageError(
      `--gateways needs status addresses HOST:PORT, not ${invalid ?? "none"}`,
    );
  }
  const queried = await queryGateways(addresses);
  if (queried.every(({ overview }) => overview.isErr())) {
    throw new CommandFailure(queried.map(({ address, overview }) =>
      createError(
        "peer_unreachable",
        overview.isErr() ? overview.error : "",
        [address],
      )
    ));
  }
  return [
    { gateways: queried.map(_toJson) },
    queried.map(_toText).join("\n"),
  ];
}
