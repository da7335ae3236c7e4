/**
 * Notices backend servers that are gone or that started anew under their old
 * id; nothing that was known of them holds any longer.
 */
import type { BackendServerId } from "./ids.ts";
import type { RegisteredServer } from "./server_registry.ts";

/** The starts of all servers that were seen. */
export interface ServerIncarnations {
  /** Takes the current servers and returns those that were lost since. */
  update(servers: readonly RegisteredServer[]): BackendServerId[];
}

/** Creates a record without servers. */
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
