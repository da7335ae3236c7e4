/**
 * The connection on which a caller's requests arrive. It outlives a request, and the
 * requests that a caller pipelines share it: only the one whose turn it is owns the
 * response stream, so its events do not reach the others.
 *
 * An event loop that stood still finds a request and the close that followed it
 * in the same moment, and reads the request first. Work must therefore not start
 * before everything that has arrived was read.
 *
 * A connection that the gateway closes serves nothing more. Its final response may
 * promise that nothing ran, and a request that is read behind it has no response.
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { CloseCause } from "./connection_guard.ts";
import { discardInput } from "./discarded_input.ts";
import type { ReadListener } from "./memory_reclamation.ts";
import { afterPendingInput } from "./pending_input.ts";

/**
 * How long a caller may take to close its end after the final response. Closing a
 * socket with unread input resets it, and the caller may lose the response.
 */
const CLOSE_TIMEOUT_MILLISECONDS = 1_000;
/** A caller that has connected sends its request within this time. */
const FIRST_REQUEST_MILLISECONDS = 1_000;

/** Bounds of one connection. */
export interface CallerConnectionBounds {
  /** Bytes of a refused request that are read so that its response arrives. */
  readonly discardedBytes: number;
  /** Called with bytes that were read and discarded. */
  readonly onRead: ReadListener;
  /** Closes the connection and records the cause. */
  readonly onClose: (cause: CloseCause) => void;
}

/** The requests of one connection, and whether their caller is still there. */
export interface CallerConnection {
  /** Number of requests that were accepted. */
  readonly requestCount: number;
  /** Whether bytes of a first request have arrived, but not all of its head. */
  hasUnreadRequest(): boolean;
  /** Whether a response is still being sent, or the first request may follow. */
  isBusy(): boolean;
  /** Time since the connection was accepted, in milliseconds. */
  ageMilliseconds(): number;
  /** Bytes written that the operating system has not taken yet. */
  unsentBytes(): number;
  /**
   * Accepts a request whose head was read, by its response; false if the connection is
   * closing, so that the request must not run.
   */
  accept(response: ServerResponse): boolean;
  /** Whether no later request on the connection waits for its own response. */
  isLastResponse(response: ServerResponse): boolean;
  /**
   * Closes the connection. A request that was read in full gets its response first.
   * Otherwise the final response is sent, if there is one and unless an earlier one
   * was: a second one could be taken for the response to another request.
   */
  close(finalResponse: string | undefined): void;
  /** Sets the bounds of the connection. */
  setBounds(bounds: CallerConnectionBounds): void;
  /** Closes the connection without a response, because of a bound. */
  closeAtOnce(cause: CloseCause): void;
  /**
   * Calls the listener once the caller has left, soon if it has left already;
   * returns a function that removes the listener.
   */
  onLeft(listener: () => void): () => void;
  /**
   * Calls the listener after everything that has arrived was read, and never if
   * the caller has left by then.
   */
  whenStillThere(listener: () => void): void;
}

const _connections = new WeakMap<Socket, CallerConnection>();

class _CallerConnection implements CallerConnection {
  readonly #socket: Socket;
  readonly #openedAt = performance.now();
  readonly #listeners = new Set<() => void>();
  /** Responses to accepted requests that have not ended. */
  readonly #openResponses = new Set<ServerResponse>();
  #requestCount = 0;
  #hasLeft: boolean;
  #isClosing = false;
  #bounds: CallerConnectionBounds | undefined;

