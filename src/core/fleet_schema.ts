/**
 * The schema of a fleet file, which holds the entire desired state of a fleet.
 * Types are inferred from the schema, and unknown keys are rejected.
 */
import { z } from "zod";
import {
  booleanText,
  decimalText,
  hashText,
  integerText,
  listText,
  nameText,
  socketAddressText,
} from "./text_schema.ts";

/** Priority classes, from served first to shed first. */
export const PRIORITIES = ["high", "normal", "low"] as const;
/** A priority class of a workspace or a request. */
export type Priority = typeof PRIORITIES[number];

const _fleetSection = z.strictObject({
  name: nameText().default("sapphirecart"),
  loadBoundRatio: decimalText({ minimum: 1.05, maximum: 10 }).default(1.25),
  keepMilliseconds: integerText({ minimum: 100, maximum: 600_000 }).default(
    30_000,
  ),
  addressesPerWorkspace: integerText({ minimum: 1, maximum: 64 }).default(3),
  retryBudgetRatio: decimalText({ minimum: 0, maximum: 1 }).default(0.1),
  queueWaitMilliseconds: integerText({ minimum: 0, maximum: 60_000 }).default(
    5_000,
  ),
  queueLengthPerBackendServer: integerText({ minimum: 0, maximum: 100_000 })
    .default(64),
  weightStoreLoadsPerMinute: integerText({ minimum: 1, maximum: 100_000 })
    .default(60),
  exportBytesPerDrain: integerText({ minimum: 0, maximum: 1_000_000_000_000 })
    .default(1_000_000_000),
});

const _dataCentre = z.strictObject({ region: nameText() });

const _model = z.strictObject({
  version: nameText(),
  prefillTokensPerSecond: integerText({ minimum: 1, maximum: 10_000_000 })
    .default(8_000),
  weightBytes: integerText({ minimum: 0, maximum: 100_000_000_000_000 })
    .default(0),
});

const _adapter = z.strictObject({ model: nameText(), version: nameText() });

const _backendServer = z.strictObject({
  kind: z.enum(["engine", "service"], "expected engine or service"),
  address: socketAddressText(),
  dataCentre: nameText(),
  host: nameText().optional(),
  service: nameText().optional(),
  capacityTokens: integerText({ minimum: 1, maximum: 1_000_000_000 }).default(
    200_000,
  ),
  cacheTokens: integerText({ minimum: 0, maximum: 1_000_000_000 }).default(
    100_000,
  ),
  checksFencing: booleanText().default(false),
});

const _service = z.strictObject({
  idempotentCalls: listText(
    z.string().regex(
      /^[A-Z]+ \/\S*$/,
      "expected a method and a path, such as GET /slots/*",
    ),
  ).default([]),
  concurrencyPerBackendServer: integerText({ minimum: 1, maximum: 100_000 })
    .default(64),
});

const _placement = z.strictObject({
  model: nameText(),
  adapters: listText(nameText()).default([]),
  backendServers: listText(nameText()),
  replicas: integerText({ minimum: 1, maximum: 10_000 }),
  servingFloor: integerText({ minimum: 0, maximum: 10_000 }).default(1),
});

const _workspace = z.strictObject({
  keyHash: hashText(),
  models: listText(nameText()).default([]),
  adapters: listText(nameText()).default([]),
  services: listText(nameText()).default([]),
  /** If empty, every backend server that serves the model or service is allowed. */
  backendServers: listText(nameText()).default([]),
  priority: z.enum(PRIORITIES, "expected high, normal or low").default(
    "normal",
  ),
  requestsPerSecond: decimalText({ minimum: 0.01, maximum: 1_000_000 }).default(
    100,
  ),
  concurrency: integerText({ minimum: 1, maximum: 1_000_000 }).default(256),
  sharedPromptTokens: integerText({ minimum: 0, maximum: 1_000_000 }).default(
    0,
  ),
});

const _operator = z.strictObject({ keyHash: hashText() });

/** Schema of a parsed fleet file: one record per section kind, keyed by name. */
export const fleetSchema = z.strictObject({
  fleet: _fleetSection,
  dataCentres: z.record(nameText(), _dataCentre),
  models: z.record(nameText(), _model),
  adapters: z.record(nameText(), _adapter),
  backendServers: z.record(nameText(), _backendServer),
  services: z.record(nameText(), _service),
  placements: z.record(nameText(), _placement),
  workspaces: z.record(nameText(), _workspace),
  operators: z.record(nameText(), _operator),
});

/** The desired state of a fleet. */
export type Fleet = z.infer<typeof fleetSchema>;
/** A backend server as configured. */
export type BackendServer = Fleet["backendServers"][string];
/** A workspace as configured. */
export type Workspace = Fleet["workspaces"][string];
/** A service other than an engine, as configured. */
export type Service = Fleet["services"][string];
/** A model as configured. */
export type Model = Fleet["models"][string];
/** A placement as configured. */
export type Placement = Fleet["placements"][string];

/** Hosts and servers that operators drain; part of the configuration head. */
export interface Drains {
  readonly hosts: readonly string[];
  readonly backendServers: readonly string[];
}

/** The configuration in force: the fleet, its generation and its drains. */
export interface ConfigurationSnapshot {
  readonly generation: number;
  readonly digest: string;
  readonly fleet: Fleet;
  readonly drains: Drains;
}
