/**
 * Starts a bundled script from its compiled code. Without valid compiled code
 * (another Node.js release or other flags) the script is compiled as usual.
 * With --compile, the compiled code is written when the process exits.
 *
 * Usage: node launcher.cjs SCRIPT [--compile]
 */
import { readFileSync, writeFileSync } from "node:fs";
import Module from "node:module";
import { dirname, resolve } from "node:path";
import process from "node:process";
import { Script } from "node:vm";

/** The function that Node.js wraps around a CommonJS module. */
type _ModuleFunction = (
  exports: object,
  require: NodeJS.Require,
  module: { exports: object },
  filename: string,
  folder: string,
) => void;

function _readCompiledCode(path: string): Buffer | undefined {
  try {
    return readFileSync(path);
  } catch {
    return undefined;
  }
}

function _start(path: string, isCompiling: boolean): void {
  const filename = resolve(path);
  const compiledPath = `${filename}.compiled`;
  const cachedData = isCompiling ? undefined : _readCompiledCode(compiledPath);
  const script = new Script(Module.wrap(readFileSync(filename, "utf8")), {
    filename,
    ...(cachedData && { cachedData }),
  });
  if (isCompiling) {
    // At the exit, V8 has compiled the functions that the run used.
    process.on("exit", () => {
      writeFileSync(compiledPath, script.createCachedData());
    });
  }
  const bundled = { exports: {} };
  const run = script.runInThisContext() as _ModuleFunction;
  const require = Module.createRequire(filename);
  run(bundled.exports, require, bundled, filename, dirname(filename));
}

const [path = "", mode] = process.argv.slice(2);
_start(path, mode === "--compile");
