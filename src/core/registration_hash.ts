/** Hashes registrations, by which routers notice that theirs differ. */
import { hash32 } from "./hash32.ts";
import type { RegisteredServer } from "./server_registry.ts";

/**
 * A server that is still cold is announced again at these intervals, so that all
 * routers notice when it says that it has become cold once more.
 */
const WARM_UP_STEP_MILLISECONDS = 4_000;

/**
 * Returns the hash of what peers are told of a server. That of a warm server is
 * the same in earlier releases, which do not consider the warm-up.
 */
export function hashRegistration(server: RegisteredServer): number {
  const { id, service, address, isDraining, started } = server;
  const text = `${id}\0${service}\0${address}\0${isDraining}\0${started}`;
  const step = Math.ceil(server.warmUpMilliseconds / WARM_UP_STEP_MILLISECONDS);
  return hash32(step > 0 ? `${text}\0${step}` : text);
}
