/**
 * Continuous batching of the stand-in engine in scaled time: a priority queue,
 * a prefill rate, and a time per token that grows with the batch size.
 */
import { PRIORITIES, type Priority } from "../src/core/fleet_schema.ts";

/** Configures the speed and limits of a batch. */
export interface BatchOptions {
  readonly prefillTokensPerSecond: number;
  /** Time per token at a batch size of one. */
  readonly tokenMilliseconds: number;
  /** Relative increase of the time per token for each additional request. */
  readonly batchSlope: number;
  readonly maximumBatch: number;
  readonly capacityTokens: number;
  /** Simulated milliseconds per real millisecond. */
  readonly timeScale: number;
}

/** A generation request for the batch. */
export interface StreamRequest {
  readonly id: string;
  readonly requestId: string;
  readonly model: string;
  readonly priority: Priority;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** Tokens to generate. */
  readonly answer: readonly string[];
  readonly onFinish: () => void;
}

/** One generation. It continues after its caller disconnects. */
export class Stream {
  readonly request: StreamRequest;
  produced = 0;
  remainingPrefillTokens: number;
  state: "active" | "finished" | "cancelled" = "active";
  endedAt = 0;
  #waiters: (() => void)[] = [];

  constructor(request: StreamRequest) {
    this.request = request;
    this.remainingPrefillTokens = request.promptTokens - request.cachedTokens;
  }

  /** Load in tokens: uncached prompt tokens plus tokens to generate. */
  get size(): number {
    return this.request.promptTokens - this.request.cachedTokens +
      this.request.answer.length;
  }

  /** Resolves at the next token or when the stream ends. */
  changed(): Promise<void> {
    return new Promise((resolve) => this.#waiters.push(resolve));
  }

  /** Resolves once the stream has ended. */
  async ended(): Promise<void> {
    while (this.state === "active") await this.changed();
  }

  notify(): void {
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const resolve of waiters) resolve();
  }
}

/** Schedules streams and generates their tokens step by step. */
export class Batch {
  readonly #options: BatchOptions;
  readonly #waiting: Stream[] = [];
  readonly #running: Stream[] = [];
  #timer: NodeJS.Timeout | undefined;
  #nextStepAt = 0;
  #stalledUntil = 0;
  onChange: () => void = () => {};

  constructor(options: BatchOptions) {
    this.#options = options;
  }

  add(stream: Stream): void {
    this.#waiting.push(stream);
    this.#waiting.sort((left, right) =>
      PRIORITIES.indexOf(left.request.priority) -
      PRIORITIES.indexOf(right.request.priority)
    );
    this.onChange();
    if (this.#timer) return;
    this.#nextStepAt = performance.now();
    this.#schedule();
  }

  cancel(stream: Stream): void {
    if (stream.state === "active") this.#end(stream, "cancelled");
  }

  stall(milliseconds: number): void {
    this.#stalledUntil = performance.now() + milliseconds;
  }

  stop(): void {
    clearTimeout(this.#timer);
    for (const stream of this.active()) this.cancel(stream);
  }

  active(): Stream[] {
    return [...this.#running, ...this.#waiting];
  }

  tokensInFlight(): number {
    return this.active().reduce((sum, stream) => sum + stream.size, 0);
  }

  #schedule(): void {
    const delay = Math.max(1, this.#nextStepAt - performance.now());
    this.#timer = setTimeout(() => this.#advance(), delay);
  }

  #advance(): void {
    this.#timer = undefined;
    const now = performance.now();
    if (now < this.#stalledUntil) this.#nextStepAt = this.#stalledUntil;
    while (this.#nextStepAt <= now && this.active().length > 0) {
      this.#nextStepAt += this.#step() / this.#options.timeScale;
    }
    if (this.active().length > 0) this.#schedule();
  }

  /** Runs one batch step and returns its simulated duration in milliseconds. */
  #step(): number {
    this.#admit();
    const { tokenMilliseconds, batchSlope, prefillTokensPerSecond } =
      this.#options;
    const duration = tokenMilliseconds *
      (1 + batchSlope * (this.#running.length - 1));
    let prefillBudget = prefillTokensPerSecond * duration / 1_000;
    for (const stream of [...this.#running]) {
      const spent = Math.min(stream.remainingPrefillTokens, prefillBudget);
      prefillBudget -= spent;
      stream.remainingPrefillTokens -= spent;
      if (stream.remainingPrefillTokens > 0) continue;
      if (spent === 0) stream.produced++;
      if (stream.produced >= stream.request.answer.length) {
        this.#end(stream, "finished");
      } else stream.notify();
    }
    return duration;
  }

  #admit(): void {
    let tokens = this.#running.reduce((sum, stream) => sum + stream.size, 0);
    while (this.#running.length < this.#options.maximumBatch) {
      const next = this.#waiting[0];
      const isAdmissible = next &&
        (tokens === 0 || tokens + next.size <= this.#options.capacityTokens);
      if (!isAdmissible) return;
      this.#waiting.shift();
      this.#running.push(next);
      tokens += next.size;
    }
  }

  #end(stream: Stream, state: "finished" | "cancelled"): void {
    for (const list of [this.#running, this.#waiting]) {
      const index = list.indexOf(stream);
      if (index >= 0) list.splice(index, 1);
    }
    stream.state = state;
    stream.endedAt = performance.now();
    if (state === "finished") stream.request.onFinish();
    stream.notify();
    this.onChange();
  }
}
