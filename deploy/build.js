/**
 * Bundles the gateway into one script and stores its compiled code beside it.
 * A process that loads one compiled file starts several times faster than one
 * that loads and compiles hundreds.
 */
import { execFileSync } from "node:child_process";
import { rmSync } from "node:fs";
import { dirname, join, resolve } from "node:path";
import process from "node:process";
import { build } from "esbuild";

/** V8 rejects compiled code that was created under other flags. */
const NODE_FLAGS = ["--max-old-space-size=160"];

/** Compiling takes a few seconds; a program that hangs must not stop the build. */
const COMPILE_TIMEOUT_MILLISECONDS = 60_000;

/** Drops all locales of zod except English, the only one in use. */
const englishOnly = {
  name: "english only",
  setup(pluginBuild) {
    pluginBuild.onLoad({ filter: /zod\/v4\/locales\/index\.js$/ }, () => ({
      contents: 'export { default as en } from "./en.js";',
      loader: "js",
    }));
  },
};

/**
 * Leaves out modules that are loaded but never used here: HTTP/2 (all servers
 * speak HTTP/1.1) and the native string decoder of cbor-x, which falls back to
 * JavaScript.
 */
const unusedModules = {
  name: "unused modules",
  setup(pluginBuild) {
    const filter = /(dispatcher\/client-h2\.js|cbor-extract\/index\.js)$/;
    pluginBuild.onLoad({ filter }, () => ({
      contents: "module.exports = undefined;",
      loader: "js",
    }));
  },
};

/** Replaces assertions whose messages take long to write. */
const plainAssertions = {
  name: "plain assertions",
  setup(pluginBuild) {
    const path = resolve("deploy/plain_assert.cjs");
    pluginBuild.onResolve({ filter: /^(node:)?assert$/ }, () => ({ path }));
  },
};

const outIndex = process.argv.indexOf("--out");
const outfile = outIndex < 0
  ? "target/sapphirecart.cjs"
  : process.argv[outIndex + 1];

const result = await build({
  entryPoints: ["platform/program.ts"],
  outfile,
  bundle: true,
  platform: "node",
  format: "cjs",
  target: "node20",
  minifySyntax: true,
  minifyWhitespace: true,
  metafile: true,
  alias: {
    "prom-client": "./deploy/prom_client_parts.js",
    undici: "./deploy/undici_parts.js",
  },
  plugins: [englishOnly, unusedModules, plainAssertions],
  logLevel: "warning",
});

const folder = dirname(outfile);
const launcher = join(folder, "launcher.cjs");
const warmUp = join(folder, "warm_up.cjs");
for (
  const [entryPoint, output] of [
    ["deploy/launcher.ts", launcher],
    ["platform/warm_up.ts", warmUp],
  ]
) {
  await build({
    entryPoints: [entryPoint],
    outfile: output,
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node20",
    logLevel: "warning",
  });
}
// Code that was compiled from an earlier bundle must never be used.
rmSync(`${outfile}.compiled`, { force: true });
try {
  execFileSync(process.execPath, [warmUp, outfile, launcher, ...NODE_FLAGS], {
    stdio: "inherit",
    timeout: COMPILE_TIMEOUT_MILLISECONDS,
  });
} catch (cause) {
  // The program also runs without compiled code, but starts more slowly.
  process.stderr.write(`no compiled code: ${cause.message}\n`);
}
rmSync(warmUp);

if (process.argv.includes("--sizes")) {
  const [output] = Object.values(result.metafile.outputs);
  const sizes = Object.entries(output.inputs)
    .map(([path, { bytesInOutput }]) => ({ path, bytes: bytesInOutput }))
    .sort((left, right) => right.bytes - left.bytes);
  process.stdout.write(
    `${
      sizes.slice(0, 40).map(({ path, bytes }) => `${bytes} ${path}`).join("\n")
    }\n`,
  );
}
