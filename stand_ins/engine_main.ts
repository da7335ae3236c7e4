/** Command line of the stand-in engine; most `EngineOptions` have a flag. */
import { cac } from "cac";
import { startEngine } from "./engine.ts";
import { WeightStore } from "./engine_models.ts";

/** Numeric options; a missing flag keeps the default value. */
const NUMERIC_OPTIONS = [
  "port",
  "seed",
  "prefillTokensPerSecond",
  "tokenMilliseconds",
  "batchSlope",
  "maximumBatch",
  "capacityTokens",
  "timeScale",
  "cacheTokens",
  "eventLagMilliseconds",
  "eventLossRatio",
  "loadLagMilliseconds",
  "retainMilliseconds",
  "loadMilliseconds",
  "modelSlots",
] as const;

const command = cac("engine");
for (const name of NUMERIC_OPTIONS) {
  const flag = name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
  command.option(`--${flag} <number>`, name);
}
command.option("--key <text>", "Bearer key to require");
command.option(
  "--models <list>",
  "model@version entries that serve at start",
);
command.option(
  "--checks-fencing",
  "Reject orders with an old fencing number",
);
command.option(
  "--loads-per-minute <number>",
  "Rate of the weight store",
);
command.help();
const { options } = command.parse();

if (!options["help"]) {
  const numbers = NUMERIC_OPTIONS.filter((name) => options[name] !== undefined)
    .map((name) => [name, Number(options[name])]);
  const engine = await startEngine({
    ...Object.fromEntries(numbers) as Record<string, number>,
    key: String(options["key"] ?? ""),
    models: String(options["models"] ?? "").split(",").filter(Boolean),
    checksFencing: Boolean(options["checksFencing"]),
    weightStore: new WeightStore(Number(options["loadsPerMinute"] ?? 60)),
  });
  process.stdout.write(`listening on ${engine.address}\n`);
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => void engine.stop().then(() => process.exit(0)));
  }
}
