/** Counters and gauges of one router, exposed in the Prometheus text format. */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

const LATENCY_BUCKETS_SECONDS = [
  0.005,
  0.02,
  0.05,
  0.1,
  0.25,
  0.5,
  1,
  1.4,
  2,
  5,
  10,
  30,
];

/** The metrics of one router. */
export type Metrics = ReturnType<typeof createMetrics>;

/** Uses a separate registry, so that several routers can run in one process. */
export function createMetrics() {
  const registry = new Registry();
  const registers = [registry];
  const prefix = "sapphirecart_";
  return {
    registry,
    requests: new Counter({
      name: `${prefix}requests_total`,
      help:
        "Requests by kind (chat, service) and outcome (ok or an error kind)",
      labelNames: ["kind", "outcome"],
      registers,
    }),
    retries: new Counter({
      name: `${prefix}retries_total`,
      help:
        "Requests sent to another backend server after a failure, by error kind",
      labelNames: ["reason"],
      registers,
    }),
    firstTokenSeconds: new Histogram({
      name: `${prefix}first_token_seconds`,
      help: "Time from the arrival of a chat request to its first token",
      buckets: LATENCY_BUCKETS_SECONDS,
      registers,
    }),
    promptTokens: new Counter({
      name: `${prefix}prompt_tokens_total`,
      help:
        "Prompt tokens by source (cached, computed), as engines report them",
      labelNames: ["source"],
      registers,
    }),
    generation: new Gauge({
      name: `${prefix}configuration_generation`,
      help: "Configuration generation in force",
      registers,
    }),
    alarms: new Gauge({
      name: `${prefix}alarm`,
      help: "1 while an alarm is raised, by alarm",
      labelNames: ["alarm"],
      registers,
    }),
    members: new Gauge({
      name: `${prefix}members`,
      help: "Live members as this router sees them",
      registers,
    }),
    controlBytes: new Counter({
      name: `${prefix}control_bytes_total`,
      help: "Bytes exchanged with other routers by direction (sent, received)",
      labelNames: ["direction"],
      registers,
    }),
  };
}
