/** Fills the tables of docs/CAPACITY.md from the slopes benchmark's figures. */
import {
  activeWorkspaces,
  type ControlTaskCost,
  FULL_SIZE,
  LIMITS,
  type PlatformCost,
} from "./slopes_full_size.ts";
import { significant, type Slope, valueAt } from "./slopes_measure.ts";

/** Contents of the figures file, from which the tables are generated. */
export interface CapacityFigures {
  readonly command: string;
  readonly baseMemoryBytes: number;
  readonly slopes: readonly Slope[];
  readonly duties: readonly ControlTaskCost[];
  readonly platform: readonly PlatformCost[];
}

/** Total cost of a router's control tasks, for comparison with its limits. */
export interface ControlSums {
  readonly bytesPerSecond: number;
  readonly corePercent: number;
  readonly memoryBytes: number;
  /** Traffic of a router that is aggregator, watcher and order lease owner. */
  readonly busiestBytesPerSecond: number;
}

const MECHANISMS: Readonly<Record<string, readonly [string, string]>> = {
  "caller entry": [
    "candidate sets of constant size; ledger of one incarnation",
    "decision microseconds; ledger",
  ],
  "chat home": ["chats spread by rendezvous hash", "chats; per remote chat"],
  "steward": [
    "one grant per request, renewed in batches every 5 s",
    "per request held 15 s; assignment by engines",
  ],
  "limit holder": [
    "shares leased for 6 s, renewed every 0.5 to 4.5 s by use",
    "active",
  ],
  "load dissemination": [
    "aggregator per data centre, summaries through a tree",
    "routers",
  ],
  "configuration": [
    "chunks by hash; only changed chunks travel and are parsed",
    "workspaces",
  ],
  "order-giver": ["64 groups with one lease each", "engines"],
  "membership": ["3 ring monitors, digests in probes", "routers"],
  "backend observation": ["observed by the steward's router only", "engines"],
  "engine polls": ["one reader per engine", "polls"],
  "host list": ["2 watchers per data centre read it each second", "hosts"],
};

/** Sums the costs of all control tasks of a router. */
export function sumControl(figures: CapacityFigures): ControlSums {
  function sum(of: (cost: ControlTaskCost) => number): number {
    return significant(
      figures.duties.reduce((total, cost) => total + of(cost), 0),
      3,
    );
  }
  return {
    bytesPerSecond: sum((cost) => cost.bytesPerSecond),
    corePercent: sum((cost) => cost.corePercent),
    memoryBytes: significant(
      figures.baseMemoryBytes + sum((cost) => cost.stateBytes),
      3,
    ),
    busiestBytesPerSecond: sum((cost) => cost.busiestBytesPerSecond),
  };
}

function _table(
  header: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const lines = [header, header.map(() => "---"), ...rows];
  return lines.map((cells) => `| ${cells.join(" | ")} |`).join("\n");
}

function _megabytes(bytes: number): number {
  return significant(bytes / 1e6, 3);
}

function _controlTaskTable({ duties }: CapacityFigures): string {
  return _table(
    [
      "duty",
      "state, MB",
      "messages/s",
      "bytes/s",
      "bytes/s, busiest node",
      "% of a core",
      "slope",
      "mechanism",
    ],
    duties.map((cost) => [
      cost.duty,
      _megabytes(cost.stateBytes),
      cost.messagesPerSecond,
      cost.bytesPerSecond,
      cost.busiestBytesPerSecond,
      cost.corePercent,
      MECHANISMS[cost.duty]?.[1] ?? "",
      MECHANISMS[cost.duty]?.[0] ?? "",
    ]),
  );
}

function _sumTable(figures: CapacityFigures): string {
  const sums = sumControl(figures);
  const rows: [string, number, number][] = [
    ["bytes/s, mean node", sums.bytesPerSecond, LIMITS.bytesPerSecond],
    [
      "bytes/s, node that bears the most of every duty",
      sums.busiestBytesPerSecond,
      LIMITS.bytesPerSecond,
    ],
    ["% of a core", sums.corePercent, LIMITS.corePercent],
    [
      "memory, MB, with the process itself",
      _megabytes(sums.memoryBytes),
      _megabytes(LIMITS.memoryBytes),
    ],
  ];
  return _table(
    ["sum per node", "value", "limit", "value / limit", "verdict"],
    rows.map(([name, value, limit]) => [
      name,
      value,
      limit,
      significant(value / limit, 3),
      value <= limit ? "within" : "**over**",
    ]),
  );
}

function _platformTable({ platform }: CapacityFigures): string {
  return _table(
    ["fleet", "writes/s", "reads/s", "waiting watches", "calls/s, all counted"],
    platform.map((cost) => [
      cost.source,
      cost.writes,
      cost.reads,
      cost.waitingWatches,
      significant(cost.writes + cost.reads + cost.waitingWatches, 3),
    ]),
  );
}

/** Sizes of platform objects at full size and at four times that size. */
function _valueTable({ slopes }: CapacityFigures): string {
  const values: readonly (readonly [string, string, number, string])[] = [
    ["configuration", "head bytes", FULL_SIZE.workspaces, "workspaces"],
    ["order-giver", "lease value bytes", FULL_SIZE.engines, "engines"],
    ["host list", "host list bytes", FULL_SIZE.routers, "hosts"],
  ];
  return _table(
    ["value", "bytes at full size", "bytes at four times", "driver"],
    values.map(([duty, metric, size, driver]) => {
      const slope = slopes.find((entry) =>
        entry.duty === duty && entry.metric === metric
      );
      const sizes = [size, 4 * size].map((at) =>
        slope ? significant(Math.max(0, valueAt(slope, at)), 3) : NaN
      );
      return [metric, ...sizes, driver];
    }),
  );
}

function _slopeTable(slopes: readonly Slope[]): string {
  return _table(
    ["duty", "metric", "sizes", "values", "slope", "at 0", "residual"],
    slopes.map((slope) => [
      slope.duty,
      slope.metric,
      `${slope.sizes.join(", ")} ${slope.driver}`,
      slope.values.join(", "),
      slope.slope,
      slope.intercept,
      slope.residual,
    ]),
  );
}

function _inputTable(figures: CapacityFigures): string {
  return _table(["input", "value"], [
    ["command", `\`${figures.command}\``],
    [
      "memory of a process with all modules loaded, MB",
      _megabytes(figures.baseMemoryBytes),
    ],
    ["active workspaces per router", significant(activeWorkspaces(), 3)],
  ]);
}

/** Replaces the text between the start and end marker of each table. */
export function fillPage(page: string, figures: CapacityFigures): string {
  const tables: Readonly<Record<string, string>> = {
    inputs: _inputTable(figures),
    duties: _controlTaskTable(figures),
    sums: _sumTable(figures),
    platform: _platformTable(figures),
    values: _valueTable(figures),
    configuration: _slopeTable(
      figures.slopes.filter((slope) => slope.duty === "configuration"),
    ),
    slopes: _slopeTable(
      figures.slopes.filter((slope) => slope.duty !== "configuration"),
    ),
  };
  return Object.entries(tables).reduce((text, [name, table]) => {
    const [start, end] = [`<!-- begin ${name} -->`, `<!-- end ${name} -->`];
    const [from, to] = [text.indexOf(start), text.indexOf(end)];
    if (from < 0 || to < from) throw new Error(`no complete section ${start}`);
    return `${text.slice(0, from + start.length)}\n${table}\n${text.slice(to)}`;
  }, page);
}
