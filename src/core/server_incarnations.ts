/**
 * Detects backend servers that are gone or that restarted under the same id.
 * State that was recorded for such a server is no longer valid.
 */
import type { BackendServerId } from "./ids.ts";
import { hash32 } from "./hash32.ts";
import type { RegisteredServer } from "./server_registry.ts";

/** Identifies one start of a server in messages between routers. */
export type IncarnationKey = number;

/** Keys of registrations, which are asked for with every choice of a server. */
const _keys = new WeakMap<RegisteredServer, IncarnationKey>();

/** Returns the key of a server's present incarnation. */
export function incarnationKeyOf(server: RegisteredServer): IncarnationKey {
  let key = _keys.get(server);
  if (key === undefined) {
    key = hash32(`${server.id}\0${server.started}`);
    _keys.set(server, key);
  }
  return key;
}

/** The start times of the registered servers. */
export interface ServerIncarnations {
  /** Sets the current servers; returns those that are gone or restarted. */
  update(servers: readonly RegisteredServer[]): BackendServerId[];
}

/** Creates a `ServerIncarnations` without servers. */
export function createServerIncarnations(): ServerIncarnations {
  let starts = new Map<BackendServerId, number>();
  return {
    update(servers) {
      const current = new Map(servers.map(({ id, started }) => [id, started]));
      const lost: BackendServerId[] = [];
      for (const [id, started] of starts) {
        if (current.get(id) !== started) lost.push(id);
      }
      starts = current;
      return lost;
    },
  };
}
