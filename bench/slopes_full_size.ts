/**
 * Extrapolates measured slopes to the full size: the cost of each control task
 * on the mean router and on the busiest one, and the rate of platform calls.
 */
import { significant, type Slope, valueAt } from "./slopes_measure.ts";

/** Full size as specified in section 1.2 of the design. */
export const FULL_SIZE = {
  routers: 410,
  engines: 880,
  requestsPerSecond: 2_500,
  tokensPerSecond: 550_000,
  chats: 11_000_000,
  workspaces: 47_000,
  dataCentres: 7,
  changesPerDay: 4_500,
  failuresPerDay: 13,
  replacementsPerDay: 110,
  tokenMilliseconds: 73,
} as const;

/** Limits on what one node may use for control tasks. */
export const LIMITS = {
  bytesPerSecond: 24 * 1_024,
  corePercent: 2.1,
  memoryBytes: 128e6,
} as const;

const DAY_SECONDS = 86_400;
const IDLE_SECONDS = 10;
const RETENTION_SECONDS = 600;
const ADDRESSES_PER_WORKSPACE = 3;
const ORDER_GROUPS = 64;
const POLLS_PER_SECOND = 4;
const WATCHERS_PER_DATA_CENTRE = 2;
const HEAD_READ_SECONDS = 5;
const WATCH_SECONDS = 30;
/** Each message counts at its sender and at its receiver. */
const ENDPOINTS_PER_MESSAGE = 2;
/** Bytes of announcement, head difference and requests per changed chunk. */
const CHANGE_OVERHEAD_BYTES = 1_200;
const CHANGE_MESSAGES = 10;
const REPAIR_BYTES = 150;
/**
 * Platform reads of a starting router before a peer responds: the head and at
 * most one batch of chunks.
 */
const READS_PER_START = 33;

/** Cost of one control task for one router. */
export interface ControlTaskCost {
  readonly duty: string;
  readonly stateBytes: number;
  readonly messagesPerSecond: number;
  readonly bytesPerSecond: number;
  readonly corePercent: number;
  /** Traffic of the router with the largest share of this task. */
  readonly busiestBytesPerSecond: number;
}

/** Platform calls per second of the whole fleet. */
export interface PlatformCost {
  readonly source: string;
  readonly writes: number;
  readonly reads: number;
  readonly waitingWatches: number;
}

/** Looks up slopes by duty and metric. */
export class SlopeTable {
  readonly #slopes: ReadonlyMap<string, Slope>;

  constructor(slopes: readonly Slope[]) {
    this.#slopes = new Map(
      slopes.map((slope) => [`${slope.duty}/${slope.metric}`, slope]),
    );
  }

  valueAt(duty: string, metric: string, size: number): number {
    return valueAt(this.#find(duty, metric), size);
  }

  slopeOf(duty: string, metric: string): number {
    return this.#find(duty, metric).slope;
  }

  #find(duty: string, metric: string): Slope {
    const slope = this.#slopes.get(`${duty}/${metric}`);
    if (!slope) throw new Error(`no slope for ${duty}/${metric}`);
    return slope;
  }
}

function _percent(microsecondsPerSecond: number): number {
  return microsecondsPerSecond / 1e4;
}

/** Requests per second that enter at one router. */
const REQUESTS = FULL_SIZE.requestsPerSecond / FULL_SIZE.routers;
const REQUEST_SECONDS = FULL_SIZE.tokensPerSecond /
  FULL_SIZE.requestsPerSecond *
  FULL_SIZE.tokenMilliseconds / 1_000;
const ENGINES_PER_ROUTER = FULL_SIZE.engines / FULL_SIZE.routers;

/**
 * Estimates the workspaces that hold a share of their limit at one router,
 * assuming requests spread evenly over all workspaces. Real traffic is more
 * uneven and has fewer active workspaces.
 */
export function activeWorkspaces(): number {
  const workspaces = FULL_SIZE.workspaces * ADDRESSES_PER_WORKSPACE /
    FULL_SIZE.routers;
  const rate = REQUESTS / workspaces;
  return workspaces * (1 - Math.exp(-rate * (IDLE_SECONDS + REQUEST_SECONDS)));
}

function _uniformCost(
  duty: string,
  cost: Omit<ControlTaskCost, "duty" | "busiestBytesPerSecond">,
): ControlTaskCost {
  return { duty, ...cost, busiestBytesPerSecond: cost.bytesPerSecond };
}

