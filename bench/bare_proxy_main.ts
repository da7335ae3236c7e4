/** Baseline of the overhead bench: a proxy of only fastify and undici. */
import { cac } from "cac";
import fastify from "fastify";
import { Pool } from "undici";

const { options } = cac("bare_proxy")
  .option("--port <port>", "Port to listen on", { default: 0 })
  .option("--backend <address>", "Backend server")
  .parse();
const pool = new Pool(`http://${options.backend}`);
const server = fastify();
server.removeAllContentTypeParsers();
server.addContentTypeParser(
  "*",
  { parseAs: "buffer" },
  (_request, body, done) => {
    done(null, body);
  },
);
server.all("/*", async (request, reply) => {
  const response = await pool.request({
    method: request.method,
    path: request.url,
    body: request.body instanceof Uint8Array ? request.body : null,
  });
  return reply.code(response.statusCode).send(
    Buffer.from(await response.body.arrayBuffer()),
  );
});
const url = await server.listen({
  host: "127.0.0.1",
  port: Number(options.port),
});
process.stdout.write(`listening on ${url.replace("http://", "")}\n`);
