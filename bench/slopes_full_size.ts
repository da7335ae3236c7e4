/**
 * The design at full size, calculated from measured slopes: each duty on the
 * mean router and on the busiest one, and the calls to the platform.
 */
import { significant, type Slope, valueAt } from "./slopes_measure.ts";

/** The full size of section 1.2 of the design. */
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

/** What a node may spend on control. */
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
/** Each message is one router's as sender and another's as receiver. */
const BOTH_ROLES = 2;
/** Announcement, head difference and requests around a changed chunk. */
const CHANGE_OVERHEAD_BYTES = 1_200;
const CHANGE_MESSAGES = 10;
const REPAIR_BYTES = 150;
/** The head and at most one batch of chunks, until a peer has answered. */
const READS_PER_START = 33;

/** What one duty costs one router. */
export interface ControlTaskCost {
  readonly duty: string;
  readonly stateBytes: number;
  readonly messagesPerSecond: number;
  readonly bytesPerSecond: number;
  readonly corePercent: number;
  /** Traffic of the router that bears most of this duty. */
  readonly busiestBytesPerSecond: number;
}

/** Calls to the platform a second, by the whole fleet. */
export interface PlatformCost {
  readonly source: string;
  readonly writes: number;
  readonly reads: number;
  readonly waitingWatches: number;
}

/** Reads slopes by duty and metric. */
export class SlopeTable {
  readonly #slopes: ReadonlyMap<string, Slope>;

  constructor(slopes: readonly Slope[]) {
    this.#slopes = new Map(
      slopes.map((slope) => [`${slope.duty}/${slope.metric}`, slope]),
    );
  }

  at(duty: string, metric: string, size: number): number {
    return valueAt(this.#of(duty, metric), size);
  }

  per(duty: string, metric: string): number {
    return this.#of(duty, metric).slope;
  }

  #of(duty: string, metric: string): Slope {
    const slope = this.#slopes.get(`${duty}/${metric}`);
    if (!slope) throw new Error(`no slope ${duty}/${metric}`);
    return slope;
  }
}

function _percent(microsecondsPerSecond: number): number {
  return microsecondsPerSecond / 1e4;
}

/** Requests a second that enter at one router. */
const REQUESTS = FULL_SIZE.requestsPerSecond / FULL_SIZE.routers;
const HELD_SECONDS = FULL_SIZE.tokensPerSecond / FULL_SIZE.requestsPerSecond *
  FULL_SIZE.tokenMilliseconds / 1_000;
const ENGINES_PER_ROUTER = FULL_SIZE.engines / FULL_SIZE.routers;

/**
 * Workspaces with a share at one router, if requests fall evenly on all
 * workspaces; real traffic is more uneven and has fewer.
 */
export function activeWorkspaces(): number {
  const workspaces = FULL_SIZE.workspaces * ADDRESSES_PER_WORKSPACE /
    FULL_SIZE.routers;
  const rate = REQUESTS / workspaces;
  return workspaces * (1 - Math.exp(-rate * (IDLE_SECONDS + HELD_SECONDS)));
}

function _even(
  duty: string,
  cost: Omit<ControlTaskCost, "duty" | "busiestBytesPerSecond">,
): ControlTaskCost {
  return { duty, ...cost, busiestBytesPerSecond: cost.bytesPerSecond };
}

