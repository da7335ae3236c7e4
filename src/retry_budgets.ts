/** The budgets from which a router takes the retries for each service. */
import type { RandomSource } from "./core/random.ts";
import { createRetryBudget, type RetryBudget } from "./core/retry_budget.ts";

/** Part of the configured retry allowance that the routers use. */
const RETRY_ALLOWANCE_RATIO = 0.8;

/** Retries that the fleet may send to each service. */
export interface RetryAllowance {
  /** Retries per request. */
  readonly ratio: number;
  /** Retries of the whole fleet in ten seconds, in addition to the ratio. */
  readonly fleetAllowance: number;
}

/** Options of the budgets. */
export interface RetryBudgetsOptions {
  readonly random: RandomSource;
  readonly allowance: () => RetryAllowance;
  /** Number of routers that share the fleet's allowance. */
  readonly sharingRouters: () => number;
}

/** The retry budgets of one router. */
export interface RetryBudgets {
  /** Returns the budget of a service. */
  of(service: string): RetryBudget;
  /** Returns the retries left for each service that had requests. */
  remaining(now: number): [service: string, retries: number][];
}

/** Creates the budgets; each begins with the first request for its service. */
export function createRetryBudgets(
  { random, allowance, sharingRouters }: RetryBudgetsOptions,
): RetryBudgets {
  const budgets = new Map<string, RetryBudget>();

  function create(): RetryBudget {
    return createRetryBudget({
      random,
      ratio: () => allowance().ratio * RETRY_ALLOWANCE_RATIO,
      allowance: () =>
        allowance().fleetAllowance * RETRY_ALLOWANCE_RATIO / sharingRouters(),
    });
  }

  return {
    of(service) {
      const budget = budgets.get(service) ?? create();
      budgets.set(service, budget);
      return budget;
    },
    remaining: (now) =>
      [...budgets].map(([service, budget]) => [service, budget.remaining(now)]),
  };
}
