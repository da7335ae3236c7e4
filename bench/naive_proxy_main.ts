/**
 * The naive version of a router for plain services: it picks a backend server at
 * random and tries the next one after any failure.
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
  const first = Math.floor(Math.random() * backends.length);
  for (let attempt = 0; attempt < backends.length; attempt++) {
    const backend = backends[(first + attempt) % backends.length];
    try {
      const answer = await fetch(`http://${backend}${request.url}`, {
        method: request.method,
        headers: { "x-request-id": request.id },
      });
      return await reply.code(answer.status).send(await answer.text());
    } catch {
      // Tries the next backend server, whether or not this one did the work.
    }
  }
  return reply.code(502).send({ error: "all backend servers failed" });
});

const url = await server.listen({
  host: "127.0.0.1",
  port: Number(options.port),
});
process.stdout.write(`listening on ${url.replace("http://", "")}\n`);