function _requestTasks(table: SlopeTable): ControlTaskCost[] {
  const decision = table.valueAt(
    "caller entry",
    "decision microseconds",
    FULL_SIZE.engines,
  );
  const deduplication = table.slopeOf(
    "caller entry",
    "ledger processor microseconds",
  );
  const events = FULL_SIZE.changesPerDay +
    2 * (FULL_SIZE.failuresPerDay + FULL_SIZE.replacementsPerDay);
  const assignment = table.valueAt(
    "steward",
    "processor microseconds of assigning duties",
    FULL_SIZE.engines,
  ) * events / DAY_SECONDS;
  const active = activeWorkspaces();
  return [
    _uniformCost("caller entry", {
      stateBytes: table.slopeOf("caller entry", "ledger state bytes") *
        REQUESTS *
        RETENTION_SECONDS,
      messagesPerSecond: 0,
      bytesPerSecond: 0,
      corePercent: _percent((decision + deduplication) * REQUESTS),
    }),
    _uniformCost("chat home", {
      stateBytes: table.valueAt(
        "chat home",
        "state bytes",
        FULL_SIZE.chats / FULL_SIZE.routers,
      ),
      messagesPerSecond: ENDPOINTS_PER_MESSAGE * REQUESTS *
        table.slopeOf("chat home", "messages at each end, remote chats"),
      bytesPerSecond: ENDPOINTS_PER_MESSAGE * REQUESTS *
        table.slopeOf("chat home", "bytes at each end, remote chats"),
      corePercent: _percent(
        REQUESTS *
          table.slopeOf("chat home", "processor microseconds, both ends"),
      ),
    }),
    _uniformCost("steward", {
      stateBytes: REQUESTS * REQUEST_SECONDS *
        table.slopeOf("steward", "state bytes, both ends"),
      messagesPerSecond: ENDPOINTS_PER_MESSAGE * REQUESTS *
        table.slopeOf("steward", "messages at each end"),
      bytesPerSecond: ENDPOINTS_PER_MESSAGE * REQUESTS *
        table.slopeOf("steward", "bytes at each end"),
      corePercent: _percent(
        assignment + REQUESTS *
            table.slopeOf("steward", "processor microseconds, both ends"),
      ),
    }),
    _uniformCost("limit holder", {
      stateBytes: table.valueAt(
        "limit holder",
        "state bytes, both ends",
        active,
      ),
      messagesPerSecond: ENDPOINTS_PER_MESSAGE *
        table.valueAt("limit holder", "messages a second at the entry", active),
      bytesPerSecond: ENDPOINTS_PER_MESSAGE *
        table.valueAt("limit holder", "bytes a second at the entry", active),
      corePercent: _percent(
        table.slopeOf(
          "limit holder",
          "processor microseconds a second, both ends",
        ) *
          active,
      ),
    }),
  ];
}

