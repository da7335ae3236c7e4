/**
 * Branded identifiers. An id is a plain string at run time; the brand makes the
 * compiler reject a workspace id where a chat id is expected.
 */
declare const brand: unique symbol;

/** A string that the type system treats as distinct from other strings. */
export type Branded<Name extends string> = string & { readonly [brand]: Name };

/** A router's host, as named in its settings. */
export type HostId = Branded<"HostId">;
/** The name of a data centre, as given in settings and the fleet file. */
export type DataCentreId = Branded<"DataCentreId">;
/** The name of a region, which has one or more data centres. */
export type RegionId = Branded<"RegionId">;
/** Identifies a workspace, which is one customer of the fleet. */
export type WorkspaceId = Branded<"WorkspaceId">;
/** Identifies a backend server: a model engine or a plain service. */
export type BackendServerId = Branded<"BackendServerId">;
/** Identifies a chat within its workspace. */
export type ChatId = Branded<"ChatId">;
/** Identifies one run of a router process; every restart gets a new id. */
export type IncarnationId = Branded<"IncarnationId">;
/** Identifies a request; only the incarnation in its prefix may run it. */
export type RequestId = Branded<"RequestId">;
/** Identifies a model that engines serve. */
export type ModelId = Branded<"ModelId">;
/** A SHA-256 digest in hexadecimal. */
export type Digest = Branded<"Digest">;

/** Brands a string that was validated where it entered the process. */
export function brandId<Id extends Branded<string>>(value: string): Id {
  return value as Id;
}

/** An IP address and port in the form `ip:port`. */
export type SocketAddress = Branded<"SocketAddress">;
