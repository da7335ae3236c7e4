/**
 * A sound stand-in of the platform's store (PROTOCOL.md, "The platform's metadata
 * store"): objects by kind and name, one revision counter, lists and watches. It is
 * never down, slow or behind, and loses no answer.
 */
import { createServer } from "node:http";

const MAXIMUM_EVENTS = 10_000;

export class Store {
  #objects = new Map();
  #events = [];
  #revision = 1;
  #waiting = new Set();
  #server = createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });

  async start() {
    // The program keeps idle connections for some seconds.
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return `127.0.0.1:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes an object, as the operator or a runner does; returns its revision. */
  put(kind, name, spec) {
    const objects = this.#kind(kind);
    const previous = objects.get(name);
    const revision = ++this.#revision;
    const metadata = {
      name,
      revision,
      created: previous?.metadata.created ?? revision,
      finalizers: [],
      deleting: false,
    };
    const object = { metadata, spec, status: null };
    objects.set(name, object);
    this.#publish({ kind, revision, object, deleted: false });
    return object;
  }

  remove(kind, name) {
    const object = this.#kind(kind).get(name);
    if (!object) return undefined;
    this.#kind(kind).delete(name);
    this.#publish({ kind, revision: ++this.#revision, object, deleted: true });
    return object;
  }

  #kind(kind) {
    let objects = this.#objects.get(kind);
    if (!objects) this.#objects.set(kind, objects = new Map());
    return objects;
  }

  #publish(event) {
    this.#events.push(event);
    if (this.#events.length > MAXIMUM_EVENTS) this.#events.shift();
    for (const wake of [...this.#waiting]) wake();
  }

  async #handle(request, response) {
    let text = "";
    for await (const chunk of request) text += String(chunk);
    const { pathname, searchParams } = new URL(request.url, "http://store");
    const [, , kind = "", name = "", part] = pathname.split("/").map(
      decodeURIComponent,
    );
    if (request.method === "GET") {
      return this.#read(response, kind, name, searchParams);
    }
    const object = this.#kind(kind).get(name);
    if (request.method === "DELETE") {
      if (!object) return this.#send(response, 404, {});
      return this.#send(response, 200, this.remove(kind, name));
    }
    const body = JSON.parse(text);
    if (request.method === "POST") {
      const existing = this.#kind(kind).get(body.metadata.name);
      if (existing) return this.#send(response, 409, existing);
      return this.#send(
        response,
        200,
        this.put(kind, body.metadata.name, body.spec),
      );
    }
    if (!object) return this.#send(response, 404, {});
    const expected = body.metadata?.revision;
    if (expected !== undefined && expected !== object.metadata.revision) {
      return this.#send(response, 409, object);
    }
    if (part === "status") {
      object.status = body.status;
      return this.#send(response, 200, object);
    }
    const isSame = JSON.stringify(object.spec) === JSON.stringify(body.spec);
    this.#send(
      response,
      200,
      isSame ? object : this.put(kind, name, body.spec),
    );
  }

  #read(response, kind, name, query) {
    if (name !== "") {
      const object = this.#kind(kind).get(name);
      return this.#send(response, object ? 200 : 404, object ?? {});
    }
    if (!query.has("watch")) {
      const items = [...this.#kind(kind).values()];
      return this.#send(response, 200, {
        items,
        more: false,
        storeRevision: this.#revision,
      });
    }
    const since = Number(query.get("watch"));
    const isLost = this.#events.length === MAXIMUM_EVENTS &&
      since < this.#events[0].revision;
    if (isLost) return this.#send(response, 410, {});
    const find = () =>
      this.#events.filter((event) =>
        event.kind === kind && event.revision > since
      );
    const answer = () => {
      clearTimeout(timer);
      this.#waiting.delete(wake);
      const events = find().map(({ object, deleted }) => ({ object, deleted }));
      this.#send(response, 200, { events, storeRevision: this.#revision });
    };
    const wake = () => {
      if (find().length > 0) answer();
    };
    const timer = setTimeout(answer, Number(query.get("waitMs") ?? 0));
    response.once("close", () => {
      clearTimeout(timer);
      this.#waiting.delete(wake);
    });
    this.#waiting.add(wake);
    wake();
  }

  #send(response, status, body) {
    if (response.destroyed || response.writableEnded) return;
    response.writeHead(status, { "Content-Type": "application/json" });
    response.end(JSON.stringify(body));
  }
}
