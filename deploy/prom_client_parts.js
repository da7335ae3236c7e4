/** Exports only the parts of prom-client in use; loading the rest slows the start. */
export { default as Counter } from "../node_modules/prom-client/lib/counter.js";
export { default as Gauge } from "../node_modules/prom-client/lib/gauge.js";
export { default as Histogram } from "../node_modules/prom-client/lib/histogram.js";
export { default as Registry } from "../node_modules/prom-client/lib/registry.js";
