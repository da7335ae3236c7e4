/**
 * Detects backend servers that are gone or that restarted under the same id.
 * State that was recorded for such a server is no longer valid.
 */
import type { BackendServerId } from "./ids.ts";
import { hash32 } from "./hash32.ts";
import type { RegisteredServer } from "./server_registry.ts";

/** Identifies one start of a server in messages between routers. */
export type IncarnationKey = number;

/** Returns the key of a server's present incarnation. */
export function incarnationKeyOf(
  { id, started }: RegisteredServer,
): IncarnationKey {
  return hash32(`${id}\0${started}`);
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
