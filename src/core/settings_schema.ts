/**
 * Schemas of the settings files. A router's file holds its identity and listen
 * addresses and how it finds the platform and its peers.
 */
import { z } from "zod";
import {
  integerText,
  listText,
  nameText,
  socketAddressText,
} from "./text_schema.ts";

const _platform = z.strictObject({
  address: socketAddressText().default("127.0.0.1:9080"),
  timeoutMilliseconds: integerText({ minimum: 10, maximum: 60_000 }).default(
    2_000,
  ),
  key: z.string().default(""),
});

/** Schema of a router's settings file. */
export const settingsSchema = z.strictObject({
  router: z.strictObject({
    host: nameText(),
    dataCentre: nameText(),
    callerAddress: socketAddressText().default("127.0.0.1:8080"),
    peerAddress: socketAddressText().default("127.0.0.1:7080"),
    seeds: listText(socketAddressText()).default([]),
    maximumBodyBytes: integerText({ minimum: 1_024, maximum: 1_073_741_824 })
      .default(4_194_304),
    logLevel: z.enum(["debug", "info", "warn", "error", "silent"]).default(
      "info",
    ),
  }),
  platform: _platform.default({
    address: "127.0.0.1:9080",
    timeoutMilliseconds: 2_000,
    key: "",
  }),
  security: z.strictObject({
    /** Shared by the fleet's routers; signs peer handshakes and resume tokens. */
    fleetKey: z.string().min(16, "expected at least 16 characters"),
    /** Sent to backend servers that authenticate their callers. */
    backendKey: z.string().default(""),
  }),
});

/** The settings of one router. */
export type Settings = z.infer<typeof settingsSchema>;

/** Schema of the settings file of the operator's command line. */
export const operatorSettingsSchema = z.strictObject({
  platform: _platform,
  operator: z.strictObject({
    /** Bearer key sent to routers; the fleet file holds its hash. */
    key: z.string().default(""),
    /** Caller addresses of routers; the first that responds lists the others. */
    routers: listText(socketAddressText()).default([]),
    timeoutMilliseconds: integerText({ minimum: 10, maximum: 60_000 }).default(
      2_000,
    ),
  }),
});

/** The settings of the operator's command line. */
export type OperatorSettings = z.infer<typeof operatorSettingsSchema>;
