/**
 * Format of the requests with which callers look up router addresses, and of
 * the responses. A deployment may replace the path, names and units.
 */
import { parseRequestTarget } from "./request_target.ts";
import {
  brandId,
  type DataCentreId,
  type RegionId,
  type SocketAddress,
} from "./core/ids.ts";

/** A caller's request for router addresses. */
export interface EntryRequest {
  /** Data centre of the caller, if the request names one. */
  readonly dataCentre: DataCentreId | undefined;
  /** Region of the caller, if the request names one. */
  readonly region: RegionId | undefined;
  /** Host name that the caller is going to use, if the request names one. */
  readonly hostName: string | undefined;
}

/** The response to an entry request. */
export interface EntryResponse {
  readonly addresses: readonly SocketAddress[];
  /** How long the caller may cache the response, in milliseconds. */
  readonly keepMilliseconds: number;
}

/** Parses entry requests and serialises responses. */
export abstract class EntryFormat {
  /** Parses the URL of a request; undefined if it is not an entry request. */
  abstract readRequest(url: string): EntryRequest | undefined;
  /** Returns the response as JSON text. */
  abstract writeResponse(response: EntryResponse): string;
}

/** Names of the query fields of an entry request. */
export type EntryFieldNames = Readonly<Record<keyof EntryRequest, string>>;

/** Reads the fields of an entry request; each may be absent. */
export function readEntryFields(
  query: URLSearchParams,
  names: EntryFieldNames,
): EntryRequest {
  const dataCentre = query.get(names.dataCentre);
  const region = query.get(names.region);
  return {
    dataCentre: dataCentre === null
      ? undefined
      : brandId<DataCentreId>(dataCentre),
    region: region === null ? undefined : brandId<RegionId>(region),
    hostName: query.get(names.hostName) ?? undefined,
  };
}

const ENTRY_ADDRESSES_PATH = "/v1/entry-addresses";

/** The gateway's default format. */
export class DefaultEntryFormat extends EntryFormat {
  override readRequest(url: string): EntryRequest | undefined {
    const target = parseRequestTarget(url);
    if (target?.path !== ENTRY_ADDRESSES_PATH) return undefined;
    return readEntryFields(target.query, {
      dataCentre: "data_centre",
      region: "region",
      hostName: "name",
    });
  }

  override writeResponse(
    { addresses, keepMilliseconds }: EntryResponse,
  ): string {
    return JSON.stringify({ addresses, keep_milliseconds: keepMilliseconds });
  }
}
