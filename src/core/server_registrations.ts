/** Registrations of backend servers, as the store and peers send them. */
import { z } from "zod";
import { serviceIdSchema } from "./gateway_configuration.ts";
import { type BackendServerId, brandId, type DataCentreId } from "./ids.ts";
import { listSchema, tolerantListSchema } from "./list_schema.ts";
import { socketAddressSchema } from "./socket_address.ts";

/**
 * Time after which a server that had left before the store returned from a copy is
 * used again if it is still registered; until then the store has removed the
 * registrations of servers that no longer renew them.
 */
export const RETURN_GRACE_MILLISECONDS = 5_000;
/** Servers of one list; a longer one is malformed. */
const MAXIMUM_SERVERS = 20_000;

const _text = z.string().min(1).max(256);
/** A server's name travels in a header: ASCII, without white space at its ends. */
const _serverName = _text.regex(/^[\x21-\x7e]([\x20-\x7e]*[\x21-\x7e])?$/);

/** Schema of a registered backend server. */
export const registeredServerSchema = z.object({
  id: _serverName.transform((text) => brandId<BackendServerId>(text)),
  service: serviceIdSchema,
  address: socketAddressSchema,
  dataCentre: _text.transform((text) => brandId<DataCentreId>(text)),
  slots: z.number().min(0),
  /** A draining server gets no new requests. */
  isDraining: z.boolean(),
  /** When the server process started, in milliseconds since the Unix epoch. */
  started: z.number(),
  /** Time from its start until the server reaches full speed. */
  warmUpMilliseconds: z.number().min(0),
});

/** A backend server as it registered itself. */
export type RegisteredServer = z.infer<typeof registeredServerSchema>;

const _serverId = _text.transform((text) => brandId<BackendServerId>(text));

const _deferredChangeSchema = z.object({
  id: _serverId,
  server: registeredServerSchema.optional(),
  /** Time until the change takes effect. */
  remainingMilliseconds: z.number().min(0).max(RETURN_GRACE_MILLISECONDS),
});

/** A change that the revision covers and that takes effect later. */
export type DeferredChange = z.infer<typeof _deferredChangeSchema>;

/** Routers of earlier releases do not send them. */
const _deferredChangesSchema = tolerantListSchema(
  _deferredChangeSchema,
  MAXIMUM_SERVERS,
).optional();

/** Schema of all registrations at a revision of the store. */
export const registrationListSchema = z.object({
  revision: z.number(),
  /** An invalid entry, which a router of another release may know, is left out. */
  servers: tolerantListSchema(registeredServerSchema, MAXIMUM_SERVERS),
  deferred: _deferredChangesSchema,
});

/** All registrations at a revision of the store. */
export type RegistrationList = z.infer<typeof registrationListSchema>;

const _changeSchema = z.object({
  id: _serverId,
  /** An invalid entry counts as removed. */
  server: registeredServerSchema.optional().catch(undefined),
});

/** Schema of the changes that a router sends to peers. */
export const registryChangesSchema = z.object({
  /** A peer at this revision or later misses only these changes. */
  afterRevision: z.number(),
  revision: z.number(),
  changes: listSchema(_changeSchema),
  deferred: _deferredChangesSchema,
});

/** A change of one registration. No `server` means that it was removed. */
export type RegistrationChange = z.infer<typeof _changeSchema>;
/** Changes that a router sends to its peers. */
export type RegistryChanges = z.infer<typeof registryChangesSchema>;
