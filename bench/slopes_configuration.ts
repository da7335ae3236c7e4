/**
 * Measures the cost of the configuration by number of workspaces: file size,
 * chunks, memory, parsing, joining and a change of one workspace.
 */
import { createHash } from "node:crypto";
import { prepareChunks } from "../src/chunk_preparation.ts";
import {
  type ChunkedFleet,
  ChunkReader,
  joinChunks,
  splitFleet,
} from "../src/core/configuration_chunks.ts";
import { createHead } from "../src/core/configuration_head.ts";
import { safeParseFleet } from "../src/core/fleet_file.ts";
import type { ConfigurationSnapshot, Fleet } from "../src/core/fleet_schema.ts";
import { createFleetCatalogue } from "../src/core/load_catalogue.ts";
import { createRoutingIndex } from "../src/core/routing_index.ts";
import { planGroups } from "../src/order_task.ts";
import { fitSlope, type Slope, usedBytes } from "./slopes_measure.ts";

const SIZES = [5_000, 10_000, 20_000, 47_000];
const LARGE_SIZES = [94_000];
/** Chunks that a peer returns in one reply, which are parsed as one batch. */
const CHUNKS_PER_FETCH = 32;
const MODELS = 5;
const DATA_CENTRES = 7;

function _hashOf(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/** Generates a fleet file with the given numbers of workspaces and engines. */
export function fleetText(workspaces: number, engines: number): string {
  const lines = ["[fleet]", "name = capacity"];
  for (let index = 0; index < DATA_CENTRES; index++) {
    lines.push(`[data_centre dc-${index}]`, `region = region-${index % 2}`);
  }
  for (let index = 0; index < MODELS; index++) {
    lines.push(`[model model-${index}]`, "version = v1");
  }
  const names: string[][] = Array.from({ length: MODELS }, () => []);
  for (let index = 0; index < engines; index++) {
    names[index % MODELS]?.push(`engine-${index}`);
    lines.push(
      `[backend_server engine-${index}]`,
      "kind = engine",
      `address = 10.1.${index >> 8}.${index & 255}:9000`,
      `data_centre = dc-${index % DATA_CENTRES}`,
    );
  }
  names.forEach((servers, index) =>
    lines.push(
      `[placement placement-${index}]`,
      `model = model-${index}`,
      `backend_servers = ${servers.join(", ")}`,
      `replicas = ${servers.length}`,
    )
  );
  for (let index = 0; index < workspaces; index++) {
    lines.push(
      `[workspace workspace-${index}]`,
      `key_hash = ${_hashOf(`key-${index}`)}`,
      `models = model-${index % MODELS}`,
      `requests_per_second = ${1 + index % 50}`,
      `shared_prompt_tokens = ${500 + index % 1_000}`,
    );
  }
  return lines.join("\n");
}

/** Creates a configuration snapshot for the measurements of other tasks. */
export function snapshotOf(
  workspaces: number,
  engines: number,
): ConfigurationSnapshot {
  const fleet = safeParseFleet(fleetText(workspaces, engines))._unsafeUnwrap();
  return {
    generation: 1_000,
    digest: "",
    fleet,
    drains: { hosts: [], backendServers: [] },
  };
}

function _measureTime<T>(
  work: () => T,
): { readonly ms: number; readonly value: T } {
  const start = performance.now();
  const value = work();
  return { ms: performance.now() - start, value };
}

/** Measures the longest time for which the work blocked the event loop. */
async function _longestLoopDelay(work: () => Promise<void>): Promise<number> {
  let [last, longest, running] = [performance.now(), 0, true];
  function turn(): void {
    const now = performance.now();
    longest = Math.max(longest, now - last);
    last = now;
    if (running) setImmediate(turn);
  }
  setImmediate(turn);
  await work();
  turn();
  running = false;
  return longest;
}

async function _joinInSlices(chunked: ChunkedFleet): Promise<{
  readonly reader: ChunkReader;
  readonly longest: number;
  readonly mergeMilliseconds: number;
}> {
  const reader = new ChunkReader();
  const texts = [...chunked.texts.values()];
  const longest = await _longestLoopDelay(async () => {
    for (let at = 0; at < texts.length; at += CHUNKS_PER_FETCH) {
      await prepareChunks(reader, texts.slice(at, at + CHUNKS_PER_FETCH));
    }
  });
  const merged = _measureTime(() =>
    reader.read(chunked.digests, chunked.texts)
  );
  merged.value._unsafeUnwrap();
  return { reader, longest, mergeMilliseconds: merged.ms };
}

function _withChange(fleet: Fleet): Fleet {
  const [name = ""] = Object.keys(fleet.workspaces);
  const changed = fleet.workspaces[name];
  if (!changed) return fleet;
  const workspaces = Object.assign(Object.create(null), fleet.workspaces, {
    [name]: { ...changed, concurrency: changed.concurrency + 1 },
  }) as Fleet["workspaces"];
  return { ...fleet, workspaces };
}

/**
 * Builds the indexes that other tasks derive from a new configuration, without
 * the state of these tasks.
 */
function _adopt(snapshot: ConfigurationSnapshot): void {
  createRoutingIndex(snapshot);
  createFleetCatalogue(snapshot.fleet);
  planGroups(snapshot);
}

function _memoryOf(chunked: ChunkedFleet): number {
  const before = usedBytes();
  const texts = new Map(
    [...chunked.texts].map(([digest, text]) =>
      [digest, Buffer.from(text).toString()] as const
    ),
  );
  const reader = new ChunkReader();
  const fleet = reader.read(chunked.digests, texts)._unsafeUnwrap();
  const after = usedBytes();
  return Object.keys(fleet.models).length + texts.size > 0
    ? after - before
    : NaN;
}

async function _measure(workspaces: number): Promise<Record<string, number>> {
  const text = fleetText(workspaces, 880);
  const parsed = _measureTime(() => safeParseFleet(text)._unsafeUnwrap());
  const fleet = parsed.value;
  const split = _measureTime(() => splitFleet(fleet));
  const chunked = split.value;
  const whole = _measureTime(() =>
    joinChunks(chunked.digests, chunked.texts)._unsafeUnwrap()
  );
  const sliced = await _joinInSlices(chunked);
  const changed = splitFleet(_withChange(fleet), {
    currentCount: chunked.digests.length,
  });
  const fetched = [...changed.texts].filter(([digest]) =>
    !chunked.texts.has(digest)
  );
  const apply = _measureTime(() =>
    sliced.reader.read(changed.digests, changed.texts)._unsafeUnwrap()
  );
  const drains = { hosts: [], backendServers: [] };
  const snapshot = { generation: 2, digest: "", fleet: apply.value, drains };
  const adopted = _measureTime(() => _adopt(snapshot));
  const head = createHead({
    generation: 1_000,
    applyId: "operator.01234567-89ab-cdef-0123-456789abcdef",
    chunks: chunked.digests,
    drains,
  });
  const sizes = [...chunked.texts.values()].map((value) => value.length);
  return {
    "file bytes": text.length,
    "chunk count": chunked.digests.length,
    "chunk bytes in total": sizes.reduce((sum, size) => sum + size, 0),
    "largest chunk bytes": Math.max(...sizes),
    "head bytes": JSON.stringify(head).length,
    "parse of the file, ms": parsed.ms,
    "split, ms": split.ms,
    "first join in one step, ms": whole.ms,
    "first join in slices, longest step, ms": sliced.longest,
    "first join in slices, merge, ms": sliced.mergeMilliseconds,
    "chunks fetched per change": fetched.length,
    "bytes fetched per change": fetched.reduce(
      (sum, [, value]) => sum + value.length,
      0,
    ),
    "join of a change, ms": apply.ms,
    "indexes after a change, ms": adopted.ms,
    "state bytes": _memoryOf(chunked),
  };
}

/** Measures the configuration at several sizes and fits each metric. */
export async function configurationSlopes(large: boolean): Promise<Slope[]> {
  const sizes = large ? [...SIZES, ...LARGE_SIZES] : SIZES;
  await _measure(SIZES[0] ?? 0);
  const points = new Map<string, [number, number][]>();
  for (const size of sizes) {
    for (const [metric, value] of Object.entries(await _measure(size))) {
      points.set(metric, [...points.get(metric) ?? [], [size, value]]);
    }
  }
  return [...points].map(([metric, values]) =>
    fitSlope("configuration", metric, "workspaces", values)
  );
}