function _fleetTasks(table: SlopeTable): ControlTaskCost[] {
  const { routers, engines, workspaces } = FULL_SIZE;
  const changes = FULL_SIZE.changesPerDay / DAY_SECONDS;
  const events = (FULL_SIZE.failuresPerDay + FULL_SIZE.replacementsPerDay) /
    DAY_SECONDS;
  const changeMilliseconds = table.valueAt(
    "configuration",
    "join of a change, ms",
    workspaces,
  ) + table.valueAt("configuration", "indexes after a change, ms", workspaces);
  const changeBytes = changes * ENDPOINTS_PER_MESSAGE *
    (table.valueAt("configuration", "bytes fetched per change", workspaces) +
      CHANGE_OVERHEAD_BYTES);
  const hostList = table.valueAt("host list", "host list bytes", routers);
  const orderPolls = engines / ORDER_GROUPS;
  const orderShare = ORDER_GROUPS / routers;
  const statePoll = table.slopeOf("engine polls", "bytes of state polls");
  const repair = 4 * REPAIR_BYTES;
  return [
    {
      duty: "load dissemination",
      stateBytes: table.valueAt("load", "state bytes", routers),
      messagesPerSecond: table.valueAt(
        "load",
        "messages a second, mean router",
        routers,
      ),
      bytesPerSecond: table.valueAt(
        "load",
        "bytes a second, mean router",
        routers,
      ),
      corePercent: _percent(
        table.valueAt(
          "load",
          "processor microseconds a second, mean router",
          routers,
        ),
      ),
      busiestBytesPerSecond: table.valueAt(
        "load",
        "bytes a second, busiest router",
        routers,
      ),
    },
    {
      duty: "configuration",
      stateBytes: table.valueAt("configuration", "state bytes", workspaces),
      messagesPerSecond: CHANGE_MESSAGES * changes,
      bytesPerSecond: changeBytes,
      corePercent: _percent(1_000 * changeMilliseconds * changes),
      // The root of a data centre's distribution tree serves four children.
      busiestBytesPerSecond: changeBytes * 5 / ENDPOINTS_PER_MESSAGE,
    },
    {
      duty: "order-giver",
      stateBytes: table.valueAt("order-giver", "state bytes, fleet", engines) /
        ORDER_GROUPS,
      messagesPerSecond: ENDPOINTS_PER_MESSAGE * orderPolls * orderShare,
      bytesPerSecond: orderPolls * statePoll * orderShare,
      corePercent: _percent(
        table.valueAt(
          "order-giver",
          "processor microseconds a second, fleet",
          engines,
        ) /
          routers,
      ),
      busiestBytesPerSecond: orderPolls * statePoll,
    },
    _uniformCost("membership", {
      stateBytes: table.valueAt("membership", "state bytes", routers),
      messagesPerSecond: table.valueAt(
        "membership",
        "messages a second",
        routers,
      ),
      bytesPerSecond: table.valueAt("membership", "bytes a second", routers) +
        events *
          table.valueAt(
            "membership",
            "bytes of one failure and replacement",
            routers,
          ),
      corePercent: _percent(
        table.valueAt("membership", "processor microseconds a second", routers),
      ),
    }),
    _uniformCost("backend observation", {
      stateBytes: table.valueAt("backend observation", "state bytes", engines),
      messagesPerSecond: 0.4,
      bytesPerSecond: repair / 10,
      corePercent: _percent(
        table.valueAt(
          "backend observation",
          "processor microseconds a second",
          engines,
        ),
      ),
    }),
    _uniformCost("engine polls", {
      stateBytes: 0,
      messagesPerSecond: ENDPOINTS_PER_MESSAGE * ENGINES_PER_ROUTER *
        (POLLS_PER_SECOND + 2),
      bytesPerSecond: ENGINES_PER_ROUTER * (POLLS_PER_SECOND *
          table.slopeOf("engine polls", "bytes of load polls") +
        statePoll +
        table.slopeOf("engine polls", "bytes of cache event polls")),
      corePercent: 0,
    }),
    {
      duty: "host list",
      stateBytes: 0,
      messagesPerSecond: 0.8,
      bytesPerSecond: repair / 5 +
        hostList * _watcherCount() / routers,
      corePercent: 0,
      busiestBytesPerSecond: repair / 5 + hostList,
    },
  ];
}

function _watcherCount(): number {
  return WATCHERS_PER_DATA_CENTRE * FULL_SIZE.dataCentres;
}

/** Calculates the cost of each control task of one router at full size. */
export function controlTaskCosts(table: SlopeTable): ControlTaskCost[] {
  return [..._requestTasks(table), ..._fleetTasks(table)].map((cost) => ({
    duty: cost.duty,
    stateBytes: significant(cost.stateBytes, 3),
    messagesPerSecond: significant(cost.messagesPerSecond, 3),
    bytesPerSecond: significant(cost.bytesPerSecond, 3),
    corePercent: significant(cost.corePercent, 3),
    busiestBytesPerSecond: significant(cost.busiestBytesPerSecond, 3),
  }));
}

/**
 * Calculates the rate of platform calls on an ordinary day, at peak load and
 * after an outage.
 */
export function platformCosts(table: SlopeTable): PlatformCost[] {
  const watchers = _watcherCount();
  const changes = FULL_SIZE.changesPerDay / DAY_SECONDS;
  const starts = (FULL_SIZE.failuresPerDay + FULL_SIZE.replacementsPerDay) /
    DAY_SECONDS;
  const leases = table.valueAt(
    "order-giver",
    "platform writes a second, fleet",
    FULL_SIZE.engines,
  );
  const reads = watchers / HEAD_READ_SECONDS + watchers +
    watchers / WATCH_SECONDS;
  // A change writes one chunk and the head and removes one chunk; every watcher
  // reads the new chunk.
  function costsAt(changesPerSecond: number, startsPerSecond: number) {
    return {
      writes: leases + 3 * changesPerSecond,
      reads: reads + READS_PER_START * startsPerSecond +
        changesPerSecond * (2 + 2 * watchers),
      waitingWatches: watchers,
    };
  }
  const costs: PlatformCost[] = [
    { source: "ordinary day", ...costsAt(changes, starts) },
    {
      source: "peak: one change a second, 59 starts in 10 s",
      ...costsAt(1, 5.9),
    },
    {
      source: "minute after an outage",
      writes: leases + ORDER_GROUPS / 60,
      reads: reads + (ORDER_GROUPS + watchers) / 60,
      waitingWatches: watchers,
    },
  ];
  return costs.map((cost) => ({
    ...cost,
    writes: significant(cost.writes, 3),
    reads: significant(cost.reads, 3),
  }));
}
