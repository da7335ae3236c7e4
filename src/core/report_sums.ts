/** Sums the counts of routers, and subtracts one router's counts from a sum. */
import type { InFlightCount } from "./load_control/fleet_load.ts";
import type { BackendServerId } from "./ids.ts";
import type { OutcomeCount } from "./server_outcomes.ts";

/** The counts that a router reports about backend servers. */
export interface ServerCounts {
  readonly loads: readonly InFlightCount[];
  readonly outcomes: readonly OutcomeCount[];
}

interface _LoadSum {
  inFlight: number;
  promptTokens: number;
}

interface _OutcomeSum {
  requests: number;
  failures: number;
}

function _toLoad(
  server: BackendServerId,
  { inFlight, promptTokens }: _LoadSum,
): InFlightCount {
  return promptTokens > 0
    ? { server, inFlight, promptTokens }
    : { server, inFlight };
}

/** Sums the counts of several routers. */
export function sumCounts(reports: Iterable<ServerCounts>): ServerCounts {
  const loads = new Map<BackendServerId, _LoadSum>();
  const outcomes = new Map<BackendServerId, _OutcomeSum>();
  for (const counts of reports) {
    for (const { server, inFlight, promptTokens = 0 } of counts.loads) {
      const sum = loads.get(server) ?? { inFlight: 0, promptTokens: 0 };
      sum.inFlight += inFlight;
      sum.promptTokens += promptTokens;
      loads.set(server, sum);
    }
    for (const { server, requests, failures } of counts.outcomes) {
      const sum = outcomes.get(server) ?? { requests: 0, failures: 0 };
      sum.requests += requests;
      sum.failures += failures;
      outcomes.set(server, sum);
    }
  }
  return {
    loads: [...loads].map(([server, sum]) => _toLoad(server, sum)),
    outcomes: [...outcomes].map(([server, sum]) => ({ server, ...sum })),
  };
}

/**
 * Subtracts a router's own counts from a sum that includes them. If the sum
 * does not include the router's latest report yet, counts do not become
 * negative.
 */
export function subtractOwnCounts(
  sum: ServerCounts,
  own: ServerCounts,
): ServerCounts {
  const loads = new Map(own.loads.map((load) => [load.server, load]));
  const outcomes = new Map(own.outcomes.map((count) => [count.server, count]));
  return {
    loads: sum.loads.flatMap(({ server, inFlight, promptTokens = 0 }) => {
      const known = loads.get(server);
      const rest = {
        inFlight: inFlight - (known?.inFlight ?? 0),
        promptTokens: promptTokens - (known?.promptTokens ?? 0),
      };
      return rest.inFlight > 0 ? [_toLoad(server, rest)] : [];
    }),
    outcomes: sum.outcomes.flatMap(({ server, requests, failures }) => {
      const known = outcomes.get(server);
      const otherFailures = failures - (known?.failures ?? 0);
      if (otherFailures <= 0) return [];
      const otherRequests = requests - (known?.requests ?? 0);
      return [{
        server,
        requests: Math.max(otherFailures, otherRequests),
        failures: otherFailures,
      }];
    }),
  };
}
