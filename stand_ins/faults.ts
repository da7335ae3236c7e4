/** Fault controls that the stand-ins share, and the closing of their listener for a while. */
import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";

/** Faults to inject; counts are used up, times apply at once. */
export interface Faults {
  /** Ends this many streams early and without `[DONE]`. */
  truncate_streams: number;
  truncate_after_tokens: number;
  stall_milliseconds: number;
  delay_milliseconds: number;
  /** Closes this many connections after the work instead of replying. */
  drop_replies: number;
  /** Closes this many connections after the body arrived, before any work. */
  close_after_body: number;
  refuse_connections_milliseconds: number;
}

/** Creates faults that do nothing. */
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

/** Uses up one of a counted fault. */
export function takeFault(
  faults: Faults,
  name: "truncate_streams" | "drop_replies" | "close_after_body",
): boolean {
  if (faults[name] <= 0) return false;
  faults[name]--;
  return true;
}

/** Closes the connection of a request without a reply. */
export function dropConnection(
  request: FastifyRequest,
  reply: FastifyReply,
): FastifyReply {
  reply.hijack();
  request.raw.socket.destroy();
  return reply;
}

/** Serves `POST /faults`. */
export function addFaultRoute(
  app: FastifyInstance,
  faults: Faults,
  onSet: () => void = () => {},
): void {
  app.post("/faults", async (request) => {
    Object.assign(faults, request.body);
    if (faults.refuse_connections_milliseconds > 0) {
      setTimeout(() => _refuse(app, faults), 5);
    }
    onSet();
    return faults;
  });
}

function _refuse(app: FastifyInstance, faults: Faults): void {
  const address = app.server.address();
  if (address === null || typeof address === "string") return;
  const duration = faults.refuse_connections_milliseconds;
  faults.refuse_connections_milliseconds = 0;
  app.server.close();
  app.server.closeAllConnections();
  setTimeout(() => app.server.listen(address.port, address.address), duration);
}

/** Rejects requests without the bearer key; an empty key admits everyone. */
export function addKeyCheck(app: FastifyInstance, key: string): void {
  app.addHook("onRequest", async (request, reply) => {
    const open = ["/faults", "/counters"].includes(request.url);
    if (key === "" || open) return;
    if (request.headers.authorization !== `Bearer ${key}`) {
      await reply.code(401).send({ error: "unauthenticated" });
    }
  });
}
