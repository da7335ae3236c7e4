/**
 * Traffic benchmark: measures control traffic of routers under load by fleet
 * size. Includes membership, loads, admission and chat homes, but not limits,
 * configuration, deduplication or backend states. Bytes include the IP and TCP
 * headers of every message.
 */
import type {
  BenchBound,
  BenchOptions,
  BenchReport,
  BenchRow,
} from "./bench_report.ts";
import type { KindTraffic } from "../src/peer_traffic.ts";
import { createTrafficFleet } from "./traffic_fleet.ts";

const SIZES = [13, 50, 100, 200, 410];
const TARGET_SIZE = 410;
const MAXIMUM_BYTES_PER_SECOND = 24_000;
const MAXIMUM_DATA_CENTRES = 7;
const ROUTERS_PER_DATA_CENTRE = 4;
const JOIN_LIMIT_MILLISECONDS = 30_000;
const JOIN_STEP_MILLISECONDS = 500;
const WARM_UP_MILLISECONDS = 3_000;
const DEFAULT_SPAN_MILLISECONDS = 3_000;
const LARGE_SPAN_MILLISECONDS = 20_000;

type TrafficByKind = Readonly<Record<string, KindTraffic>>;

interface Rate {
  bytes: number;
  messages: number;
}

/** Returns the traffic per second of a router, by message kind. */
function ratesOf(before: TrafficByKind, after: TrafficByKind, seconds: number) {
  const rates = new Map<string, Rate>();
  for (const [kind, traffic] of Object.entries(after)) {
    const previous = before[kind];
    const bytes = traffic.bytesSent + traffic.bytesReceived -
      (previous ? previous.bytesSent + previous.bytesReceived : 0);
    const messages = traffic.messagesSent + traffic.messagesReceived -
      (previous ? previous.messagesSent + previous.messagesReceived : 0);
    rates.set(kind, { bytes: bytes / seconds, messages: messages / seconds });
  }
  return rates;
}

function sumOf(rates: ReadonlyMap<string, Rate>): Rate {
  const sum = { bytes: 0, messages: 0 };
  for (const { bytes, messages } of rates.values()) {
    sum.bytes += bytes;
    sum.messages += messages;
  }
  return sum;
}

function meanOf(all: readonly ReadonlyMap<string, Rate>[]): Map<string, Rate> {
  const mean = new Map<string, Rate>();
  for (
    const [kind, { bytes, messages }] of all.flatMap((rates) => [...rates])
  ) {
    const rate = mean.get(kind) ?? { bytes: 0, messages: 0 };
    rate.bytes += bytes / all.length;
    rate.messages += messages / all.length;
    mean.set(kind, rate);
  }
  return mean;
}

function rowsOf(
  routers: number,
  node: string,
  rates: ReadonlyMap<string, Rate>,
): BenchRow {
  const sum = sumOf(rates);
  const kinds = [...rates].map(([kind, { bytes }]) =>
    [kind, Math.round(bytes)] as const
  );
  return {
    routers,
    node,
    "bytes/s": Math.round(sum.bytes),
    "messages/s": Number(sum.messages.toFixed(1)),
    ...Object.fromEntries(
      kinds.sort(([left], [right]) => left < right ? -1 : 1),
    ),
  };
}

async function measureSize(
  routers: number,
  { seed, large }: BenchOptions,
): Promise<{ rows: BenchRow[]; busiest: number; refused: number }> {
  const span = large ? LARGE_SPAN_MILLISECONDS : DEFAULT_SPAN_MILLISECONDS;
  const fleet = await createTrafficFleet(routers, {
    dataCentres: Math.min(
      MAXIMUM_DATA_CENTRES,
      Math.ceil(routers / ROUTERS_PER_DATA_CENTRE),
    ),
    seconds: (WARM_UP_MILLISECONDS + span) / 1_000,
    seed,
  });
  for (
    let waited = 0;
    !fleet.isJoined() && waited < JOIN_LIMIT_MILLISECONDS;
    waited += JOIN_STEP_MILLISECONDS
  ) await fleet.advance(JOIN_STEP_MILLISECONDS);
  await fleet.startControlTasks();
  await fleet.advance(WARM_UP_MILLISECONDS);
  const before = fleet.networks.map(({ traffic }) =>
    structuredClone(traffic.byKind())
  );
  await fleet.advance(span);
  const rates = fleet.networks.map(({ traffic }, index) =>
    ratesOf(before[index] ?? {}, traffic.byKind(), span / 1_000)
  );
  const busiest = rates.reduce((left, right) =>
    sumOf(left).bytes >= sumOf(right).bytes ? left : right
  );
  const { granted, refused } = fleet.outcomes();
  return {
    rows: [
      { ...rowsOf(routers, "mean", meanOf(rates)), granted, refused },
      rowsOf(routers, "busiest", busiest),
    ],
    busiest: sumOf(busiest).bytes,
    refused: fleet.isJoined() ? refused / Math.max(1, granted) : Infinity,
  };
}

/** Returns the least-squares slope of the points. */
function slope(points: readonly (readonly [number, number])[]): number {
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
  let [covariance, variance] = [0, 0];
  for (const [x, y] of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  return covariance / variance;
}

/** Runs the benchmark. */
export async function runBench(options: BenchOptions): Promise<BenchReport> {
  const rows: BenchRow[] = [];
  const points: [number, number][] = [];
  let atTarget: BenchBound[] = [];
  for (const size of SIZES) {
    const startedAt = performance.now();
    const measured = await measureSize(size, options);
    const seconds = (performance.now() - startedAt) / 1_000;
    rows.push(
      { ...measured.rows[0], "run s": Number(seconds.toFixed(1)) },
      ...measured.rows.slice(1),
    );
    points.push([size, measured.busiest]);
    if (size !== TARGET_SIZE) continue;
    atTarget = [{
      name: "bytes a second of the busiest router of 410, sent and received",
      value: Math.round(measured.busiest),
      comparison: "at_most",
      limit: MAXIMUM_BYTES_PER_SECOND,
    }, {
      name: "part of the requests refused at 410 routers",
      value: measured.refused,
      comparison: "at_most",
      limit: 0.01,
    }];
  }
  rows.push({
    routers: "slope per router",
    node: "busiest",
    "bytes/s": Number(slope(points).toFixed(1)),
  });
  return { name: "traffic", rows, bounds: atTarget };
}
