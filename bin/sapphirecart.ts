#!/usr/bin/env node
/** Entry point of the program: passes its arguments to the command line. */
import { runCommandLine } from "../src/command_line.ts";
import type { Settings } from "../src/core/settings_schema.ts";

interface RouterDaemon {
  runRouter(settings: Settings): Promise<void>;
}

/** Imports the daemon on demand: operator commands start faster without it. */
async function loadDaemon(): Promise<RouterDaemon> {
  const path = new URL("../src/router_daemon.js", import.meta.url).href;
  try {
    return await import(path) as RouterDaemon;
  } catch (cause) {
    if ((cause as { code?: string }).code !== "ERR_MODULE_NOT_FOUND") {
      throw cause;
    }
    throw new Error("this build has no router daemon", { cause });
  }
}

async function runRouter(settings: Settings): Promise<void> {
  await (await loadDaemon()).runRouter(settings);
}

process.exitCode = await runCommandLine({
  arguments: process.argv.slice(2),
  writeOutput: (text) => console.log(text),
  writeError: (text) => console.error(text),
  runRouter,
});
