/** Runs one router as a daemon: sets up logging and handles stop signals. */
import pino from "pino";
import type { Settings } from "./core/settings_schema.ts";
import { createRouter } from "./router.ts";

/** Runs a router until it has stopped on SIGINT, SIGTERM or a stop request. */
export async function runRouter(settings: Settings): Promise<void> {
  const logger = pino({
    level: settings.router.logLevel,
    base: { host: settings.router.host },
  });
  const router = createRouter({ settings, logger });
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.on(signal, () => void router.stop());
  }
  await router.start();
  await router.stopped;
}
