/**
 * A discrete-event clock. An event may belong to a process, whose events are
 * deferred while the process is paused.
 */
import {
  type Clock,
  type Subscription,
  TimerService,
} from "../src/timer_service.ts";

/** A process whose events are deferred while it is paused. */
export interface SimulatedProcess {
  pausedUntil: number;
}

interface _Event {
  readonly at: number;
  readonly process: SimulatedProcess | undefined;
  readonly run: () => void;
}

/** Runs events in chronological order. */
export class SimulatedTime {
  now = 0;
  /** Called after each event that ran. */
  onEvent: () => void = () => {};
  /** Sorted with the latest event first. */
  readonly #events: _Event[] = [];
  readonly #backlogs = new Map<SimulatedProcess, _Event[]>();

  after(
    delay: number,
    run: () => void,
    process?: SimulatedProcess,
  ): void {
    const event = { at: this.now + delay, process, run };
    let low = 0;
    let high = this.#events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const isLater = (this.#events[middle]?.at ?? 0) > event.at;
      if (isLater) low = middle + 1;
      else high = middle;
    }
    this.#events.splice(low, 0, event);
  }

  async runUntil(end: number): Promise<void> {
    for (;;) {
      const event = this.#events.at(-1);
      if (!event || event.at > end) break;
      this.#events.pop();
      this.now = event.at;
      const { process } = event;
      if (process && this.now < process.pausedUntil) {
        this.#defer(process, event);
        continue;
      }
      event.run();
      await new Promise(setImmediate);
      this.onEvent();
    }
    this.now = end;
  }

  /** Runs the events that fall due during a pause when the pause ends. */
  #defer(process: SimulatedProcess, event: _Event): void {
    const backlog = this.#backlogs.get(process);
    if (backlog) {
      backlog.push(event);
      return;
    }
    this.#backlogs.set(process, [event]);
    this.after(process.pausedUntil - this.now, () => {
      const events = this.#backlogs.get(process) ?? [];
      this.#backlogs.delete(process);
      for (const { run } of events) this.after(0, run, process);
    });
  }
}

/** The timers of one simulated process. */
export class SimulatedTimers extends TimerService {
  override readonly clock: Clock;
  readonly #after: (milliseconds: number, run: () => void) => void;

  constructor(
    clock: Clock,
    after: (milliseconds: number, run: () => void) => void,
  ) {
    super();
    this.clock = clock;
    this.#after = after;
  }

  override every(
    period: number,
    name: string,
    listener: () => void,
  ): Subscription {
    let next = this.after(period, name, () => {
      next = this.every(period, name, listener);
      listener();
    });
    return { cancel: () => next.cancel() };
  }

  override after(
    delay: number,
    _name: string,
    listener: () => void,
  ): Subscription {
    let isLive = true;
    this.#after(delay, () => {
      if (isLive) listener();
    });
    return { cancel: () => void (isLive = false) };
  }

  override stop(): void {}
}
