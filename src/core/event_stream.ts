/**
 * Splits a server-sent event stream (`text/event-stream`) into complete events,
 * so that a stream that broke within an event can be resumed from another
 * server without a partial or repeated event.
 */

import { createByteBuffer } from "./byte_buffer.ts";

/** The events that a chunk completed. */
export interface CompletedEvents {
  /** Bytes of the events; empty if the chunk completed none. */
  readonly bytes: Buffer;
  readonly events: number;
}

/** A server whose event exceeds this size is taken to send no events. */
export const MAXIMUM_EVENT_BYTES = 1024 * 1024;
/** Length of the longest end of an event, a blank line. */
const EVENT_END_BYTES = 3;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELDS = /^id:[ ]?(.*)$/gm;

/** Buffers the bytes of an event until the event is complete. */
export class EventSplitter {
  readonly #pending = createByteBuffer();
  #lastEventId: string | undefined;

  /** Id of the last complete event that had one. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /** Adds a chunk and returns the events that it completes. */
  push(chunk: Buffer): CompletedEvents {
    // The end of an event may be split between two chunks.
    const firstUnread = Math.max(0, this.#pending.length - EVENT_END_BYTES);
    this.#pending.append(chunk);
    const all = this.#pending.bytes();
    let start = 0;
    let events = 0;
    for (
      let end = _eventEnd(all, firstUnread);
      end > 0;
      end = _eventEnd(all, end)
    ) {
      this.#readId(all.subarray(start, end));
      start = end;
      events++;
    }
    return { bytes: this.#pending.take(start), events };
  }

  /** Discards an incomplete event after its stream broke. */
  reset(): void {
    this.#pending.clear();
  }

  #readId(event: Buffer): void {
    for (const [, id] of event.toString("latin1").matchAll(ID_FIELDS)) {
      this.#lastEventId = id;
    }
  }
}

/** Returns the offset after the blank line that ends an event, or 0. */
function _eventEnd(bytes: Buffer, from: number): number {
  for (let index = from; index < bytes.length; index++) {
    if (bytes[index] !== LINE_FEED) continue;
    const next = bytes[index + 1];
    if (next === LINE_FEED) return index + 2;
    if (next === CARRIAGE_RETURN && bytes[index + 2] === LINE_FEED) {
      return index + 3;
    }
  }
  return 0;
}

/** Creates a splitter for one stream. */
export function createEventSplitter(): EventSplitter {
  return new EventSplitter();
}
