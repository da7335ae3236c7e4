/**
 * Branded identifiers. Each id is a plain string at run time; the brand keeps a
 * workspace id from being passed where a chat id is expected.
 */
declare const brand: unique symbol;

/** A string that the type system treats as distinct from other strings. */
export type Branded<Name extends string> = string & { readonly [brand]: Name };

/** An entry host, as named in its settings. */
export type HostId = Branded<"HostId">;
/** A data centre, as named in settings and the fleet file. */
export type DataCentreId = Branded<"DataCentreId">;
/** A workspace: one customer of the fleet. */
export type WorkspaceId = Branded<"WorkspaceId">;
/** A backend server: a model engine or a plain service. */
export type BackendServerId = Branded<"BackendServerId">;
/** A chat of one workspace. */
export type ChatId = Branded<"ChatId">;
/** One run of a router process; a restarted router has a new incarnation. */
export type IncarnationId = Branded<"IncarnationId">;
/** A request; its prefix names the incarnation that alone may run it. */
export type RequestId = Branded<"RequestId">;
/** A model served by engines. */
export type ModelId = Branded<"ModelId">;
/** A SHA-256 digest in hexadecimal. */
export type Digest = Branded<"Digest">;

/** Brands a string that has already been checked at the edge. */
export function brandId<Id extends Branded<string>>(value: string): Id {
  return value as Id;
}

/** An IP address and port, written `ip:port`. */
export type SocketAddress = Branded<"SocketAddress">;
