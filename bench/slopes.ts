/**
 * Slopes benchmark: measures every control task of a router at several sizes,
 * fits lines and extrapolates to the full size. With `write` it writes the
 * figures file and the plot and fills the tables of the capacity page.
 */
import { execFileSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { init } from "echarts";
import type {
  BenchBound,
  BenchOptions,
  BenchReport,
  BenchRow,
} from "./bench_report.ts";
import { configurationSlopes } from "./slopes_configuration.ts";
import {
  controlTaskCosts,
  LIMITS,
  platformCosts,
  SlopeTable,
} from "./slopes_full_size.ts";
import { type CapacityFigures, fillPage, sumControl } from "./slopes_page.ts";
import { routerSlopes } from "./slopes_router.ts";
import { taskSlopes } from "./slopes_tasks.ts";

const FIGURES_FILE = "docs/capacity-figures.json";
const PAGE_FILE = "docs/CAPACITY.md";
const PLOT_FILE = "docs/capacity.svg";
const COMMAND = "npm run bench -- slopes --write";
const MAXIMUM_WRITES_PER_SECOND = 300;
const MAXIMUM_READS_PER_SECOND = 2_000;
const MAXIMUM_VALUE_BYTES = 1024 * 1024;

/** Measures the resident memory of a process that only loads all modules. */
function _measureBaseMemory(): number {
  const index = new URL("../src/mod.js", import.meta.url).href;
  const script = `await import(${JSON.stringify(index)});` +
    "console.log(process.memoryUsage().rss)";
  const output = execFileSync(
    process.execPath,
    ["--input-type=module", "--eval", script],
    { encoding: "utf8" },
  );
  return Number(output);
}

function _renderPlot(figures: CapacityFigures): string {
  const chart = init(null, null, {
    renderer: "svg",
    ssr: true,
    width: 900,
    height: 460,
  });
  chart.setOption({
    animation: false,
    title: { text: "Control of one router at full size, percent of the limit" },
    legend: { top: 30, type: "plain" },
    grid: { top: 130, left: 170, right: 30 },
    xAxis: { type: "value", name: "%" },
    yAxis: {
      type: "category",
      data: ["memory", "core", "bytes, busiest node", "bytes, mean node"],
    },
    series: figures.duties.map((cost) => ({
      type: "bar",
      stack: "all",
      name: cost.duty,
      data: [
        cost.stateBytes / LIMITS.memoryBytes,
        cost.corePercent / LIMITS.corePercent,
        cost.busiestBytesPerSecond / LIMITS.bytesPerSecond,
        cost.bytesPerSecond / LIMITS.bytesPerSecond,
      ].map((ratio) => Number((100 * ratio).toFixed(1))),
    })),
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

function _write(figures: CapacityFigures): void {
  writeFileSync(FIGURES_FILE, `${JSON.stringify(figures, null, 2)}\n`);
  writeFileSync(PLOT_FILE, `${_renderPlot(figures)}\n`);
  const page = readFileSync(PAGE_FILE, "utf8");
  writeFileSync(PAGE_FILE, fillPage(page, figures));
}

function _bounds(figures: CapacityFigures, table: SlopeTable): BenchBound[] {
  const sums = sumControl(figures);
  function atMost(name: string, value: number, limit: number): BenchBound {
    return { name, value, comparison: "at_most", limit };
  }
  return [
    atMost(
      "control bytes a second, mean node",
      sums.bytesPerSecond,
      LIMITS.bytesPerSecond,
    ),
    atMost(
      "control bytes a second, node that bears the most",
      sums.busiestBytesPerSecond,
      LIMITS.bytesPerSecond,
    ),
    atMost("control percent of a core", sums.corePercent, LIMITS.corePercent),
    atMost("memory bytes of a node", sums.memoryBytes, LIMITS.memoryBytes),
    atMost(
      "platform writes a second",
      Math.max(...figures.platform.map(({ writes }) => writes)),
      MAXIMUM_WRITES_PER_SECOND,
    ),
    atMost(
      "platform reads a second and waiting watches",
      Math.max(
        ...figures.platform.map((cost) => cost.reads + cost.waitingWatches),
      ),
      MAXIMUM_READS_PER_SECOND,
    ),
    atMost(
      "bytes of the largest platform value (the head at 47,000 workspaces)",
      table.valueAt("configuration", "head bytes", 47_000),
      MAXIMUM_VALUE_BYTES,
    ),
  ];
}

/** Runs the benchmark. */
export async function runBench(options: BenchOptions): Promise<BenchReport> {
  const slopes = [
    ...await configurationSlopes(options.large),
    ...await taskSlopes(),
    ...await routerSlopes(),
  ];
  const table = new SlopeTable(slopes);
  const figures: CapacityFigures = {
    command: COMMAND,
    baseMemoryBytes: _measureBaseMemory(),
    slopes,
    duties: controlTaskCosts(table),
    platform: platformCosts(table),
  };
  if (options.write) _write(figures);
  const rows = slopes.map((slope): BenchRow => ({
    ...slope,
    sizes: slope.sizes.join(" "),
    values: slope.values.join(" "),
  }));
  return {
    name: "slopes",
    rows: [...rows, ...figures.duties.map((cost): BenchRow => ({ ...cost }))],
    bounds: _bounds(figures, table),
  };
}
