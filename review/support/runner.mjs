/**
 * A sound stand-in of a runner (PROTOCOL.md, "Runners"): it echoes the request's id,
 * signs what it ran, and rejects with 421 what names another runner.
 */
import { createServer } from "node:http";

export class Runner {
  #options;
  #born = Date.now();
  #server;
  address = "";

  /**
   * @param options `id`, `service`, `workMilliseconds(request)`, and `onRun` and
   *   `onEnd`, which record what ran and how it ended.
   */
  constructor(options) {
    this.#options = options;
  }

  get id() {
    return this.#options.id;
  }

  async start() {
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  stop() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** The runner's entry in the store. */
  entry(state = "ready") {
    return {
      service: this.#options.service,
      address: this.address,
      zone: "a",
      version: "v1",
      slots: 64,
      state,
      coldRemainingMs: 0,
      sequence: 1,
      born: this.#born,
    };
  }

  async #handle(request, response) {
    const { id, service, workMilliseconds = () => 5, onRun, onEnd } =
      this.#options;
    const requestId = request.headers["x-sapphirecart-request-id"];
    const head = { "X-Sapphirecart-Request-Id": requestId ?? "" };
    let body = "";
    for await (const chunk of request) body += String(chunk);
    if (request.url === "/health") {
      response.writeHead(200, { "X-Sapphirecart-Instance-Id": id }).end();
      return;
    }
    const expected = request.headers["x-sapphirecart-expected-instance"];
    const isMisdirected = expected !== undefined && expected !== id;
    if (!requestId || isMisdirected) {
      head["X-Sapphirecart-Not-Executed"] = "1";
      response.writeHead(isMisdirected ? 421 : 400, head).end();
      return;
    }
    const run = {
      at: Date.now(),
      id: requestId,
      runner: id,
      service,
      path: request.url,
    };
    onRun?.(run);
    await new Promise((resolve) =>
      setTimeout(resolve, workMilliseconds(request))
    );
    const text =
      `${service} ${id} ran ${request.method} ${request.url} ${body}`;
    head["X-Sapphirecart-Response-Signature"] = `s.${id}.${requestId}`;
    head["Content-Length"] = Buffer.byteLength(text);
    onEnd?.({ ...run, ended: Date.now(), isCut: response.destroyed });
    if (response.destroyed) return;
    response.writeHead(200, head).end(text);
  }
}
