/**
 * A naive proxy for plain services: it picks a backend server at random and
 * retries at the next one after any failure.
 */
import { cac } from "cac";
import fastify from "fastify";

const { options } = cac("naive_proxy")
  .option("--port <port>", "Port to listen on")
  .option("--backends <list>", "Backend servers to use")
  .parse();
const backends = String(options.backends).split(",");
const server = fastify();

server.all("/*", async (request, reply) => {
  const firstIndex = Math.floor(Math.random() * backends.length);
  for (let attempt = 0; attempt < backends.length; attempt++) {
    const backend = backends[(firstIndex + attempt) % backends.length];
    try {
      const response = await fetch(`http://${backend}${request.url}`, {
        method: request.method,
        headers: { "x-request-id": request.id },
      });
      return await reply.code(response.status).send(await response.text());
    } catch {
      // Retries at the next backend server, even if this one ran the request.
    }
  }
  return reply.code(502).send({ error: "all backend servers failed" });
});

const url = await server.listen({
  host: "127.0.0.1",
  port: Number(options.port),
});
process.stdout.write(`listening on ${url.replace("http://", "")}\n`);
