/** Sends the body of a request, at once or in parts over some time. */
import type { ClientRequest } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

/** Options of sending a body. */
export interface SendBodyOptions {
  readonly body: string;
  readonly parts: number;
  /** Time over which the parts are sent. */
  readonly milliseconds: number;
}

/** Sends a body; resolves with whether its last byte was sent. */
export async function sendBody(
  request: ClientRequest,
  { body, parts, milliseconds }: SendBodyOptions,
): Promise<boolean> {
  const size = Math.ceil(body.length / parts);
  for (let part = 0; part < parts - 1; part++) {
    request.write(body.slice(part * size, (part + 1) * size));
    await sleep(milliseconds / (parts - 1));
    if (request.destroyed) return false;
  }
  request.end(body.slice((parts - 1) * size));
  return true;
}
