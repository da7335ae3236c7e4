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

/** A kind of fault. */
export type FaultKind = keyof typeof FAULT_WEIGHTS;

/** A fault with its start time and its duration. */
export interface ScheduledFault {
  readonly kind: FaultKind;
  readonly atMilliseconds: number;
  readonly forMilliseconds: number;
  /** Selects what the fault affects, modulo the number of candidates. */
  readonly target: number;
  /** Selects the variant of the fault, modulo the number of variants. */
  readonly variant: number;
}

const SHORTEST_FAULT_MILLISECONDS = 200;
const LONGEST_FAULT_MILLISECONDS = 2_500;
const FIRST_FAULT_MILLISECONDS = 1_000;
const SELECTOR_RANGE = 1_000;

function _drawKind(random: RandomSource): FaultKind {
  const kinds = Object.entries(FAULT_WEIGHTS) as [FaultKind, number][];
  const total = kinds.reduce((sum, [, weight]) => sum + weight, 0);
  let remaining = random.integer(total);
  for (const [kind, weight] of kinds) {
    if (remaining < weight) return kind;
    remaining -= weight;
  }
  return "router_killed";
}

/** Draws faults that may overlap, one per `meanIntervalMilliseconds` on average. */
export function scheduleFaults(
  seed: number,
  durationMilliseconds: number,
  meanIntervalMilliseconds: number,
): ScheduledFault[] {
  const random = createSeededRandom(seed);
  const faults: ScheduledFault[] = [];
  let at = FIRST_FAULT_MILLISECONDS;
  while (at < durationMilliseconds) {
    const range = LONGEST_FAULT_MILLISECONDS - SHORTEST_FAULT_MILLISECONDS;
    faults.push({
      kind: _drawKind(random),
      atMilliseconds: at,
      forMilliseconds: SHORTEST_FAULT_MILLISECONDS + random.integer(range),
      target: random.integer(SELECTOR_RANGE),
      variant: random.integer(SELECTOR_RANGE),
    });
    at += random.integer(2 * meanIntervalMilliseconds);
  }
  return faults;
}
