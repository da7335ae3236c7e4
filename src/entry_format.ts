/**
 * How callers ask which routers to use, and how the answer is written. Another
 * deployment may replace path, names and units.
 */
import { brandId, type DataCentreId, type SocketAddress } from "./core/ids.ts";

/** A caller's question. */
export interface EntryRequest {
  /** Data centre of the caller, if it said so. */
  readonly dataCentre: DataCentreId | undefined;
}

/** The answer to a caller's question. */
export interface EntryResponse {
  readonly addresses: readonly SocketAddress[];
  /** How long the caller may keep the answer, in milliseconds. */
  readonly keepMilliseconds: number;
}

/** Reads questions and writes answers. */
export abstract class EntryFormat {
  /** Returns the question of a request, or undefined if it is another request. */
  abstract readRequest(url: string): EntryRequest | undefined;
  /** Returns the answer's JSON text. */
  abstract writeResponse(answer: EntryResponse): string;
}

const ENTRY_PATH = "/v1/entry-addresses";

/** The format of the gateway's own interface. */
export class DefaultEntryFormat extends EntryFormat {
  override readRequest(url: string): EntryRequest | undefined {
    const { pathname, searchParams } = new URL(url, "http://gateway");
    if (pathname !== ENTRY_PATH) return undefined;
    const dataCentre = searchParams.get("data_centre");
    return {
      dataCentre: dataCentre === null
        ? undefined
        : brandId<DataCentreId>(dataCentre),
    };
  }

  override writeResponse(
    { addresses, keepMilliseconds }: EntryResponse,
  ): string {
    return JSON.stringify({ addresses, keep_milliseconds: keepMilliseconds });
  }
}
