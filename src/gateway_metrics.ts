/** Prometheus metrics of a gateway. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

const LATENCY_BUCKETS_SECONDS = [
  0.01,
  0.025,
  0.05,
  0.1,
  0.2,
  0.3,
  0.4,
  0.6,
  1,
  2,
  5,
  15,
];

const LOOP_DELAY_BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1, 2, 5];

/** The metrics of a gateway and their registry. */
export type GatewayMetrics = ReturnType<typeof createGatewayMetrics>;

/** Uses a separate registry, so that a process can run several gateways. */
export function createGatewayMetrics() {
  const registry = new Registry();
  const registers = [registry];
  const prefix = "sapphirecart_gateway_";
  return {
    registry,
    requests: new Counter({
      name: `${prefix}requests_total`,
      help:
        "Requests by route kind and outcome (ok, cancelled or an error kind)",
      labelNames: ["kind", "outcome"],
      registers,
    }),
    stopRequests: new Counter({
      name: `${prefix}stop_requests_total`,
      help: "Requests that ended during a planned stop, by outcome",
      labelNames: ["outcome"],
      registers,
    }),
    attempts: new Counter({
      name: `${prefix}attempts_total`,
      help: "Attempts at backend servers by result",
      labelNames: ["result"],
      registers,
    }),
    placements: new Counter({
      name: `${prefix}placements_total`,
      help: "Chosen backend servers by reason",
      labelNames: ["reason"],
      registers,
    }),
    firstByteSeconds: new Histogram({
      name: `${prefix}first_byte_seconds`,
      help:
        "Time from the arrival of a request to the first byte of its answer",
      labelNames: ["kind"],
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    }),
    eventGapSeconds: new Histogram({
      name: `${prefix}event_gap_seconds`,
      help: "Time between two parts of an event stream that were passed on",
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    }),
    serverGapSeconds: new Histogram({
      name: `${prefix}server_gap_seconds`,
      help: "Part of the time between two parts of a stream due to the server",
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    }),
    forwardingDelaySeconds: new Histogram({
      name: `${prefix}forwarding_delay_seconds`,
      help:
        "Time between two parts of a stream in which this router did not run",
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    }),
    callerPauseSeconds: new Histogram({
      name: `${prefix}caller_pause_seconds`,
      help:
        "Time between two parts of a stream in which the caller took no bytes",
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    }),
    longGaps: new Counter({
      name: `${prefix}long_gaps_total`,
      help:
        "Gaps between events beyond the limit of the route, by main cause (server, router, caller)",
      labelNames: ["cause"],
      registers,
    }),
    serverRequests: new Gauge({
      name: `${prefix}server_requests_in_flight`,
      help: "Requests in flight at a backend server, of all routers",
      labelNames: ["server"],
      registers,
    }),
    serverConnections: new Gauge({
      name: `${prefix}server_connections`,
      help: "Connections of this router to a backend server, in use and idle",
      labelNames: ["server"],
      registers,
    }),
    serverHeldTokens: new Gauge({
      name: `${prefix}server_held_tokens`,
      help:
        "Tokens that requests of all routers hold at a backend server, estimated; only where its memory is configured",
      labelNames: ["server"],
      registers,
    }),
    serverPace: new Gauge({
      name: `${prefix}server_pace`,
      help:
        "Smoothed time that a backend server's work takes, 1 is usual; only of servers that state it",
      labelNames: ["server"],
      registers,
    }),
    serverPromptTokens: new Gauge({
      name: `${prefix}server_prompt_tokens`,
      help:
        "Uncached prompt tokens on their way to a backend server, of all routers",
      labelNames: ["server"],
      registers,
    }),
    waitingRequests: new Gauge({
      name: `${prefix}waiting_requests`,
      help: "Requests that wait for room at a server, by service and priority",
      labelNames: ["service", "priority"],
      registers,
    }),
    oldestWaitSeconds: new Gauge({
      name: `${prefix}oldest_wait_seconds`,
      help: "Time since the oldest waiting request of a service arrived",
      labelNames: ["service"],
      registers,
    }),
    expectedWaitSeconds: new Gauge({
      name: `${prefix}expected_wait_seconds`,
      help: "Expected wait of a further request of the lowest priority",
      labelNames: ["service"],
      registers,
    }),
    waitRejections: new Counter({
      name: `${prefix}wait_rejections_total`,
      help:
        "Requests rejected instead of waiting, by cause (timeout, late, queue_full)",
      labelNames: ["cause"],
      registers,
    }),
    loadAgeSeconds: new Gauge({
      name: `${prefix}load_age_seconds`,
      help: "Age of the oldest figures in use about the load of other routers",
      registers,
    }),
    storeCalls: new Counter({
      name: `${prefix}store_calls_total`,
      help: "Calls to the store by operation and result (ok or an error kind)",
      labelNames: ["operation", "result"],
      registers,
    }),
    retriesLeft: new Gauge({
      name: `${prefix}retries_left`,
      help: "Retries that this router may still send to a service now",
      labelNames: ["service"],
      registers,
    }),
    storeEra: new Gauge({
      name: `${prefix}store_era`,
      help: "Number of times that the store has returned from a copy",
      registers,
    }),
    configurationVersion: new Gauge({
      name: `${prefix}configuration_version`,
      help: "Version of the configuration in force",
      registers,
    }),
    stateAgeSeconds: new Gauge({
      name: `${prefix}state_age_seconds`,
      help: "Time since the store last confirmed a subject; -1 if never",
      labelNames: ["subject"],
      registers,
    }),
    routers: new Gauge({
      name: `${prefix}routers`,
      help: "Routers that are heard, this one included",
      registers,
    }),
    evacuatedDataCentres: new Gauge({
      name: `${prefix}evacuated_data_centres`,
      help: "Data centres whose servers get no requests",
      registers,
    }),
    inFlight: new Gauge({
      name: `${prefix}requests_in_flight`,
      help: "Requests that are being served",
      registers,
    }),
    backendConnections: new Gauge({
      name: `${prefix}backend_connections_opened`,
      help: "Connections to backend servers opened since the start",
      registers,
    }),
    strayResponses: new Gauge({
      name: `${prefix}stray_answers`,
      help: "Answers of backend servers that belonged to no request",
      registers,
    }),
    droppedRequests: new Counter({
      name: `${prefix}dropped_requests_total`,
      help:
        "Requests that were read behind the end of their connection and did not run",
      registers,
    }),
    excessResponses: new Counter({
      name: `${prefix}excess_responses_total`,
      help:
        "Connections closed because a server sent bytes that are no response, by phase",
      labelNames: ["phase"],
      registers,
    }),
    unavailableServers: new Gauge({
      name: `${prefix}unavailable_servers`,
      help: "Registered servers that get no requests of this router, by reason",
      labelNames: ["reason"],
      registers,
    }),
    serverRateLimit: new Gauge({
      name: `${prefix}server_rate_limit`,
      help:
        "Requests per second that a backend server takes from the whole fleet",
      labelNames: ["server"],
      registers,
    }),
    serverRateLimitShare: new Gauge({
      name: `${prefix}server_rate_limit_share`,
      help: "This router's part of a backend server's rate limit",
      labelNames: ["server"],
      registers,
    }),
    coldServers: new Gauge({
      name: `${prefix}cold_servers`,
      help: "Backend servers that get few requests after their start, by phase",
      labelNames: ["phase"],
      registers,
    }),
    warmUpShare: new Gauge({
      name: `${prefix}server_warm_up_share`,
      help: "This router's part of what a cold backend server may get",
      labelNames: ["server"],
      registers,
    }),
    malformedHeaders: new Counter({
      name: `${prefix}malformed_headers_total`,
      help: "Headers of backend servers that could not be read, by name",
      labelNames: ["header"],
      registers,
    }),
    serverCrashes: new Counter({
      name: `${prefix}server_crashes_total`,
      help:
        "Backend servers that dropped requests and then refused connections",
      registers,
    }),
    quarantinedParts: new Gauge({
      name: `${prefix}quarantined_prompt_parts`,
      help:
        "Prompt parts whose requests are rejected because they crash servers",
      registers,
    }),
    stallSeconds: new Counter({
      name: `${prefix}stall_seconds_total`,
      help: "Time in which the process stood still for half a second or more",
      registers,
    }),
    eventLoopDelaySeconds: new Histogram({
      name: `${prefix}event_loop_delay_seconds`,
      help: "By how much the event loop ran a periodic call too late",
      buckets: LOOP_DELAY_BUCKETS_SECONDS,
      registers,
    }),
    routerUtilization: new Gauge({
      name: `${prefix}router_utilization`,
      help:
        "Fraction of this router's resources in use, by cause (processor, link, memory); above 1 if more is used than the settings state",
      labelNames: ["cause"],
      registers,
    }),
    shedConnections: new Counter({
      name: `${prefix}shed_connections_total`,
      help:
        "Connections of callers closed after a response because this router was overloaded",
      registers,
    }),
    faults: new Counter({
      name: `${prefix}faults_total`,
      help: "Errors that no code handled, by origin",
      labelNames: ["origin"],
      registers,
    }),
    clientMemory: new Gauge({
      name: `${prefix}client_memory_bytes`,
      help: "Memory that is counted for clients, by what holds it",
      labelNames: ["kind"],
      registers,
    }),
    clientMemoryBudget: new Gauge({
      name: `${prefix}client_memory_budget_bytes`,
      help: "Memory that clients may take; -1 if it is not bounded",
      registers,
    }),
    clientMemoryGivenUp: new Gauge({
      name: `${prefix}client_memory_given_up`,
      help: "Slow bodies and responses given up for others, by kind",
      labelNames: ["kind"],
      registers,
    }),
    boundClosures: new Counter({
      name: `${prefix}bound_closures_total`,
      help: "Connections of clients that a bound closed, by port and cause",
      labelNames: ["port", "cause"],
      registers,
    }),
    listenErrors: new Counter({
      name: `${prefix}listen_errors_total`,
      help: "Errors of listening sockets after the start, by port",
      labelNames: ["port"],
      registers,
    }),
    droppedLines: new Gauge({
      name: `${prefix}dropped_log_lines`,
      help: "Log lines dropped to keep the volume bounded",
      registers,
    }),
  };
}
