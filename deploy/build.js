/**
 * Bundles the gateway into one file: a process that loads one file starts
 * several times faster than one that loads hundreds.
 */
import { build } from "esbuild";

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

const outIndex = process.argv.indexOf("--out");
const outfile = outIndex < 0
  ? "target/sapphirecart.mjs"
  : process.argv[outIndex + 1];

const result = await build({
  entryPoints: ["platform/main.ts"],
  outfile,
  bundle: true,
  platform: "node",
  format: "esm",
  target: "node20",
  minifySyntax: true,
  minifyWhitespace: true,
  metafile: true,
  alias: { undici: "./deploy/undici_parts.js" },
  plugins: [englishOnly],
  logLevel: "warning",
  // Bundled CommonJS packages call require, which ES modules do not define.
  banner: {
    js:
      "import{createRequire as bundleRequire}from'node:module';const require=bundleRequire(import.meta.url);",
  },
});
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
