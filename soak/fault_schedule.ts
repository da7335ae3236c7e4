/** Draws a fault schedule that is determined by its seed. */
import { createSeededRandom, type RandomSource } from "../src/core/random.ts";

/** Relative frequency of each kind of fault. */
export const FAULT_WEIGHTS = {
  router_killed: 3,
  router_stopped: 4,
  router_paused: 2,
  router_reloaded: 1,
  all_routers_killed: 1,
  backend_crashed: 2,
  backend_replaced: 3,
  backend_fails: 2,
  backend_link: 2,
  router_link: 2,
  store_fails: 3,
  store_forgets: 1,
  configuration_changes: 3,
  key_revoked: 2,
} as const;

/** Notices that servers give in their responses, drawn from a source of their own. */
export const NOTICE_KINDS = ["backend_leaves", "backend_pauses"] as const;

/** Kinds of fault that were added later, each with the number of its own random source. */
export const SEPARATE_KINDS = {
  backend_limits: 2,
  store_restored: 3,
  store_silenced: 4,
  router_stopped_twice: 5,
  backend_malformed: 7,
  registration_odd: 8,
  router_suspended: 9,
  data_centre_evacuated: 10,
  servers_restart_cold: 11,
  client_greedy: 12,
} as const;

/** Kinds that need settings, servers or limits that other kinds do without. */
export const CAPACITY_KINDS = [
  "data_centre_evacuated",
  "servers_restart_cold",
  "client_greedy",
] as const;

/** Planned work in series and in overlap, drawn from one source of its own. */
export const PLANNED_KINDS = [
  "routers_stopped_together",
  "router_stopped_in_series",
  "router_stopped_amid_changes",
  "router_reloaded_in_series",
] as const;

/** Name of a kind of fault that schedules contain. */
export type FaultKind =
  | keyof typeof FAULT_WEIGHTS
  | (typeof NOTICE_KINDS)[number]
  | keyof typeof SEPARATE_KINDS
  | (typeof PLANNED_KINDS)[number];

/** All kinds of fault. */
export const FAULT_KINDS: readonly FaultKind[] = [
  ...Object.keys(FAULT_WEIGHTS) as FaultKind[],
  ...NOTICE_KINDS,
  ...Object.keys(SEPARATE_KINDS) as FaultKind[],
  ...PLANNED_KINDS,
];

/** Whether a text names a kind of fault. */
export function isFaultKind(text: string): text is FaultKind {
  return (FAULT_KINDS as readonly string[]).includes(text);
}

/** A fault with its start time and its duration. */
export interface ScheduledFault {
  readonly kind: FaultKind;
  readonly atMilliseconds: number;
  readonly forMilliseconds: number;
  /** Selects what the fault affects, modulo the number of candidates. */
  readonly target: number;
  /** Selects a variant, modulo the number of variants. */
  readonly variant: number;
}

const SHORTEST_FAULT_MILLISECONDS = 200;
const LONGEST_FAULT_MILLISECONDS = 2_500;
const FIRST_FAULT_AT_MILLISECONDS = 1_000;
const SELECTOR_RANGE = 1_000;
/** Keeps the faults of a seed as they are when notices are drawn. */
const NOTICE_SEED_OFFSET = 1_000_003;
/** Notices are this much rarer than other faults. */
const NOTICE_INTERVAL_FACTOR = 3;
/** Each of the separate kinds is this much rarer than other faults. */
const SEPARATE_INTERVAL_FACTOR = 6;

/** Number of the random source of planned work in series. */
const PLANNED_SOURCE = 6;
/** Planned work in series is this much rarer than other faults. */
const PLANNED_INTERVAL_FACTOR = 3;

type _DrawKind = (random: RandomSource) => FaultKind;

function _drawNoticeKind(random: RandomSource): FaultKind {
  return NOTICE_KINDS[random.integer(NOTICE_KINDS.length)] ?? "backend_leaves";
}

function _drawPlannedKind(random: RandomSource): FaultKind {
  return PLANNED_KINDS[random.integer(PLANNED_KINDS.length)] ??
    "routers_stopped_together";
}

function _drawFaultKind(random: RandomSource): FaultKind {
  const kinds = Object.entries(FAULT_WEIGHTS) as [FaultKind, number][];
  const total = kinds.reduce((sum, [, weight]) => sum + weight, 0);
  let remaining = random.integer(total);
  for (const [kind, weight] of kinds) {
    if (remaining < weight) return kind;
    remaining -= weight;
  }
  return "router_killed";
}

function _draw(
  random: RandomSource,
  drawKind: _DrawKind,
  durationMilliseconds: number,
  meanIntervalMilliseconds: number,
): ScheduledFault[] {
  const faults: ScheduledFault[] = [];
  let at = FIRST_FAULT_AT_MILLISECONDS;
  while (at < durationMilliseconds) {
    const range = LONGEST_FAULT_MILLISECONDS - SHORTEST_FAULT_MILLISECONDS;
    faults.push({
      kind: drawKind(random),
      atMilliseconds: at,
      forMilliseconds: SHORTEST_FAULT_MILLISECONDS + random.integer(range),
      target: random.integer(SELECTOR_RANGE),
      variant: random.integer(SELECTOR_RANGE),
    });
    at += random.integer(2 * meanIntervalMilliseconds);
  }
  return faults;
}

/**
 * Draws faults that may overlap, one per `meanIntervalMilliseconds` on average,
 * and notices of servers and planned work between them.
 */
export function scheduleFaults(
  seed: number,
  durationMilliseconds: number,
  meanIntervalMilliseconds: number,
): ScheduledFault[] {
  const faults = _draw(
    createSeededRandom(seed),
    _drawFaultKind,
    durationMilliseconds,
    meanIntervalMilliseconds,
  );
  const notices = _draw(
    createSeededRandom(seed + NOTICE_SEED_OFFSET),
    _drawNoticeKind,
    durationMilliseconds,
    NOTICE_INTERVAL_FACTOR * meanIntervalMilliseconds,
  );
  const kinds = Object.entries(SEPARATE_KINDS) as [FaultKind, number][];
  const separate = kinds.flatMap(([kind, source]) =>
    _draw(
      createSeededRandom(seed + source * NOTICE_SEED_OFFSET),
      () => kind,
      durationMilliseconds,
      SEPARATE_INTERVAL_FACTOR * meanIntervalMilliseconds,
    )
  );
  const planned = _draw(
    createSeededRandom(seed + PLANNED_SOURCE * NOTICE_SEED_OFFSET),
    _drawPlannedKind,
    durationMilliseconds,
    PLANNED_INTERVAL_FACTOR * meanIntervalMilliseconds,
  );
  return [...faults, ...notices, ...separate, ...planned].sort((left, right) =>
    left.atMilliseconds - right.atMilliseconds
  );
}
