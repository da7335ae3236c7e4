/** What has happened to a request so far: its attempts, runs and times. */
import type { ServedWork } from "./core/load_control/expected_wait.ts";
import { isRepeatable } from "./core/gateway_configuration.ts";
import type { BackendServerId } from "./core/ids.ts";
import {
  type AttemptFailure,
  type AttemptState,
  decideNextStep,
  type NextStep,
} from "./core/next_attempt.ts";
import {
  type LoopStalls,
  type StreamGap,
  StreamGaps,
} from "./core/load_control/stream_gaps.ts";
import type { StopAdmission } from "./core/stop_admission.ts";
import type { CheckedRequest } from "./request_check.ts";
import type { RequestProgress, RequestWaitFigures } from "./request_log.ts";
import type { Clock, TimerService } from "./timer_service.ts";

/** The parts of an attempt's state that the history does not hold. */
export type FailureCircumstances = Pick<
  AttemptState,
  "hasBody" | "hasBegun" | "takeRetry"
>;

/** What the histories of all requests share. */
export interface RequestHistoryContext {
  readonly timers: TimerService;
  readonly loopStalls: LoopStalls;
}

/** The history of one request, and how fast its last server served it. */
export class RequestHistory implements ServedWork {
  /** Cost of the request, in the unit of the waiting requests of its service. */
  cost = 1;
  readonly #checked: CheckedRequest;
  readonly #clock: Clock;
  readonly #startedAt: number;
  readonly #tried = new Set<BackendServerId>();
  #attempts = 0;
  #runs = 0;
  #firstByteMilliseconds: number | undefined;
  #admission: StopAdmission | undefined;
  #wait: RequestWaitFigures | undefined;
  #bodyMilliseconds: number | undefined;
  #placedMilliseconds: number | undefined;
  readonly #gaps: StreamGaps;

  constructor(
    checked: CheckedRequest,
    { timers, loopStalls }: RequestHistoryContext,
  ) {
    this.#checked = checked;
    this.#clock = timers.clock;
    this.#startedAt = this.#clock.monotonicMilliseconds();
    this.#gaps = new StreamGaps(loopStalls);
  }

  /** Servers to which the request was sent. */
  get tried(): ReadonlySet<BackendServerId> {
    return this.#tried;
  }

  /** Number of servers that may have run the request. */
  get runs(): number {
    return this.#runs;
  }

  /** Whether another server may run the request while one may be at work on it. */
  get mayRunAgain(): boolean {
    const { route } = this.#checked;
    return isRepeatable(route) && this.#runs + 1 < route.maximumBackendServers;
  }

  /** When the request arrived, by the monotonic clock. */
  get arrivedMilliseconds(): number {
    return this.#startedAt;
  }

  /** Time since the request was last sent. */
  get milliseconds(): number {
    return this.#elapsed() - (this.#placedMilliseconds ?? 0);
  }

  /** Time from the last sending to the first byte of the response. */
  get firstEventMilliseconds(): number {
    const firstByte = this.#firstByteMilliseconds ?? this.#elapsed();
    return Math.max(0, firstByte - (this.#placedMilliseconds ?? 0));
  }

  remainingMilliseconds(): number {
    return this.#checked.timeoutMilliseconds - this.#elapsed();
  }

  progress(): RequestProgress {
    return {
      requestId: this.#checked.requestId,
      route: this.#checked.route,
      attempts: this.#attempts,
      runs: this.#runs,
      milliseconds: this.#elapsed(),
      firstByteMilliseconds: this.#firstByteMilliseconds,
      admission: this.#admission,
      bodyMilliseconds: this.#bodyMilliseconds,
      placedMilliseconds: this.#placedMilliseconds,
      remainingMilliseconds: this.remainingMilliseconds(),
      longestGap: this.#gaps.longest,
      wait: this.#wait,
    };
  }

  /** Records a wait for room; the time of several waits is added up. */
  recordWait(wait: RequestWaitFigures): void {
    const milliseconds = (this.#wait?.milliseconds ?? 0) + wait.milliseconds;
    this.#wait = { ...wait, milliseconds };
  }

  /** Records why the request is sent or rejected, as far as a stop matters. */
  recordAdmission(admission: StopAdmission): void {
    this.#admission = admission;
  }

  /** Records that the body was read, as far as it is buffered. */
  recordBody(): void {
    this.#bodyMilliseconds = this.#elapsed();
  }

  recordAttempt(server: BackendServerId): void {
    this.#attempts++;
    this.#placedMilliseconds = this.#elapsed();
    this.#tried.add(server);
  }

  /** Lets the request be sent to a server again that it did not reach. */
  allowAgain(server: BackendServerId): void {
    this.#tried.delete(server);
  }

  recordRun(): void {
    this.#runs++;
  }

  recordFirstByte(): void {
    const now = this.#clock.monotonicMilliseconds();
    this.#gaps.begin(now);
    this.#firstByteMilliseconds = now - this.#startedAt;
  }

  /** Records a further part; returns the time since the part before it. */
  recordPart(): StreamGap {
    return this.#gaps.next(this.#clock.monotonicMilliseconds());
  }

  /** Records that the caller's connection takes no more bytes, or takes them again. */
  recordFlow(isPaused: boolean): void {
    this.#gaps.recordFlow(isPaused, this.#clock.monotonicMilliseconds());
  }

  #elapsed(): number {
    return this.#clock.monotonicMilliseconds() - this.#startedAt;
  }

  /** Decides what to do after a failed attempt. */
  nextStep(
    failure: AttemptFailure,
    circumstances: FailureCircumstances,
  ): NextStep {
    const { route } = this.#checked;
    return decideNextStep({
      ...circumstances,
      failure,
      isRepeatable: isRepeatable(route),
      runs: this.#runs,
      maximumRuns: route.maximumBackendServers,
      attempts: this.#attempts,
      isResumable: route.isResumable,
      remainingMilliseconds: this.remainingMilliseconds(),
    });
  }
}