  constructor(socket: Socket) {
    this.#socket = socket;
    this.#hasLeft = socket.destroyed || socket.readableEnded;
    socket.once("end", () => this.#leave());
    socket.once("close", () => this.#leave());
    // The HTTP server calls this after a response that closes the connection.
    socket.destroySoon = () => this.#closeAfterOutput();
  }

  get requestCount(): number {
    return this.#requestCount;
  }

  ageMilliseconds(): number {
    return performance.now() - this.#openedAt;
  }

  unsentBytes(): number {
    return this.#socket.writableLength;
  }

  hasUnreadRequest(): boolean {
    return this.#requestCount === 0 && this.#socket.bytesRead > 0;
  }

  isBusy(): boolean {
    if (this.#openResponses.size > 0) return true;
    return this.#requestCount === 0 &&
      this.ageMilliseconds() < FIRST_REQUEST_MILLISECONDS;
  }

  accept(response: ServerResponse): boolean {
    // A socket that is no longer writable carries no response.
    if (this.#isClosing || !this.#socket.writable) return false;
    this.#requestCount++;
    this.#openResponses.add(response);
    response.once("close", () => {
      this.#openResponses.delete(response);
      if (this.#isClosing) this.#endWhenAnswered();
    });
    return true;
  }

  isLastResponse(response: ServerResponse): boolean {
    return this.#lastResponse() === response;
  }

  close(finalResponse: string | undefined): void {
    if (this.#isClosing) return;
    this.#isClosing = true;
    // The last open response announces the close, if its head is still to be sent.
    const last = this.#lastResponse();
    if (last) last.shouldKeepAlive = false;
    if (this.#hasWholeRequest()) return;
    this.#leave();
    // The rest of a begun response cannot follow, so nothing waits for its output.
    if (this.#hasBegunResponse()) {
      this.#socket.resetAndDestroy();
      return;
    }
    const hasResponded = this.#socket.bytesWritten > 0;
    const isOpen = !hasResponded && this.#socket.writable;
    this.#closeAfterOutput(isOpen ? finalResponse : undefined);
  }

  setBounds(bounds: CallerConnectionBounds): void {
    this.#bounds = bounds;
  }

  closeAtOnce(cause: CloseCause): void {
    this.#isClosing = true;
    this.#bounds?.onClose(cause);
    this.#socket.destroy();
  }

  onLeft(listener: () => void): () => void {
    if (this.#hasLeft) {
      const immediate = setImmediate(listener);
      return () => clearImmediate(immediate);
    }
    this.#listeners.add(listener);
    return () => void this.#listeners.delete(listener);
  }

  whenStillThere(listener: () => void): void {
    afterPendingInput(() => {
      if (!this.#hasLeft) listener();
    });
  }

  #hasWholeRequest(): boolean {
    return [...this.#openResponses].some(({ req }) => req.complete);
  }

  #hasUnfinishedRequest(): boolean {
    return [...this.#openResponses].some(({ req }) => !req.complete);
  }

  #hasBegunResponse(): boolean {
    return [...this.#openResponses].some(({ headersSent }) => headersSent);
  }

  #lastResponse(): ServerResponse | undefined {
    return [...this.#openResponses].at(-1);
  }

  #endWhenAnswered(): void {
    if (!this.#hasWholeRequest()) this.#closeAfterOutput();
  }

  /**
   * Closes this end after what was written and a last response, and reads on until
   * the caller closes its own: unread input would reset the connection.
   */
  #closeAfterOutput(lastResponse?: string): void {
    if (this.#socket.writableEnded) return;
    this.#isClosing = true;
    this.#socket.end(lastResponse ?? "", () => this.#destroyLater());
    if (!this.#hasUnfinishedRequest() || !this.#bounds) {
      this.#socket.resume();
      return;
    }
    const { discardedBytes, onRead } = this.#bounds;
    discardInput(this.#socket, {
      maximumBytes: discardedBytes,
      onRead,
      onExcess: () => this.closeAtOnce("discarded_bytes"),
    });
  }

  #destroyLater(): void {
    const timer = setTimeout(
      () => this.#socket.destroy(),
      CLOSE_TIMEOUT_MILLISECONDS,
    );
    this.#socket.once("close", () => clearTimeout(timer));
  }

  #leave(): void {
    if (this.#hasLeft) return;
    this.#hasLeft = true;
    for (const listener of [...this.#listeners]) listener();
    this.#listeners.clear();
  }
}

/** Returns the connection of a socket; all requests on it share one. */
export function callerConnectionOf(socket: Socket): CallerConnection {
  let connection = _connections.get(socket);
  if (!connection) {
    connection = new _CallerConnection(socket);
    _connections.set(socket, connection);
  }
  return connection;
}