function _requestTasks(table: SlopeTable): ControlTaskCost[] {
  const decision = table.at(
    "caller entry",
    "decision microseconds",
    FULL_SIZE.engines,
  );
  const ledger = table.per("caller entry", "ledger processor microseconds");
  const events = FULL_SIZE.changesPerDay +
    2 * (FULL_SIZE.failuresPerDay + FULL_SIZE.replacementsPerDay);
  const assigning = table.at(
    "steward",
    "processor microseconds of assigning duties",
    FULL_SIZE.engines,
  ) * events / DAY_SECONDS;
  const active = activeWorkspaces();
  return [
    _even("caller entry", {
      stateBytes: table.per("caller entry", "ledger state bytes") * REQUESTS *
        RETENTION_SECONDS,
      messagesPerSecond: 0,
      bytesPerSecond: 0,
      corePercent: _percent((decision + ledger) * REQUESTS),
    }),
    _even("chat home", {
      stateBytes: table.at(
        "chat home",
        "state bytes",
        FULL_SIZE.chats / FULL_SIZE.routers,
      ),
      messagesPerSecond: BOTH_ROLES * REQUESTS *
        table.per("chat home", "messages at each end, remote chats"),
      bytesPerSecond: BOTH_ROLES * REQUESTS *
        table.per("chat home", "bytes at each end, remote chats"),
      corePercent: _percent(
        REQUESTS * table.per("chat home", "processor microseconds, both ends"),
      ),
    }),
    _even("steward", {
      stateBytes: REQUESTS * HELD_SECONDS *
        table.per("steward", "state bytes, both ends"),
      messagesPerSecond: BOTH_ROLES * REQUESTS *
        table.per("steward", "messages at each end"),
      bytesPerSecond: BOTH_ROLES * REQUESTS *
        table.per("steward", "bytes at each end"),
      corePercent: _percent(
        assigning + REQUESTS *
            table.per("steward", "processor microseconds, both ends"),
      ),
    }),
    _even("limit holder", {
      stateBytes: table.at("limit holder", "state bytes, both ends", active),
      messagesPerSecond: BOTH_ROLES *
        table.at("limit holder", "messages a second at the entry", active),
      bytesPerSecond: BOTH_ROLES *
        table.at("limit holder", "bytes a second at the entry", active),
      corePercent: _percent(
        table.per(
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
  const changeMilliseconds = table.at(
    "configuration",
    "join of a change, ms",
    workspaces,
  ) + table.at("configuration", "indexes after a change, ms", workspaces);
  const changeBytes = changes * BOTH_ROLES *
    (table.at("configuration", "bytes fetched per change", workspaces) +
      CHANGE_OVERHEAD_BYTES);
  const hostList = table.at("host list", "host list bytes", routers);
  const orderPolls = engines / ORDER_GROUPS;
  const orderShare = ORDER_GROUPS / routers;
  const statePoll = table.per("engine polls", "bytes of state polls");
  const repair = 4 * REPAIR_BYTES;
  return [
    {
      duty: "load dissemination",
      stateBytes: table.at("load", "state bytes", routers),
      messagesPerSecond: table.at(
        "load",
        "messages a second, mean router",
        routers,
      ),
      bytesPerSecond: table.at("load", "bytes a second, mean router", routers),
      corePercent: _percent(
        table.at(
          "load",
          "processor microseconds a second, mean router",
          routers,
        ),
      ),
      busiestBytesPerSecond: table.at(
        "load",
        "bytes a second, busiest router",
        routers,
      ),
    },
    {
      duty: "configuration",
      stateBytes: table.at("configuration", "state bytes", workspaces),
      messagesPerSecond: CHANGE_MESSAGES * changes,
      bytesPerSecond: changeBytes,
      corePercent: _percent(1_000 * changeMilliseconds * changes),
      // The root of a data centre's tree serves four children.
      busiestBytesPerSecond: changeBytes * 5 / BOTH_ROLES,
    },
    {
      duty: "order-giver",
      stateBytes: table.at("order-giver", "state bytes, fleet", engines) /
        ORDER_GROUPS,
      messagesPerSecond: BOTH_ROLES * orderPolls * orderShare,
      bytesPerSecond: orderPolls * statePoll * orderShare,
      corePercent: _percent(
        table.at(
          "order-giver",
          "processor microseconds a second, fleet",
          engines,
        ) /
          routers,
      ),
      busiestBytesPerSecond: orderPolls * statePoll,
    },
    _even("membership", {
      stateBytes: table.at("membership", "state bytes", routers),
      messagesPerSecond: table.at("membership", "messages a second", routers),
      bytesPerSecond: table.at("membership", "bytes a second", routers) +
        events *
          table.at(
            "membership",
            "bytes of one failure and replacement",
            routers,
          ),
      corePercent: _percent(
        table.at("membership", "processor microseconds a second", routers),
      ),
    }),
    _even("backend observation", {
      stateBytes: table.at("backend observation", "state bytes", engines),
      messagesPerSecond: 0.4,
      bytesPerSecond: repair / 10,
      corePercent: _percent(
        table.at(
          "backend observation",
          "processor microseconds a second",
          engines,
        ),
      ),
    }),
    _even("engine polls", {
      stateBytes: 0,
      messagesPerSecond: BOTH_ROLES * ENGINES_PER_ROUTER *
        (POLLS_PER_SECOND + 2),
      bytesPerSecond: ENGINES_PER_ROUTER * (POLLS_PER_SECOND *
          table.per("engine polls", "bytes of load polls") +
        statePoll +
        table.per("engine polls", "bytes of cache event polls")),
      corePercent: 0,
    }),
    {
      duty: "host list",
      stateBytes: 0,
      messagesPerSecond: 0.8,
      bytesPerSecond: repair / 5 +
        hostList * _watchers() / routers,
      corePercent: 0,
      busiestBytesPerSecond: repair / 5 + hostList,
    },
  ];
}

function _watchers(): number {
  return WATCHERS_PER_DATA_CENTRE * FULL_SIZE.dataCentres;
}

/** The duties of one router at full size. */
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

/** The calls to the platform on an ordinary day, at a peak and after an outage. */
export function platformCosts(table: SlopeTable): PlatformCost[] {
  const watchers = _watchers();
  const changes = FULL_SIZE.changesPerDay / DAY_SECONDS;
  const starts = (FULL_SIZE.failuresPerDay + FULL_SIZE.replacementsPerDay) /
    DAY_SECONDS;
  const leases = table.at(
    "order-giver",
    "platform writes a second, fleet",
    FULL_SIZE.engines,
  );
  const reads = watchers / HEAD_READ_SECONDS + watchers +
    watchers / WATCH_SECONDS;
  // A change: one chunk, the head, one removal; every watcher reads the chunk.
  function day(changesPerSecond: number, startsPerSecond: number) {
    return {
      writes: leases + 3 * changesPerSecond,
      reads: reads + READS_PER_START * startsPerSecond +
        changesPerSecond * (2 + 2 * watchers),
      waitingWatches: watchers,
    };
  }
  const costs: PlatformCost[] = [
    { source: "ordinary day", ...day(changes, starts) },
    { source: "peak: one change a second, 59 starts in 10 s", ...day(1, 5.9) },
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
