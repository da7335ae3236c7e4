/**
 * Relays a response to the caller: sends the head with the first bytes, the
 * body as it arrives, and aborts an incomplete response so that the caller
 * detects it.
 *
 * A body that only the end of its connection ends would look complete to the caller
 * if this process were killed, since the kernel then closes the connection in order.
 * It is therefore relayed in chunks, or, to a caller of HTTP/1.0, held back until it is
 * complete and sent with its length.
 */
import type { ServerResponse } from "node:http";
import {
  BUFFER_CAPACITY_FACTOR,
  createByteBuffer,
} from "./core/byte_buffer.ts";
import {
  createEventSplitter,
  type EventSplitter,
  MAXIMUM_EVENT_BYTES,
} from "./core/event_stream.ts";
import type { RouteKind } from "./core/gateway_configuration.ts";
import type { MemoryAccount, MemoryHolding } from "./core/memory_account.ts";
import type {
  Exchange,
  ResponseHead,
  ResponseSink,
} from "./backend_exchange.ts";

/** Largest response that is buffered until it is complete. */
const MAXIMUM_BUFFERED_RESPONSE_BYTES = 64 * 1024;

/** How the body of a response is relayed. */
export type RelayMode =
  /** Bytes are relayed as they arrive. */
  | "pass"
  /** A short response is buffered until complete, so a retry can replace it. */
  | "hold"
  /** Only whole events are relayed, so another server can resume the stream. */
  | "events";

/** Lowest status that does not count as a success. */
export const FIRST_ERROR_STATUS = 300;

/** Returns how a response of a route is relayed. */
export function chooseRelayMode(kind: RouteKind, status: number): RelayMode {
  if (kind === "idempotent") return "hold";
  const isStream = kind === "event_stream" && status < FIRST_ERROR_STATUS;
  return isStream ? "events" : "pass";
}

/** Callbacks of a relay. */
export interface RelayListener {
  /** Called when the first byte of the body is relayed. */
  onFirstByte(): void;
  /** Called when a further part of an event stream is relayed. */
  onEvents(): void;
  /** Called when the caller's connection takes no more bytes, and when it does again. */
  onFlow(isPaused: boolean): void;
  /** Called when a response ends; an incomplete one may be continued by another server. */
  onEnd(isComplete: boolean, detail: string): void;
  /** Called when a response cannot be held back until it is complete. */
  onNoRoom(): void;
}

/** Options of a relay. */
export interface ResponseRelayOptions {
  readonly response: ServerResponse;
  readonly mode: RelayMode;
  /** Counts responses that are held back until they are complete. */
  readonly memory: MemoryAccount;
  /** Headers that the gateway adds to the response. */
  readonly extraHeaders: () => readonly string[];
  readonly listener: RelayListener;
}

function _hasContentLength(headers: readonly string[]): boolean {
  return headers.some((name, index) =>
    index % 2 === 0 && name.toLowerCase() === "content-length"
  );
}

/** Relays a response that may come from several backend servers in turn. */
export class ResponseRelay {
  readonly #options: ResponseRelayOptions;
  readonly #splitter: EventSplitter | undefined;
  #head: ResponseHead | undefined;
  readonly #buffered = createByteBuffer();
  #isBuffering = false;
  /** Whether the caller can tell the end of the body only by a length. */
  #needsLength = false;
  #bodyBytes: number | undefined;
  #holding: MemoryHolding | undefined;
  /** Whether any part of the body was relayed or is held back. */
  #hasContent = false;
  #exchange: Exchange | undefined;
  #isPaused = false;

  constructor(options: ResponseRelayOptions) {
    this.#options = options;
    if (options.mode === "events") this.#splitter = createEventSplitter();
    options.response.on("drain", () => this.#resume());
  }

  /** Whether any part of the response has been sent to the caller. */
  get hasBegun(): boolean {
    return this.#options.response.headersSent;
  }

  /** Status sent to the caller; undefined before the first response. */
  get status(): number | undefined {
    return this.#head?.status;
  }

  /** Id of the last relayed event; those that are held back do not count. */
  get lastEventId(): string | undefined {
    return this.hasBegun ? this.#splitter?.lastEventId : undefined;
  }

  /** Starts to relay a response, which may continue an incomplete one. */
  begin(head: ResponseHead, exchange: Exchange): ResponseSink {
    // A resumed response keeps the head of its first server.
    if (!this.hasBegun) this.#beginAnew(head);
    this.#buffered.clear();
    this.#splitter?.reset();
    this.#exchange = exchange;
    return {
      onData: (chunk) => this.#onData(chunk),
      onEnd: (isComplete, detail) => this.#onEnd(isComplete, detail),
    };
  }

  #beginAnew(head: ResponseHead): void {
    const { response, mode } = this.#options;
    this.#head = head;
    this.#hasContent = false;
    this.#needsLength = !response.useChunkedEncodingByDefault &&
      head.framing !== "none" && !_hasContentLength(head.headers);
    this.#isBuffering = mode === "hold" || this.#needsLength;
  }

