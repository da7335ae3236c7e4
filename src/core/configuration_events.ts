/** State, events and actions of a router's configuration state machine. */
import type { Result } from "neverthrow";
import type { ConfigurationHead } from "./configuration_head.ts";
import type { ApplicationError } from "./errors.ts";
import type { Fleet } from "./fleet_schema.ts";
import type { SocketAddress } from "./ids.ts";

/** Conditions that are reported to the operator. */
export type ConfigurationAlarm =
  | "configuration_read_was_stale"
  | "configuration_store_went_back"
  | "configuration_stale"
  | "configuration_unreadable";

/** Where a head or a chunk is fetched from. */
export type ConfigurationSource =
  | { readonly kind: "platform" }
  | { readonly kind: "peer"; readonly address: SocketAddress };

/** Inputs of the state machine. */
export type ConfigurationEvent =
  | { readonly kind: "head_read"; readonly head: ConfigurationHead | undefined }
  | {
    readonly kind: "head_fetched";
    readonly from: SocketAddress;
    readonly head: ConfigurationHead;
  }
  | {
    readonly kind: "announced";
    readonly from: SocketAddress;
    readonly generation: number;
  }
  | {
    readonly kind: "chunks_arrived";
    readonly source: ConfigurationSource;
    readonly texts: readonly string[];
  }
  | {
    readonly kind: "fetch_failed";
    readonly source: ConfigurationSource;
    readonly what: "head" | "chunks";
  }
  | { readonly kind: "tick" };

/** Effects that the caller is to carry out. */
export type ConfigurationAction =
  | { readonly kind: "fetch_head"; readonly source: ConfigurationSource }
  | {
    readonly kind: "fetch_chunks";
    readonly source: ConfigurationSource;
    readonly digests: readonly string[];
  }
  | {
    readonly kind: "adopt";
    readonly head: ConfigurationHead;
    readonly fleet: Fleet;
  }
  | { readonly kind: "announce"; readonly head: ConfigurationHead }
  | {
    readonly kind: "raise_alarm";
    readonly alarm: ConfigurationAlarm;
    readonly detail: string;
  }
  | { readonly kind: "clear_alarm"; readonly alarm: ConfigurationAlarm }
  | { readonly kind: "record_floor"; readonly generation: number };

/** A head whose chunks are being fetched. */
export interface PendingConfiguration {
  readonly head: ConfigurationHead;
  readonly sources: readonly ConfigurationSource[];
  readonly attempt: number;
  /** Set while a request for chunks is in flight. */
  readonly fetch: {
    readonly source: ConfigurationSource;
    readonly deadline: number;
  } | undefined;
  readonly retryAt: number;
}

/** State of the configuration state machine. */
export interface ConfigurationState {
  readonly inForce: ConfigurationHead | undefined;
  readonly pending: PendingConfiguration | undefined;
  readonly headFetch: {
    readonly from: SocketAddress;
    readonly deadline: number;
  } | undefined;
  /** Generations above the one in force that peers have announced. */
  readonly claims: ReadonlyMap<SocketAddress, number>;
  /** Chunks of the head in force, of its predecessor and of the pending head. */
  readonly chunks: ReadonlyMap<string, string>;
  /** The highest generation of any verified head. */
  readonly highestGeneration: number;
  /** Time of the first stale read since the last read that was not stale. */
  readonly firstStaleReadAt: number | undefined;
  readonly rereadAt: number | undefined;
  /** Digest of a head whose fleet is unreadable; its chunks are not refetched. */
  readonly unreadableDigest: string | undefined;
  readonly alarms: ReadonlySet<ConfigurationAlarm>;
  readonly lastContact: number;
}

/** Environment of a state transition. */
export interface ConfigurationContext {
  readonly nowMilliseconds: number;
  /** A number in [0, 1) for jitter. */
  readonly random: number;
  readonly readFleet: (
    digests: readonly string[],
    texts: ReadonlyMap<string, string>,
  ) => Result<Fleet, ApplicationError>;
}
