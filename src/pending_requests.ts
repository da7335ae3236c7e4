/**
 * The requests of one router to peers that have no reply yet. Replies are matched
 * to requests by correlation number.
 */
import { err, type Result } from "neverthrow";
import { type ApplicationError, createError } from "./core/errors.ts";
import type { SocketAddress } from "./core/ids.ts";
import type { PeerConnection } from "./peer_connection.ts";
import { afterPendingInput } from "./pending_input.ts";

type _Settle = (result: Result<unknown, ApplicationError>) => void;

interface _PendingRequest {
  readonly settle: _Settle;
  readonly timer: NodeJS.Timeout;
  connection: PeerConnection | undefined;
}

/** Requests that wait for their replies. */
export class PendingRequests {
  readonly #requests = new Map<number, _PendingRequest>();
  #nextCorrelation = 1;

  /** Returns a correlation number that was not used before. */
  nextCorrelation(): number {
    return this.#nextCorrelation++;
  }

  size(): number {
    return this.#requests.size;
  }

  /** Adds a request, which fails after the time-out; returns its number. */
  add(settle: _Settle, to: SocketAddress, timeoutMilliseconds: number): number {
    const correlation = this.nextCorrelation();
    const timer = setTimeout(
      () => afterPendingInput(() => this.#timeOut(correlation, to)),
      timeoutMilliseconds,
    );
    this.#requests.set(correlation, { settle, timer, connection: undefined });
    return correlation;
  }

  /** Records that a request is written; returns false if it is settled. */
  markWritten(correlation: number, connection: PeerConnection): boolean {
    const pending = this.#requests.get(correlation);
    if (!pending) return false;
    pending.connection = connection;
    return true;
  }

  settle(
    correlation: number,
    result: Result<unknown, ApplicationError>,
  ): void {
    const pending = this.#requests.get(correlation);
    if (!pending) return;
    this.#requests.delete(correlation);
    clearTimeout(pending.timer);
    pending.settle(result);
  }

  /** Fails all requests, or those written to a connection. */
  settleAll(detail: string, connection?: PeerConnection): void {
    for (const [correlation, pending] of [...this.#requests]) {
      if (connection && pending.connection !== connection) continue;
      this.settle(correlation, err(createError("outcome_unknown", detail)));
    }
  }

  #timeOut(correlation: number, to: SocketAddress): void {
    const written = this.#requests.get(correlation)?.connection !== undefined;
    const kind = written ? "outcome_unknown" : "peer_unreachable";
    this.settle(correlation, err(createError(kind, `no reply from ${to}`)));
  }
}
