/**
 * The requests of the failure run of planned stops: routes like those of a site with
 * long generations, and how long their requests and bodies take.
 */
import type { RandomSource } from "../src/core/random.ts";
import type { SoakRoute } from "../platform/soak_fleet.ts";
import { writeWorkQuery } from "./stop_servers.ts";

/** Host name of the routes. */
export const STOP_HOST_NAME = "shop.example";

const BODY_BYTES = 12_000;
const SLOW_BODY_RATIO = 1 / 3;
const LONGEST_BODY_MILLISECONDS = 4_500;
/** A body takes at most this share of its route's timeout. */
const LONGEST_BODY_RATIO = 1 / 3;
const BREAK_OFF_RATIO = 0.005;
const RESPONSE_BYTES = 2_000;
/** Longer than the buffers of the sockets between a router and a caller. */
const SLOW_READ_RESPONSE_BYTES = 8 * 1024 * 1024;
/** Exponent of the Pareto distribution of long streams. */
const LONG_STREAM_EXPONENT = 0.8;
const SHORTEST_LONG_STREAM_MILLISECONDS = 150;
const LONGEST_STREAM_MILLISECONDS = 9_000;

/** A route of the run. */
export interface StopRoute extends SoakRoute {
  readonly timeoutMilliseconds: number;
  /** Whether its requests may run more than once. */
  readonly isIdempotent: boolean;
  /** Share of all requests. */
  readonly share: number;
}

/** Routes of the run; a stream of either kind runs once. */
export const STOP_ROUTES: readonly StopRoute[] = [
  {
    name: "long",
    kind: "streaming",
    maximumBackendServers: 3,
    timeoutMilliseconds: 15_000,
    isResumable: false,
    isIdempotent: false,
    share: 0.5,
  },
  {
    name: "short",
    kind: "streaming",
    maximumBackendServers: 3,
    timeoutMilliseconds: 12_000,
    isResumable: true,
    isIdempotent: true,
    share: 0.2,
  },
  {
    name: "once",
    kind: "non_idempotent",
    maximumBackendServers: 2,
    timeoutMilliseconds: 4_000,
    isIdempotent: false,
    share: 0.15,
  },
  {
    name: "safe",
    kind: "idempotent",
    maximumBackendServers: 3,
    timeoutMilliseconds: 6_000,
    isIdempotent: true,
    share: 0.15,
  },
];

/** A request before it is sent. */
export interface PlannedRequest {
  readonly route: StopRoute;
  readonly path: string;
  readonly bodyBytes: number;
  /** Time over which the body is sent. */
  readonly bodyMilliseconds: number;
  readonly isChunked: boolean;
  readonly workMilliseconds: number;
}

function _chooseRoute(random: RandomSource): StopRoute {
  let rest = random.next();
  for (const route of STOP_ROUTES) {
    rest -= route.share;
    if (rest < 0) return route;
  }
  return STOP_ROUTES[0] as StopRoute;
}

function _chooseWorkMilliseconds(
  { name }: StopRoute,
  random: RandomSource,
): number {
  const value = random.next();
  switch (name) {
    case "long":
      return Math.min(
        LONGEST_STREAM_MILLISECONDS,
        SHORTEST_LONG_STREAM_MILLISECONDS *
          (1 - value) ** (-1 / LONG_STREAM_EXPONENT),
      );
    case "short":
      return 200 + 1_800 * value;
    default:
      return 60 + 60 * value;
  }
}

function _chooseBodyMilliseconds(
  { timeoutMilliseconds }: StopRoute,
  random: RandomSource,
): number {
  const isSlow = random.next() < SLOW_BODY_RATIO;
  const longest = Math.min(
    LONGEST_BODY_MILLISECONDS,
    timeoutMilliseconds * LONGEST_BODY_RATIO,
  );
  const milliseconds = random.next() * longest;
  return isSlow ? milliseconds : 0;
}

/** Chooses a caller's next request. */
export function chooseRequest(
  random: RandomSource,
  readsSlowly: boolean,
): PlannedRequest {
  const route = _chooseRoute(random);
  const workMilliseconds = Math.round(_chooseWorkMilliseconds(route, random));
  const bodyMilliseconds = _chooseBodyMilliseconds(route, random);
  const isChunked = bodyMilliseconds > 0 && random.next() < 0.5;
  const breaksOff = route.name === "long" && random.next() < BREAK_OFF_RATIO;
  const isLarge = readsSlowly && route.name === "safe";
  const query = writeWorkQuery({
    milliseconds: workMilliseconds,
    responseBytes: isLarge ? SLOW_READ_RESPONSE_BYTES : RESPONSE_BYTES,
    breaksOff,
  });
  return {
    route,
    path: `/${route.name}/work${query}`,
    bodyBytes: BODY_BYTES,
    bodyMilliseconds,
    isChunked,
    workMilliseconds,
  };
}
