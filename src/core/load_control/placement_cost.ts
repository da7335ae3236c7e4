/**
 * Estimates what the choice of a server costs, in milliseconds that the request
 * and those beside it take longer: processing of the uncached prompt, slower
 * steps, a queue, and gaps between events beyond the limit. Traffic between data
 * centres has a price in the same unit.
 */
import type { BackendServerId, DataCentreId } from "../ids.ts";
import type { RegisteredServer } from "../server_registry.ts";

/** What is known of the servers' work, where servers state their pace. */
export interface PlacementCosts {
  /** Time that a server's work takes, as a multiple of the usual. */
  readonly paceOf: (server: RegisteredServer) => number;
  /** Requests in a server's queue, as it stated a moment ago. */
  readonly waitingAt: (server: RegisteredServer) => number;
  /** Uncached prompt tokens that were sent to a server and are not processed yet. */
  readonly tokensOnTheirWay: (server: BackendServerId) => number;
  /** Longest gap between the events of a stream; undefined if there is no limit. */
  readonly gapLimitMilliseconds: number | undefined;
  readonly dataCentreOf: (server: BackendServerId) => DataCentreId | undefined;
  /** Whether servers can copy cached prompt parts from each other. */
  readonly canCopyCache: boolean;
}

/** The work of a server before the request is added. */
export interface ServerWork {
  readonly inFlight: number;
  readonly waiting: number;
  readonly slots: number;
  readonly pace: number;
  readonly tokensOnTheirWay: number;
}

/** What the request adds to a server. */
export interface AddedWork {
  /** Prompt tokens that the server has to process. */
  readonly uncachedTokens: number;
  /** Prompt tokens that it copies from another server. */
  readonly copiedTokens: number;
  readonly promptTokens: number;
  /** Whether the server is in another data centre than this router. */
  readonly isRemote: boolean;
  readonly gapLimitMilliseconds: number | undefined;
}

/** Prompt tokens that a model server processes per millisecond at the usual pace. */
const TOKENS_PER_MILLISECOND = 58;
/** A model server processes a prompt in chunks of this size, one in each step. */
const CHUNK_TOKENS = 2_048;
/** Duration of a step of a model server at the usual pace. */
const STEP_MILLISECONDS = 3.6;
/** Steps that an event of a stream takes. */
const STEPS_PER_EVENT = 8;
/**
 * Tokens of a response that are compared. The pace and the load change before the
 * end of a longer one, and routers that followed each change would move together.
 */
const RESPONSE_TOKENS = 64;
/** Time assumed for a request without a prompt, as at a plain service. */
const PLAIN_RESPONSE_MILLISECONDS = 100;
/** Copying a cached token, relative to processing it. */
const COPY_COST_RATIO = 0.25;
/**
 * Cost of a cached token that a processed one evicts: the evicted part is processed
 * again, and so on, so that parts are better kept on few servers.
 */
const EVICTION_COST_RATIO = 4;
/** Part of the requests beside a prompt that its delay makes late. */
const DELAYED_REQUESTS_RATIO = 0.05;
/** A prompt of this length lengthens the steps of more than one event. */
export const LONG_PROMPT_TOKENS = 4 * CHUNK_TOKENS;
/**
 * Cost of two long prompts at one server. It exceeds every other difference, so
 * that a server gets a second one only if all others with room have one too.
 */
export const OVERLAP_MILLISECONDS = 60_000;
/** Price of a response from another data centre. */
const REMOTE_RESPONSE_MILLISECONDS = 30;
/** Prompt tokens sent to another data centre for the price of a millisecond. */
const REMOTE_TOKENS_PER_MILLISECOND = 200;

/** Returns the time to process prompt tokens at the usual pace, in milliseconds. */
export function readMilliseconds(tokens: number): number {
  return tokens / TOKENS_PER_MILLISECOND;
}

/**
 * Returns the longest gap between events while prompts are processed. An event
 * takes some steps, each of which processes at most a chunk of each prompt.
 */
function _longestGap(
  { pace, tokensOnTheirWay }: ServerWork,
  { uncachedTokens }: AddedWork,
): number {
  const prompts = tokensOnTheirWay > 0 ? 2 : 1;
  const tokens = Math.min(
    uncachedTokens + tokensOnTheirWay,
    prompts * STEPS_PER_EVENT * CHUNK_TOKENS,
  );
  return (STEPS_PER_EVENT * STEP_MILLISECONDS + readMilliseconds(tokens)) *
    pace;
}

/** Returns the delay of the requests that run beside the added one. */
function _delayOfOthers(server: ServerWork, added: AddedWork): number {
  const { inFlight, pace, tokensOnTheirWay } = server;
  const { uncachedTokens, gapLimitMilliseconds } = added;
  const read = readMilliseconds(uncachedTokens) * pace;
  let delay = read * inFlight * DELAYED_REQUESTS_RATIO;
  if (gapLimitMilliseconds !== undefined && inFlight > 0) {
    const excess = _longestGap(server, added) - gapLimitMilliseconds;
    if (excess > 0) delay += excess * inFlight;
  }
  const overlaps = uncachedTokens >= LONG_PROMPT_TOKENS &&
    tokensOnTheirWay >= LONG_PROMPT_TOKENS;
  return overlaps ? delay + OVERLAP_MILLISECONDS : delay;
}

/** Returns the time until the end of the added request. */
function _ownTime(server: ServerWork, added: AddedWork): number {
  const { inFlight, waiting, pace, tokensOnTheirWay } = server;
  const slots = Math.max(1, server.slots);
  const usual = added.promptTokens > 0
    ? RESPONSE_TOKENS * STEP_MILLISECONDS
    : PLAIN_RESPONSE_MILLISECONDS;
  const queued = Math.max(waiting, inFlight + 1 - slots, 0);
  const response = usual * (1 + (inFlight + queued) / slots);
  const copied = added.copiedTokens * COPY_COST_RATIO;
  const read = added.uncachedTokens + copied + tokensOnTheirWay;
  return (response + readMilliseconds(read)) * pace;
}

/** Returns the time in which the server processes again what the prompt evicts. */
function _evictionTime(
  { pace }: ServerWork,
  { uncachedTokens, copiedTokens }: AddedWork,
): number {
  const evicted = uncachedTokens + copiedTokens;
  return readMilliseconds(evicted) * EVICTION_COST_RATIO * pace;
}

/** Returns the expected cost of adding a request to a server, in milliseconds. */
export function expectedMilliseconds(
  server: ServerWork,
  added: AddedWork,
): number {
  const traffic = added.isRemote
    ? REMOTE_RESPONSE_MILLISECONDS +
      added.promptTokens / REMOTE_TOKENS_PER_MILLISECOND
    : 0;
  return _ownTime(server, added) + _delayOfOthers(server, added) +
    _evictionTime(server, added) + traffic;
}
