/**
 * A stand-in for a plain service such as an inventory or order service. Reads
 * are idempotent. Every other call changes an item and is counted by request
 * id, which reveals requests that were executed twice.
 */
import fastify, { type FastifyInstance } from "fastify";
import type { RunningStandIn } from "./engine.ts";
import {
  addFaultRoute,
  addKeyCheck,
  createFaults,
  dropConnection,
  takeFault,
} from "./faults.ts";

/** Configures a stand-in plain service. */
export interface PlainServiceOptions {
  readonly host: string;
  readonly port: number;
  readonly key: string;
}

interface _Item {
  /** Calls that changed the item, in order of execution. */
  readonly changes: { readonly action: string; readonly requestId: string }[];
}

function _addRoutes(app: FastifyInstance, key: string): void {
  const faults = createFaults();
  const items = new Map<string, _Item>();
  const runs = new Map<string, number>();
  let reads = 0;
  addKeyCheck(app, key);
  addFaultRoute(app, faults);
  app.get("/counters", async () => ({
    reads,
    runs: Object.fromEntries(runs),
    doubles: [...runs].filter(([, count]) => count > 1).map(([id]) => id),
    items: Object.fromEntries(items),
  }));
  app.get("/:collection/:item", async (request, reply) => {
    reads++;
    await _sleep(faults.delay_milliseconds);
    if (takeFault(faults, "drop_replies")) {
      return dropConnection(request, reply);
    }
    const { collection, item } = request.params as Record<string, string>;
    const changes = items.get(`${collection}/${item}`)?.changes ?? [];
    return { item, changes: changes.length, last: changes.at(-1)?.action };
  });
  app.post("/:collection/:item/:action", async (request, reply) => {
    if (takeFault(faults, "close_after_body")) {
      return dropConnection(request, reply);
    }
    await _sleep(faults.delay_milliseconds);
    const { collection, item, action = "" } = request.params as Record<
      string,
      string
    >;
    const requestId = String(request.headers["x-request-id"]);
    runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
    const name = `${collection}/${item}`;
    const entry = items.get(name) ?? { changes: [] };
    items.set(name, entry);
    entry.changes.push({ action, requestId });
    if (takeFault(faults, "drop_replies")) {
      return dropConnection(request, reply);
    }
    return { item, action, changes: entry.changes.length };
  });
}

async function _sleep(milliseconds: number): Promise<void> {
  if (milliseconds === 0) return;
  await new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Starts a stand-in plain service and resolves once it listens. */
export async function startPlainService(
  { host = "127.0.0.1", port = 0, key = "" }: Partial<PlainServiceOptions> = {},
): Promise<RunningStandIn> {
  const app = fastify({ forceCloseConnections: true });
  _addRoutes(app, key);
  const url = await app.listen({ host, port });
  return {
    address: url.replace("http://", ""),
    stop: () => app.close(),
  };
}
