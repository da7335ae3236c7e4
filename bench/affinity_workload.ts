/**
 * The workload of the affinity bench: chats that resume after pauses, and
 * engines that are replaced or flap. It depends only on the seed, so every
 * strategy gets the same requests and the same failures.
 */
import type { RandomSource } from "../src/core/random.ts";

const MEAN_TURNS = 6;
const SHORT_PAUSE_MEAN_MILLISECONDS = 3 * 60_000;
const LONG_PAUSE_MEAN_MILLISECONDS = 2 * 60 * 60_000;
const LONG_PAUSE_RATIO = 0.15;
const SECONDS_PER_OUTPUT_TOKEN = 0.04;
const REPLACED_RATIO_PER_MINUTE = 0.1;
const PLANNED_LEAVE_RATIO = 0.7;
const FLAPPING_RATIO = 0.05;
const FLAP_PERIOD_MILLISECONDS = 45_000;
const FLAP_DOWN_MILLISECONDS = 3_000;
const REQUESTS_PER_ENGINE_AND_SECOND = 1;

/** One turn of a chat. */
export interface WorkloadRequest {
  readonly atMilliseconds: number;
  readonly workspace: number;
  readonly chat: number;
  readonly sharedTokens: number;
  /** Tokens of the shared prompt, the history and the new message. */
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly streamMilliseconds: number;
}

/** A departure, crash or flap of the engine in a slot. */
export interface EngineChange {
  readonly atMilliseconds: number;
  readonly slot: number;
  readonly kind: "leave" | "crash" | "flap_down" | "flap_up";
}

/** The requests and engine changes of a simulation. */
export interface Workload {
  readonly engines: number;
  readonly durationMilliseconds: number;
  readonly sharedTokens: readonly number[];
  readonly requests: readonly WorkloadRequest[];
  readonly changes: readonly EngineChange[];
}

/** Size and duration of a workload. */
export interface WorkloadOptions {
  readonly engines: number;
  readonly workspaces: number;
  readonly durationMilliseconds: number;
  /** How long before the run the first chats start; some resume during it. */
  readonly historyMilliseconds: number;
}

function _exponential(random: RandomSource, mean: number): number {
  return -mean * Math.log(1 - random.next());
}

function _between(random: RandomSource, low: number, high: number): number {
  return low + random.integer(high - low);
}

/** Draws workspaces with Zipf-distributed traffic: a few are large. */
function _createWorkspaceDraw(
  random: RandomSource,
  workspaces: number,
): () => number {
  const cumulative: number[] = [];
  let total = 0;
  for (let rank = 1; rank <= workspaces; rank++) {
    total += 1 / rank;
    cumulative.push(total);
  }
  return () => {
    const draw = random.next() * total;
    return cumulative.findIndex((upTo) => draw < upTo);
  };
}

function _createRequests(
  random: RandomSource,
  options: WorkloadOptions,
  sharedTokens: readonly number[],
): WorkloadRequest[] {
  const requests: WorkloadRequest[] = [];
  const drawWorkspace = _createWorkspaceDraw(random, options.workspaces);
  const chatsPerMillisecond = options.engines * REQUESTS_PER_ENGINE_AND_SECOND /
    MEAN_TURNS / 1_000;
  let started = -options.historyMilliseconds;
  for (let chat = 0; started < options.durationMilliseconds; chat++) {
    started += _exponential(random, 1 / chatsPerMillisecond);
    const workspace = drawWorkspace();
    const shared = sharedTokens[workspace] ?? 0;
    let at = started;
    let promptTokens = shared;
    do {
      promptTokens += _between(random, 30, 200);
      const outputTokens = _between(random, 100, 300);
      const stream = outputTokens * SECONDS_PER_OUTPUT_TOKEN * 1_000;
      if (at >= 0) {
        requests.push({
          atMilliseconds: at,
          workspace,
          chat,
          sharedTokens: shared,
          promptTokens,
          outputTokens,
          streamMilliseconds: stream,
        });
      }
      promptTokens += outputTokens;
      const long = random.next() < LONG_PAUSE_RATIO;
      at += stream + _exponential(
        random,
        long ? LONG_PAUSE_MEAN_MILLISECONDS : SHORT_PAUSE_MEAN_MILLISECONDS,
      );
    } while (
      random.next() > 1 / MEAN_TURNS && at < options.durationMilliseconds
    );
  }
  return requests
    .filter((request) => request.atMilliseconds < options.durationMilliseconds)
    .sort((left, right) => left.atMilliseconds - right.atMilliseconds);
}

function _createChanges(
  random: RandomSource,
  options: WorkloadOptions,
): EngineChange[] {
  const changes: EngineChange[] = [];
  const flapping = Math.max(1, Math.round(FLAPPING_RATIO * options.engines));
  const end = options.durationMilliseconds;
  const meanGap = 60_000 / (REPLACED_RATIO_PER_MINUTE * options.engines);
  for (
    let at = _exponential(random, meanGap);
    at < end;
    at += _exponential(random, meanGap)
  ) {
    const slot = random.integer(options.engines);
    const kind = random.next() < PLANNED_LEAVE_RATIO ? "leave" : "crash";
    changes.push({ atMilliseconds: at, slot, kind });
  }
  for (let slot = 0; slot < flapping; slot++) {
    let at = _exponential(random, FLAP_PERIOD_MILLISECONDS);
    while (at < end) {
      changes.push({ atMilliseconds: at, slot, kind: "flap_down" });
      at += FLAP_DOWN_MILLISECONDS;
      changes.push({ atMilliseconds: at, slot, kind: "flap_up" });
      at += _exponential(random, FLAP_PERIOD_MILLISECONDS);
    }
  }
  return changes.sort((left, right) =>
    left.atMilliseconds - right.atMilliseconds
  );
}

/** Generates the workload of one fleet size. */
export function createWorkload(
  random: RandomSource,
  options: WorkloadOptions,
): Workload {
  const sharedTokens = Array.from(
    { length: options.workspaces },
    () => _between(random, 400, 1_500),
  );
  return {
    engines: options.engines,
    durationMilliseconds: options.durationMilliseconds,
    sharedTokens,
    requests: _createRequests(random, options, sharedTokens),
    changes: _createChanges(random, options),
  };
}
