/** Draws requests whose bodies and streams take seconds, with a heavy tail. */
import type { RandomSource } from "../src/core/random.ts";

const SHORTEST_STREAM_MILLISECONDS = 150;
const LONGEST_STREAM_MILLISECONDS = 7_000;
/** Exponent of the Pareto distribution of durations; the larger, the longer. */
const TAIL_EXPONENT = 1.5;
/** Ratio of requests whose bodies are sent in parts. */
const SLOW_BODY_RATIO = 1 / 3;
const LONGEST_BODY_MILLISECONDS = 4_500;
const MAXIMUM_BODY_BYTES = 24_000;
const MAXIMUM_BODY_PARTS = 8;
/** Ratio of requests with large events that are read slowly. */
const SLOW_READER_RATIO = 1 / 8;
const LARGE_EVENT_BYTES = 100_000;

/** How a request is sent, served and read. */
export interface RequestPace {
  /** Text added to the query, from which a server reads how it is to respond. */
  readonly query: string;
  readonly body: string;
  /** Parts in which the body is sent. */
  readonly bodyParts: number;
  /** Time over which the parts are sent. */
  readonly bodyMilliseconds: number;
  readonly isReadSlowly: boolean;
}

/** How a server paces a stream. */
export interface StreamPace {
  readonly milliseconds: number;
  /** Bytes added to each event. */
  readonly eventBytes: number;
}

function _drawStreamMilliseconds(random: RandomSource): number {
  const tail = Math.max(random.next(), Number.EPSILON) ** -TAIL_EXPONENT;
  return Math.round(
    Math.min(LONGEST_STREAM_MILLISECONDS, SHORTEST_STREAM_MILLISECONDS * tail),
  );
}

/** Draws a request of a long route. */
export function drawLongRequest(random: RandomSource): RequestPace {
  const isSentSlowly = random.next() < SLOW_BODY_RATIO;
  const isReadSlowly = random.next() < SLOW_READER_RATIO;
  const eventBytes = isReadSlowly ? LARGE_EVENT_BYTES : 0;
  const milliseconds = _drawStreamMilliseconds(random);
  return {
    query: `&milliseconds=${milliseconds}&bytes=${eventBytes}`,
    body: "b".repeat(random.integer(MAXIMUM_BODY_BYTES)),
    bodyParts: isSentSlowly ? 2 + random.integer(MAXIMUM_BODY_PARTS - 1) : 1,
    bodyMilliseconds: isSentSlowly
      ? random.integer(LONGEST_BODY_MILLISECONDS)
      : 0,
    isReadSlowly,
  };
}

/** Reads the pace of a stream from its path; undefined if the path names none. */
export function readStreamPace(path: string): StreamPace | undefined {
  const query = new URLSearchParams(path.slice(path.indexOf("?") + 1));
  const milliseconds = query.get("milliseconds");
  if (milliseconds === null) return undefined;
  return {
    milliseconds: Number(milliseconds),
    eventBytes: Number(query.get("bytes") ?? 0),
  };
}
