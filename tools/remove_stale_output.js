/**
 * Removes compiled files whose source no longer exists. The compiler leaves them, and
 * the test runner would run the tests of files that were moved or deleted.
 */
import { existsSync, readdirSync, rmSync } from "node:fs";
import { join } from "node:path";

const OUTPUT_FOLDER = "dist";
const OUTPUT_ENDING = /(\.d\.ts|\.js|\.js\.map)$/;

/** Paths of the compiled files, relative to the output folder. */
function listOutput() {
  if (!existsSync(OUTPUT_FOLDER)) return [];
  return readdirSync(OUTPUT_FOLDER, { recursive: true })
    .filter((path) => OUTPUT_ENDING.test(path));
}

for (const path of listOutput()) {
  const source = path.replace(OUTPUT_ENDING, ".ts");
  if (!existsSync(source)) rmSync(join(OUTPUT_FOLDER, path));
}
