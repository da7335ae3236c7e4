/** Baseline of the gateway bench: a streaming proxy of only node:http and undici. */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { cac } from "cac";
import { Pool } from "undici";

const { options } = cac("bare_stream_proxy")
  .option("--backend <address>", "Backend server")
  .parse();
const pool = new Pool(`http://${options["backend"]}`);
const server = createServer((request, response) => {
  pool.stream(
    {
      method: request.method as "GET",
      path: request.url ?? "/",
      headers: request.headers,
      body: request.method === "GET" ? null : request,
    },
    ({ statusCode, headers }) => response.writeHead(statusCode, headers),
  ).catch(() => response.destroy());
});
server.listen(0, "127.0.0.1", () => {
  const { port } = server.address() as AddressInfo;
  process.stdout.write(`listening on 127.0.0.1:${port}\n`);
});
