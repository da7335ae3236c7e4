#!/usr/bin/env node
/** The first command line: `router SETTINGS` and `apply FILE --settings SETTINGS`. */
import { randomUUID } from "node:crypto";
import { readFile } from "node:fs/promises";
import { applyFleet } from "../src/core/configuration_apply.ts";
import { safeParseFleet } from "../src/core/fleet_file.ts";
import {
  safeParseOperatorSettings,
  safeParseSettings,
} from "../src/core/settings_file.ts";
import { createHttpPlatformClient } from "../src/http_platform_client.ts";
import { runRouter } from "../src/router_daemon.ts";

const [name = "", file = ""] = process.argv.slice(2);
const text = await readFile(file, "utf8");
if (name === "router") {
  await runRouter(safeParseSettings(text)._unsafeUnwrap());
} else if (name === "apply") {
  const settings = await readFile(process.argv.at(-1) ?? "", "utf8");
  const { platform } = safeParseOperatorSettings(settings)._unsafeUnwrap();
  const applied = await applyFleet(safeParseFleet(text)._unsafeUnwrap(), {
    client: createHttpPlatformClient(platform),
    applyId: randomUUID(),
    wallMilliseconds: () => Date.now(),
    sleep: (milliseconds) =>
      new Promise((resolve) => setTimeout(resolve, milliseconds)),
  });
  console.log(JSON.stringify(applied));
  process.exitCode = applied.isOk() ? 0 : 1;
}
