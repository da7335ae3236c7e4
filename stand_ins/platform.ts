/**
 * An in-memory stand-in for the platform's HTTP object API, with fault
 * injection for tests.
 */
import fastify, {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from "fastify";
import { MAXIMUM_OBJECT_BYTES } from "../src/platform_client.ts";
import {
  EXPECTED_VERSION_HEADER,
  VERSION_HEADER,
} from "../src/http_platform_client.ts";
import {
  type ChangeOutcome,
  type PlatformCallCounters,
  type PlatformFaults,
  PlatformStore,
} from "./platform_store.ts";

/** Configures a platform stand-in. */
export interface PlatformStandInOptions {
  /** Port on the loopback address; 0 selects a free port. */
  readonly port?: number;
  /** Bearer key that requests must carry; an empty key disables the check. */
  readonly key?: string;
  /** Delay until a host change appears in the host list. */
  readonly hostLagMilliseconds?: number;
}

/** Handle to a running platform stand-in. */
export interface PlatformStandIn {
  readonly address: string;
  readonly store: PlatformStore;
  /** Enables or disables faults. */
  setFaults(faults: Partial<PlatformFaults>): void;
  /** Changes a host's state; the list reflects it after the lag. */
  setHost(host: string, state: "live" | "leaving" | "gone"): void;
  /** Number of calls received, by kind. */
  counters(): Readonly<PlatformCallCounters>;
  close(): Promise<void>;
}

const DEFAULT_HOST_LAG_MILLISECONDS = 1_000;

function _sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function _keyOf(request: FastifyRequest): string {
  return (request.params as { "*": string })["*"];
}

function _sendChange(
  store: PlatformStore,
  reply: FastifyReply,
  outcome: ChangeOutcome,
): FastifyReply {
  if (outcome.kind === "done" && store.faults.lostReplies > 0) {
    store.faults.lostReplies--;
    reply.hijack();
    reply.raw.destroy();
    return reply;
  }
  return reply.code(outcome.kind === "done" ? 200 : 409)
    .header(VERSION_HEADER, outcome.version).send("");
}

function _expectedVersion(request: FastifyRequest): number {
  return Number(request.headers[EXPECTED_VERSION_HEADER] ?? Number.NaN);
}

function _addObjects(server: FastifyInstance, store: PlatformStore): void {
  const { counters } = store;
  server.get("/objects/*", async (request, reply) => {
    counters.reads++;
    const object = store.read(_keyOf(request));
    if (!object) return reply.code(404).send("");
    reply.header(VERSION_HEADER, object.version);
    const isUnchanged =
      request.headers["if-none-match"] === `"${object.version}"`;
    return isUnchanged
      ? reply.code(304).send()
      : reply.type("text/plain").send(object.value);
  });
  server.put("/objects/*", async (request, reply) => {
    counters.writes++;
    const value = request.body as string;
    const outcome = store.write(
      _keyOf(request),
      value,
      _expectedVersion(request),
    );
    return _sendChange(store, reply, outcome);
  });
  server.delete("/objects/*", async (request, reply) => {
    counters.removes++;
    const outcome = store.remove(_keyOf(request), _expectedVersion(request));
    return _sendChange(store, reply, outcome);
  });
  server.get("/watch/*", async (request, reply) => {
    counters.watches++;
    const query = request.query as {
      after?: string;
      wait_milliseconds?: string;
    };
    const wait = Number(query.wait_milliseconds ?? 0);
    if (store.faults.silentWatches) {
      reply.hijack();
      return reply;
    }
    const object = await store.watch(
      _keyOf(request),
      Number(query.after ?? 0),
      wait,
    );
    if (store.faults.silentWatches) {
      reply.hijack();
      return reply;
    }
    if (!object) return reply.code(204).send();
    return reply.header(VERSION_HEADER, object.version).type("text/plain").send(
      object.value,
    );
  });
  server.get("/hosts", async () => {
    counters.hosts++;
    return store.listHosts();
  });
}

/** Adds the control routes for other processes; faults do not affect them. */
function _addControls(server: FastifyInstance, standIn: PlatformStandIn): void {
  const { store } = standIn;
  server.get("/control/state", async () => ({
    faults: store.faults,
    counters: store.counters,
    keys: store.keys(),
    hosts: store.listHosts(),
  }));
  server.post("/control/faults", async (request) => {
    standIn.setFaults(request.body as Partial<PlatformFaults>);
    return store.faults;
  });
  server.post("/control/roll_back", async (request) => {
    store.rollBack((request.body as { writes: number }).writes);
    return { keys: store.keys() };
  });
  server.post("/control/hosts", async (request) => {
    const { host, state } = request.body as {
      host: string;
      state: "live" | "leaving" | "gone";
    };
    standIn.setHost(host, state);
    return { host, state };
  });
}

function _addFaults(
  server: FastifyInstance,
  store: PlatformStore,
  key: string,
): void {
  server.addHook("onRequest", async (request, reply) => {
    if (request.url.startsWith("/control/")) return;
    if (store.faults.slowMilliseconds > 0) {
      await _sleep(store.faults.slowMilliseconds);
    }
    if (store.faults.outage) return reply.code(503).send("");
    if (key !== "" && request.headers.authorization !== `Bearer ${key}`) {
      return reply.code(401).send("");
    }
  });
}

/** Starts a platform stand-in on the loopback address. */
export async function createPlatformStandIn(
  options: PlatformStandInOptions = {},
): Promise<PlatformStandIn> {
  const store = new PlatformStore();
  const hostLagMilliseconds = options.hostLagMilliseconds ??
    DEFAULT_HOST_LAG_MILLISECONDS;
  const timers = new Set<NodeJS.Timeout>();
  const server = fastify({
    bodyLimit: MAXIMUM_OBJECT_BYTES,
    forceCloseConnections: true,
  });
  server.addContentTypeParser(
    "text/plain",
    { parseAs: "string" },
    (_request, body, done) => done(null, body),
  );
  let address = "";
  const standIn: PlatformStandIn = {
    get address() {
      return address;
    },
    store,
    setFaults(faults) {
      Object.assign(store.faults, faults);
      if (faults.outage) store.endWatches();
    },
    setHost(host, state) {
      store.setHost(host, state);
      const timer = setTimeout(() => {
        timers.delete(timer);
        store.publishHosts();
      }, hostLagMilliseconds);
      timers.add(timer);
    },
    counters: () => store.counters,
    async close() {
      for (const timer of timers) clearTimeout(timer);
      store.endWatches();
      await server.close();
    },
  };
  _addFaults(server, store, options.key ?? "");
  _addObjects(server, store);
  _addControls(server, standIn);
  address =
    new URL(await server.listen({ host: "127.0.0.1", port: options.port ?? 0 }))
      .host;
  return standIn;
}
