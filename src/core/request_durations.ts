/**
 * The longest durations of the recent requests of each route, by which a stopping
 * router tells whether a request can still be finished.
 */
import { evictOldest } from "./bounded_map.ts";

const WINDOW_MILLISECONDS = 30_000;
const MAXIMUM_ROUTES = 4_096;

interface _Windows {
  number: number;
  longest: number;
  /** Longest duration of the window before. */
  previous: number;
}

/** The durations of one router's requests. */
export class RequestDurations {
  readonly #windows = new Map<string, _Windows>();

  /** Records a request that was served. */
  record(route: string, milliseconds: number, now: number): void {
    const windows = this.#current(route, now);
    windows.longest = Math.max(windows.longest, milliseconds);
  }

  /** Longest duration within the last half minute or a little more; 0 if none. */
  longest(route: string, now: number): number {
    if (!this.#windows.has(route)) return 0;
    const { longest, previous } = this.#current(route, now);
    return Math.max(longest, previous);
  }

  #current(route: string, now: number): _Windows {
    const number = Math.floor(now / WINDOW_MILLISECONDS);
    let windows = this.#windows.get(route);
    if (!windows) {
      windows = { number, longest: 0, previous: 0 };
      this.#windows.set(route, windows);
      evictOldest(this.#windows, MAXIMUM_ROUTES);
    }
    if (windows.number === number) return windows;
    windows.previous = windows.number === number - 1 ? windows.longest : 0;
    windows.longest = 0;
    windows.number = number;
    return windows;
  }
}

/** Creates durations without any requests. */
export function createRequestDurations(): RequestDurations {
  return new RequestDurations();
}
