/** Watches the fleet during the demo: engine loads against the bound, and the effects of calls. */
import type { ManagedProcess } from "../stand_ins/processes.ts";

const SAMPLE_PERIOD_MILLISECONDS = 200;

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

/** What was seen of the engines' loads. */
export interface LoadObservation {
  samples: number;
  /** Largest load relative to the mean of the accepting engines. */
  maximumOverMean: number;
  /** Samples above both the multiple of the mean and the mean plus one request. */
  violations: number;
}

/** A running observer. */
export interface LoadObserver {
  readonly observation: LoadObservation;
  /** Leaves an engine out of the mean, as it takes no new work. */
  exclude(name: string): void;
  stop(): Promise<void>;
}

async function _readCounters<Counters>(
  process: ManagedProcess,
): Promise<Counters> {
  const response = await fetch(`http://${process.address}/counters`);
  return await response.json() as Counters;
}

/** Samples the engines' tokens in flight. */
export function observeLoads(
  engines: readonly ManagedProcess[],
  bound: { readonly ratio: number; readonly requestTokens: number },
): LoadObserver {
  const observation: LoadObservation = {
    samples: 0,
    maximumOverMean: 0,
    violations: 0,
  };
  const excluded = new Set<string>();
  let stopping = false;

  async function sample(): Promise<void> {
    const observed = engines.filter(({ name }) => !excluded.has(name));
    const counters = await Promise.all(
      observed.map((engine) => _readCounters<EngineCounters>(engine)),
    );
    const loads = counters.map((entry) => entry.tokens_in_flight);
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    if (!(mean > 0)) return;
    const highest = Math.max(...loads);
    observation.samples++;
    observation.maximumOverMean = Math.max(
      observation.maximumOverMean,
      highest / mean,
    );
    if (highest > Math.max(bound.ratio * mean, mean + bound.requestTokens)) {
      observation.violations++;
    }
  }

  async function run(): Promise<void> {
    while (!stopping) {
      await sample();
      await new Promise((resolve) =>
        setTimeout(resolve, SAMPLE_PERIOD_MILLISECONDS)
      );
    }
  }

  const running = run();
  return {
    observation,
    exclude: (name) => void excluded.add(name),
    async stop() {
      stopping = true;
      await running;
    },
  };
}

/** Returns how often each item was changed, over all plain services. */
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
