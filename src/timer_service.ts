/**
 * The timer service. Tasks use it instead of global timers, so that tests can
 * control the time and a state dump can list pending timers by name.
 */

/** Reads the current time. */
export abstract class Clock {
  /** Milliseconds since an arbitrary start; never decreases. */
  abstract monotonicMilliseconds(): number;
  /** Milliseconds since the Unix epoch; may jump. */
  abstract wallMilliseconds(): number;
}

/** A pending timer that can be cancelled. */
export interface Subscription {
  cancel(): void;
}

/** Schedules one-time and periodic calls. */
export abstract class TimerService {
  abstract readonly clock: Clock;
  /** Calls the listener every `periodMilliseconds` until cancelled. */
  abstract every(
    periodMilliseconds: number,
    name: string,
    listener: () => void,
  ): Subscription;
  /** Calls the listener once after `delayMilliseconds` unless cancelled. */
  abstract after(
    delayMilliseconds: number,
    name: string,
    listener: () => void,
  ): Subscription;
  /** Cancels all pending timers. */
  abstract stop(): void;

  /** Resolves after a delay. */
  sleep(delayMilliseconds: number, name: string): Promise<void> {
    return new Promise((resolve) =>
      this.after(delayMilliseconds, name, resolve)
    );
  }
}

class _SystemClock extends Clock {
  override monotonicMilliseconds(): number {
    return performance.now();
  }

  override wallMilliseconds(): number {
    return Date.now();
  }
}

/**
 * Timers run before the input that arrived while the event loop stood still is read,
 * and that input may make a timeout needless. Listeners are therefore called in the
 * same turn after its poll.
 */
class _SystemTimerService extends TimerService {
  override readonly clock: Clock = new _SystemClock();
  readonly #pending = new Set<Subscription>();

  override every(
    periodMilliseconds: number,
    _name: string,
    listener: () => void,
  ): Subscription {
    let immediate: NodeJS.Immediate | undefined;
    const timer = setInterval(() => {
      immediate = setImmediate(listener);
    }, periodMilliseconds);
    return this.#track(() => {
      clearInterval(timer);
      clearImmediate(immediate);
    });
  }

  override after(
    delayMilliseconds: number,
    _name: string,
    listener: () => void,
  ): Subscription {
    let immediate: NodeJS.Immediate | undefined;
    const timer = setTimeout(() => {
      immediate = setImmediate(() => {
        this.#pending.delete(subscription);
        listener();
      });
    }, delayMilliseconds);
    const subscription = this.#track(() => {
      clearTimeout(timer);
      clearImmediate(immediate);
    });
    return subscription;
  }

  override stop(): void {
    for (const subscription of [...this.#pending]) subscription.cancel();
  }

  #track(clear: () => void): Subscription {
    const subscription: Subscription = {
      cancel: () => {
        this.#pending.delete(subscription);
        clear();
      },
    };
    this.#pending.add(subscription);
    return subscription;
  }
}

/** Creates a timer service that uses the system clocks. */
export function createSystemTimerService(): TimerService {
  return new _SystemTimerService();
}

interface _ManualTimer {
  dueMilliseconds: number;
  readonly order: number;
  readonly periodMilliseconds: number | undefined;
  readonly listener: () => void;
}

class _ManualClock extends Clock {
  nowMilliseconds = 0;

  override monotonicMilliseconds(): number {
    return this.nowMilliseconds;
  }

  override wallMilliseconds(): number {
    return this.nowMilliseconds;
  }
}

/** A timer service whose time advances only through {@link advance}. */
export class ManualTimerService extends TimerService {
  readonly #clock = new _ManualClock();
  readonly #timers = new Set<_ManualTimer>();
  #nextOrder = 0;

  override get clock(): Clock {
    return this.#clock;
  }

  override every(
    periodMilliseconds: number,
    _name: string,
    listener: () => void,
  ): Subscription {
    return this.#add(periodMilliseconds, periodMilliseconds, listener);
  }

  override after(
    delayMilliseconds: number,
    _name: string,
    listener: () => void,
  ): Subscription {
    return this.#add(delayMilliseconds, undefined, listener);
  }

  override stop(): void {
    this.#timers.clear();
  }

  /** Advances the time and calls due listeners in order of their due time. */
  advance(milliseconds: number): void {
    const end = this.#clock.nowMilliseconds + milliseconds;
    for (let timer = this.#nextDue(end); timer; timer = this.#nextDue(end)) {
      this.#fire(timer);
    }
    this.#clock.nowMilliseconds = end;
  }

  #add(
    delay: number,
    period: number | undefined,
    listener: () => void,
  ): Subscription {
    const timer: _ManualTimer = {
      dueMilliseconds: this.#clock.nowMilliseconds + delay,
      order: this.#nextOrder++,
      periodMilliseconds: period,
      listener,
    };
    this.#timers.add(timer);
    return { cancel: () => void this.#timers.delete(timer) };
  }

  #nextDue(end: number): _ManualTimer | undefined {
    let next: _ManualTimer | undefined;
    for (const timer of this.#timers) {
      if (timer.dueMilliseconds > end) continue;
      const earlier = !next || timer.dueMilliseconds < next.dueMilliseconds ||
        (timer.dueMilliseconds === next.dueMilliseconds &&
          timer.order < next.order);
      if (earlier) next = timer;
    }
    return next;
  }

  #fire(timer: _ManualTimer): void {
    this.#clock.nowMilliseconds = timer.dueMilliseconds;
    if (timer.periodMilliseconds === undefined) this.#timers.delete(timer);
    else timer.dueMilliseconds += timer.periodMilliseconds;
    timer.listener();
  }
}

/** Creates a timer service that tests advance manually. */
export function createManualTimerService(): ManualTimerService {
  return new ManualTimerService();
}
