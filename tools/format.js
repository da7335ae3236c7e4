/**
 * Formats the sources with dprint's TypeScript plugin as dprint.json says, or
 * checks them with `--check`. The plugin runs inside Node.js, since the dprint
 * executable for arm64 needs a newer C library than some of our hosts have.
 */
import { createFromBuffer } from "@dprint/formatter";
import { execFileSync } from "node:child_process";
import { existsSync, readFileSync, writeFileSync } from "node:fs";

const isCheck = process.argv.includes("--check");
const configuration = JSON.parse(readFileSync("dprint.json", "utf8"));
const [pluginPath] = configuration.plugins;
const formatter = createFromBuffer(readFileSync(pluginPath));
formatter.setConfig({}, configuration.typescript);
const diagnostics = formatter.getConfigDiagnostics();
if (diagnostics.length > 0) throw new Error(JSON.stringify(diagnostics));

/** Returns the tracked and new source files; git leaves out ignored ones. */
function listFiles() {
  const output = execFileSync("git", [
    "ls-files",
    "--cached",
    "--others",
    "--exclude-standard",
    "-z",
    ...configuration.includes.map((pattern) => `:(glob)${pattern}`),
    ...configuration.excludes.map((pattern) => `:(exclude)${pattern}`),
  ], { encoding: "utf8" });
  return output.split("\0").filter((path) => path !== "" && existsSync(path));
}

const paths = listFiles();
let changed = 0;
for (const path of paths) {
  const fileText = readFileSync(path, "utf8");
  const formatted = formatter.formatText({ filePath: path, fileText });
  if (formatted === fileText) continue;
  changed++;
  if (isCheck) console.error(`${path} is not formatted`);
  else writeFileSync(path, formatted);
}
if (paths.length === 0) throw new Error("found no source files");
console.log(`${paths.length} files, ${changed} not formatted`);
if (isCheck && changed > 0) process.exitCode = 1;
