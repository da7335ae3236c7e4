/**
 * Runs the benches that count instead of measuring time, for CI, with the
 * default seed. A broken bound that KNOWN-RED.txt lists is printed and ignored;
 * any other broken bound fails the run.
 */
import { type BenchBound, isMet, type RunBench } from "./bench_report.ts";
import { type KnownFailure, readKnownFailures } from "./known_red.ts";

const SEED = 1;
const BENCHES: Readonly<Record<string, () => Promise<{ runBench: RunBench }>>> =
  {
    affinity: () => import("./affinity.ts"),
    control: () => import("./control.ts"),
    orders: () => import("./orders_bench.ts"),
    skew: () => import("./skew.ts"),
  };

function _isKnown(
  knownFailures: readonly KnownFailure[],
  bench: string,
  bound: BenchBound,
): boolean {
  return knownFailures.some((entry) =>
    entry.bench === bench && entry.bound === bound.name && entry.seed === SEED
  );
}

function _describe(
  bench: string,
  { name, value, comparison, limit }: BenchBound,
): string {
  return `${bench}: ${name}: ${value} ${
    comparison === "at_most" ? "<=" : ">="
  } ${limit}`;
}

const knownFailures = await readKnownFailures();
let held = 0;
let broken = 0;
for (const [name, load] of Object.entries(BENCHES)) {
  const { runBench } = await load();
  const { bounds } = await runBench({ seed: SEED, large: false });
  for (const bound of bounds.filter(({ isTimed }) => !isTimed)) {
    const isKnown = _isKnown(knownFailures, name, bound);
    if (isMet(bound)) {
      held++;
      console.log(`held      ${_describe(name, bound)}`);
      if (isKnown) {
        console.log("          listed in KNOWN-RED.txt, but holds in this run");
      }
    } else if (isKnown) {
      console.log(`KNOWN RED ${_describe(name, bound)}`);
    } else {
      broken++;
      console.log(`BROKEN    ${_describe(name, bound)}`);
    }
  }
}
console.log(`bounds: ${held} held, ${broken} broken`);
process.exitCode = broken === 0 && held > 0 ? 0 : 1;
