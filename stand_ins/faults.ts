/** Fault injection and bearer key checks for the stand-in servers. */
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";

/**
 * Faults to inject. Each use of a counted fault decrements its count; durations
 * apply immediately.
 */
export interface Faults {
  /** Number of streams to end early, without `[DONE]`. */
  truncate_streams: number;
  truncate_after_tokens: number;
  stall_milliseconds: number;
  delay_milliseconds: number;
  /** Number of connections to close after processing, before the reply. */
  drop_replies: number;
  /** Number of connections to close after the body, before processing. */
  close_after_body: number;
  refuse_connections_milliseconds: number;
}

/** Returns a set of faults that are all inactive. */
export function createFaults(): Faults {
  return {
    truncate_streams: 0,
    truncate_after_tokens: 1,
    stall_milliseconds: 0,
    delay_milliseconds: 0,
    drop_replies: 0,
    close_after_body: 0,
    refuse_connections_milliseconds: 0,
  };
}

/** Decrements a counted fault and returns whether it applies. */
export function takeFault(
  faults: Faults,
  name: "truncate_streams" | "drop_replies" | "close_after_body",
): boolean {
  if (faults[name] <= 0) return false;
  faults[name]--;
  return true;
}

/** Closes a request's connection without a reply. */
export function dropConnection(
  request: FastifyRequest,
  reply: FastifyReply,
): FastifyReply {
  reply.hijack();
  request.raw.socket.destroy();
  return reply;
}

/** Adds `POST /faults`, which sets faults at run time. */
export function addFaultRoute(
  app: FastifyInstance,
  faults: Faults,
  onSet: () => void = () => {},
): void {
  app.post("/faults", async (request) => {
    Object.assign(faults, request.body);
    if (faults.refuse_connections_milliseconds > 0) {
      setTimeout(() => _refuseConnections(app, faults), 5);
    }
    onSet();
    return faults;
  });
}

function _refuseConnections(app: FastifyInstance, faults: Faults): void {
  const address = app.server.address();
  if (address === null || typeof address === "string") return;
  const duration = faults.refuse_connections_milliseconds;
  faults.refuse_connections_milliseconds = 0;
  app.server.close();
  app.server.closeAllConnections();
  setTimeout(() => app.server.listen(address.port, address.address), duration);
}

/** Rejects requests without the bearer key; an empty key disables the check. */
export function addKeyCheck(app: FastifyInstance, key: string): void {
  app.addHook("onRequest", async (request, reply) => {
    const isExempt = ["/faults", "/counters"].includes(request.url);
    if (key === "" || isExempt) return;
    if (request.headers.authorization !== `Bearer ${key}`) {
      await reply.code(401).send({ error: "unauthenticated" });
    }
  });
}
