/**
 * Passes an answer on to the caller: the head with the first bytes, the body as
 * it arrives, and a broken answer visibly broken.
 */
import type { ServerResponse } from "node:http";
import {
  createEventSplitter,
  type EventSplitter,
} from "./core/event_stream.ts";
import type { RouteKind } from "./core/gateway_configuration.ts";
import type {
  Exchange,
  ResponseHead,
  ResponseSink,
} from "./backend_exchange.ts";

/** Largest answer that is held until it is complete, in bytes. */
const MAXIMUM_BUFFERED_RESPONSE_BYTES = 64 * 1024;

/** How the body of an answer is passed on. */
export type RelayMode =
  /** Bytes are passed on as they arrive. */
  | "pass"
  /** A short answer is held until it is complete, so that it can be replaced. */
  | "hold"
  /** Only whole events are passed on, so that the stream can go on elsewhere. */
  | "events";

/** Statuses from here on are no success. */
export const FIRST_ERROR_STATUS = 300;

/** Returns how an answer of a route is passed on. */
export function chooseRelayMode(kind: RouteKind, status: number): RelayMode {
  if (kind === "idempotent") return "hold";
  const isStream = kind === "event_stream" && status < FIRST_ERROR_STATUS;
  return isStream ? "events" : "pass";
}

/** What a relay tells the request it belongs to. */
export interface RelayListener {
  /** The first byte of the body was passed on. */
  onFirstByte(): void;
  /** A further part of an event stream was passed on. */
  onEvents(): void;
  /** The answer is over; an incomplete one may still go on elsewhere. */
  onEnd(isComplete: boolean, detail: string): void;
}

/** Options of a relay. */
export interface ResponseRelayOptions {
  readonly response: ServerResponse;
  readonly mode: RelayMode;
  /** Headers that the gateway adds to the answer. */
  readonly extraHeaders: () => readonly string[];
  readonly listener: RelayListener;
}

/** Relays one answer, which may come from several backend servers in turn. */
export class ResponseRelay {
  readonly #options: ResponseRelayOptions;
  readonly #splitter: EventSplitter | undefined;
  #head: ResponseHead | undefined;
  #held: Buffer[] = [];
  #heldBytes = 0;
  #isHolding: boolean;
  #exchange: Exchange | undefined;
  #isPaused = false;

  constructor(options: ResponseRelayOptions) {
    this.#options = options;
    this.#isHolding = options.mode === "hold";
    if (options.mode === "events") this.#splitter = createEventSplitter();
    options.response.on("drain", () => this.#resume());
  }

  /** Whether the caller has received any part of the answer. */
  get hasBegun(): boolean {
    return this.#options.response.headersSent;
  }

  /** Status that the caller gets; undefined before an answer came. */
  get status(): number | undefined {
    return this.#head?.status;
  }

  /** Id of the last event that was passed on. */
  get lastEventId(): string | undefined {
    return this.#splitter?.lastEventId;
  }

  /** Begins with an answer, or goes on with one that continues it. */
  begin(head: ResponseHead, exchange: Exchange): ResponseSink {
    // A continued answer keeps the head of its first server.
    if (!this.hasBegun) this.#head = head;
    this.#held = [];
    this.#heldBytes = 0;
    this.#splitter?.reset();
    this.#exchange = exchange;
    return {
      onData: (chunk) => this.#onData(chunk),
      onEnd: (isComplete, detail) => this.#onEnd(isComplete, detail),
    };
  }

  #onData(chunk: Buffer): void {
    if (this.#splitter) {
      const { bytes } = this.#splitter.push(chunk);
      if (bytes.length > 0) this.#write(bytes);
      return;
    }
    if (!this.#isHolding) return this.#write(chunk);
    this.#held.push(chunk);
    this.#heldBytes += chunk.length;
    if (this.#heldBytes <= MAXIMUM_BUFFERED_RESPONSE_BYTES) return;
    this.#isHolding = false;
    this.#writeHeld();
  }

  #onEnd(isComplete: boolean, detail: string): void {
    const { response, listener } = this.#options;
    const isTorn = (this.#splitter?.pendingBytes ?? 0) > 0;
    if (isComplete && !isTorn) {
      this.#writeHeld();
      this.#writeHead();
      response.end();
    }
    listener.onEnd(
      isComplete && !isTorn,
      isTorn ? "the stream ended in the middle of an event" : detail,
    );
  }

  #writeHeld(): void {
    for (const chunk of this.#held) this.#write(chunk);
    this.#held = [];
  }

  #writeHead(): void {
    const { response, extraHeaders } = this.#options;
    const head = this.#head;
    if (response.headersSent || !head) return;
    // A body without a length may be cut without anybody noticing, so it must
    // not get a frame that calls it complete.
    if (head.endsWithConnection) response.useChunkedEncodingByDefault = false;
    response.writeHead(head.status, [...head.headers, ...extraHeaders()]);
  }

  /** Ends a begun answer so that the caller sees that it is not complete. */
  cut(): void {
    const { response } = this.#options;
    // Closing the connection in order would end a body without a length.
    if (this.#head?.endsWithConnection) response.socket?.resetAndDestroy();
    else response.destroy();
  }

  #write(bytes: Buffer): void {
    const { response, listener } = this.#options;
    const isFirst = !response.headersSent;
    this.#writeHead();
    const hasRoom = response.write(bytes);
    if (isFirst) listener.onFirstByte();
    else if (this.#splitter) listener.onEvents();
    if (hasRoom || this.#isPaused) return;
    this.#isPaused = true;
    this.#exchange?.pause();
  }

  #resume(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    this.#exchange?.resume();
  }
}

/** Creates a relay for one request. */
export function createResponseRelay(
  options: ResponseRelayOptions,
): ResponseRelay {
  return new ResponseRelay(options);
}
