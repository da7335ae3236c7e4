import { once } from "node:events";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { LoopbackProxy } from "./loopback_proxy.ts";

/** Starts a proxy in front of a server; returns both ends of a connection. */
async function open(t: ExecutionContext) {
  const accepted: Socket[] = [];
  const server: Server = createServer((socket) => {
    socket.on("error", () => undefined);
    accepted.push(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const proxy = new LoopbackProxy(() => `127.0.0.1:${port}`);
  const [host = "", proxyPort = ""] = (await proxy.start()).split(":");
  const client = connect(Number(proxyPort), host);
  client.on("error", () => undefined);
  await once(server, "connection");
  t.teardown(() => {
    proxy.stop();
    server.close();
    client.destroy();
    for (const socket of accepted) socket.destroy();
  });
  return { proxy, client, target: accepted[0] as Socket };
}

test("guards against chunks that overtake those still delayed when a delay ends", async (t) => {
  const { proxy, client, target } = await open(t);
  let text = "";
  client.on("data", (chunk) => (text += chunk.toString()));
  proxy.setFault("delay");
  target.write("a");
  await sleep(20);
  proxy.setFault("none");
  target.write("b");
  target.end("c");
  await once(client, "end");
  t.is(text, "abc");
});

test("guards against a side of a silenced connection that stays open when the proxy stops", async (t) => {
  const { proxy, client, target } = await open(t);
  proxy.setFault("silence");
  client.destroy();
  await sleep(100);
  t.false(target.destroyed);
  proxy.stop();
  await new Promise((resolve) => target.once("close", resolve));
  t.true(target.destroyed);
});

test("guards against a proxy that claims to have reached a target that refused the connection", async (t) => {
  const { proxy, client, target } = await open(t);
  target.write("x");
  await once(client, "data");
  t.true(proxy.hasReachedTarget(client.localPort ?? 0));
  const refusing = new LoopbackProxy(() => "127.0.0.1:1");
  const [host = "", port = ""] = (await refusing.start()).split(":");
  const refused = connect(Number(port), host);
  t.teardown(() => refusing.stop());
  let localPort = 0;
  refused.on("error", () => undefined);
  refused.on("connect", () => (localPort = refused.localPort ?? 0));
  // `once` would reject, since the proxy resets the connection.
  await new Promise((resolve) => refused.on("close", resolve));
  t.false(refusing.hasReachedTarget(localPort));
  t.false(refusing.hasReachedTarget(0));
});