  #onData(chunk: Buffer): void {
    if (!this.#splitter) return this.#relay(chunk);
    const { bytes } = this.#splitter.push(chunk);
    if (bytes.length > 0) this.#relay(bytes);
    const { pendingBytes } = this.#splitter;
    if (pendingBytes > MAXIMUM_EVENT_BYTES) {
      this.#exchange?.rejectExcess("event", pendingBytes);
    }
  }

  #relay(bytes: Buffer): void {
    this.#hasContent = true;
    if (!this.#isBuffering) return this.#write(bytes);
    this.#buffered.append(bytes);
    if (this.#needsLength) return this.#countHeldBack();
    if (this.#buffered.length <= MAXIMUM_BUFFERED_RESPONSE_BYTES) return;
    this.#isBuffering = false;
    this.#writeBuffered();
  }

  #countHeldBack(): void {
    const now = performance.now();
    this.#holding ??= this.#openHolding(now);
    const bytes = BUFFER_CAPACITY_FACTOR * this.#buffered.length;
    if (!this.#holding.tryGrow(bytes, now)) this.#giveUp();
  }

  #openHolding(now: number): MemoryHolding {
    const { memory, response } = this.#options;
    const holding = memory.open("held_response", {
      now,
      giveUp: () => this.#giveUp(),
    });
    response.once("close", () => holding.release());
    return holding;
  }

  /** Gives up a response that the memory for clients has no room for. */
  #giveUp(): void {
    if (!this.#exchange) return;
    this.#exchange = undefined;
    this.#buffered.clear();
    this.#options.listener.onNoRoom();
  }

  #onEnd(isComplete: boolean, detail: string): void {
    const { response, listener } = this.#options;
    const truncation = this.#findTruncation();
    const isWhole = isComplete && truncation === undefined;
    if (isWhole) {
      if (this.#needsLength) this.#bodyBytes = this.#buffered.length;
      this.#writeBuffered();
      this.#writeHead();
      response.end();
    }
    listener.onEnd(isWhole, truncation ?? detail);
  }

  /** Returns why an event stream is incomplete although its framing is not. */
  #findTruncation(): string | undefined {
    if (!this.#splitter) return undefined;
    if (this.#splitter.pendingBytes > 0) {
      return "the stream ended in the middle of an event";
    }
    return this.#head?.framing === "connection" && !this.#hasContent
      ? "the connection closed before the first event"
      : undefined;
  }

  #writeBuffered(): void {
    const { length } = this.#buffered;
    if (length > 0) this.#write(this.#buffered.take(length));
  }

  #writeHead(): void {
    const { response, extraHeaders } = this.#options;
    const head = this.#head;
    if (response.headersSent || !head) return;
    const headers = [...head.headers, ...extraHeaders()];
    if (this.#bodyBytes !== undefined) {
      headers.push("Content-Length", String(this.#bodyBytes));
    }
    response.writeHead(head.status, headers);
  }

  /** Aborts a response; what is missing of its length or chunks shows that to the caller. */
  abort(): void {
    this.#options.response.destroy();
  }

  #write(bytes: Buffer): void {
    const { response, listener } = this.#options;
    const isFirst = !response.headersSent;
    this.#writeHead();
    const hasCapacity = response.write(bytes);
    if (isFirst) listener.onFirstByte();
    else if (this.#splitter) listener.onEvents();
    if (hasCapacity || this.#isPaused) return;
    this.#isPaused = true;
    listener.onFlow(true);
    this.#exchange?.pause();
  }

  #resume(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    this.#options.listener.onFlow(false);
    this.#exchange?.resume();
  }
}

/** Creates a relay for one request. */
export function createResponseRelay(
  options: ResponseRelayOptions,
): ResponseRelay {
  return new ResponseRelay(options);
}
