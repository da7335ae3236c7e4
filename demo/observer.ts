/** Observes the demo's fleet: loads of engines, and changes that calls made. */
import {
  createLoadBoundCheck,
  type LoadBoundLimits,
  type LoadObservation,
} from "./load_bound_check.ts";
import type { ManagedProcess } from "../stand_ins/processes.ts";

const SAMPLE_PERIOD_MILLISECONDS = 20;

interface EngineCounters {
  readonly tokens_in_flight: number;
  readonly prompt_tokens: number;
  readonly cached_tokens: number;
}

interface ServiceCounters {
  readonly items: Readonly<
    Record<string, { readonly changes: readonly unknown[] }>
  >;
}

/** Samples loads until it is stopped. */
export interface LoadObserver {
  readonly observation: LoadObservation;
  /** Excludes an engine from the mean, as it takes no new work. */
  exclude(name: string): void;
  stop(): Promise<void>;
}

async function _readCounters<Counters>(
  process: ManagedProcess,
): Promise<Counters> {
  const response = await fetch(`http://${process.address}/counters`);
  return await response.json() as Counters;
}

/** Samples the tokens in flight of engines and checks them against the bound. */
export function observeLoads(
  engines: readonly ManagedProcess[],
  limits: LoadBoundLimits,
): LoadObserver {
  const check = createLoadBoundCheck(limits);
  const startedAt = performance.now();
  const excluded = new Set<string>();
  let isStopping = false;

  async function sample(): Promise<void> {
    const observed = engines.filter(({ name }) => !excluded.has(name));
    const atMilliseconds = Math.round(performance.now() - startedAt);
    const loads = await Promise.all(observed.map(async (engine) => {
      const counters = await _readCounters<EngineCounters>(engine);
      return [engine.name, counters.tokens_in_flight] as const;
    }));
    check.add({ atMilliseconds, loads: Object.fromEntries(loads) });
  }

  async function sampleUntilStopped(): Promise<void> {
    while (!isStopping) {
      await sample();
      await new Promise((resolve) =>
        setTimeout(resolve, SAMPLE_PERIOD_MILLISECONDS)
      );
    }
  }

  const sampling = sampleUntilStopped();
  // `stop` rethrows a failure; until then, an error of the demo takes precedence.
  sampling.catch(() => undefined);
  return {
    observation: check.observation,
    exclude: (name) => void excluded.add(name),
    async stop() {
      isStopping = true;
      await sampling;
    },
  };
}

/** Returns the number of changes of each item, over all plain services. */
export async function countChanges(
  services: readonly ManagedProcess[],
): Promise<Map<string, number>> {
  const changes = new Map<string, number>();
  for (const service of services) {
    const { items } = await _readCounters<ServiceCounters>(service);
    for (const [item, entry] of Object.entries(items)) {
      changes.set(item, (changes.get(item) ?? 0) + entry.changes.length);
    }
  }
  return changes;
}
