/** Requests that no caller should send, to both ports of a router process. */
import test from "ava";
import { request } from "undici";
import {
  type FleetProcesses,
  startFleetProcesses,
} from "../stand_ins/fleet_processes.ts";
import {
  STAND_IN_MODEL,
  STAND_IN_SERVICE,
  workspaceKey,
} from "../stand_ins/fleet_text.ts";
import {
  type HostileVocabulary,
  sendHostileRequests,
} from "../stand_ins/hostile_requests.ts";

const WORKSPACE = "temple";
const AUTHORIZATION = `Bearer ${workspaceKey(WORKSPACE)}`;
const SERVICE_PATH = `/v1/services/${STAND_IN_SERVICE}`;
const CHAT_PATH = "/v1/chat/completions";
const CHAT = JSON.stringify({
  model: STAND_IN_MODEL,
  stream: true,
  max_tokens: 2,
  messages: [{ role: "user", content: "hello" }],
});

const VOCABULARY: HostileVocabulary = {
  targets: [
    `${SERVICE_PATH}/%`,
    `${SERVICE_PATH}/../../..`,
    `${SERVICE_PATH}//[`,
    `${SERVICE_PATH}/\u00ff`,
    `${SERVICE_PATH}`,
    `http://x${SERVICE_PATH}/slots/1`,
    `http://[${SERVICE_PATH}/slots/1`,
    "/v1/services/%2f/x",
    "/v1/services/__proto__/x",
    "/v1/services/" + "z".repeat(9_000) + "/x",
    CHAT_PATH,
    "/v1/requests/%ff",
    "/v1/requests/__proto__",
    "/v1/requests/" + "z".repeat(9_000),
    "/v1/addresses?%",
    "/operator/stop",
    "/operator/dump",
    "/readyz?",
    "/metrics/",
  ],
  headers: [
    `Authorization: ${AUTHORIZATION}`,
    "X-Sapphirecart-Request-Id: id",
    "X-Sapphirecart-Request-Id: \u00ff",
    "X-Sapphirecart-Request-Id:",
    "X-Sapphirecart-Request-Id: a\r\nX-Sapphirecart-Request-Id: b",
    "X-Sapphirecart-Deadline-Milliseconds: -1",
    "X-Sapphirecart-Deadline-Milliseconds: 1e999",
    "X-Sapphirecart-Deadline-Milliseconds: 0.001",
    "X-Sapphirecart-Chat: \u00ff",
    "X-Sapphirecart-Chat: " + "c".repeat(200),
    "X-Sapphirecart-Priority: __proto__",
    `Content-Length: ${CHAT.length}\r\n\r\n${CHAT}`,
    "Content-Length: 2\r\n\r\n[]",
  ],
  soundTargets: [
    `${SERVICE_PATH}/slots/1`,
    `${SERVICE_PATH}/slots/1/release`,
    CHAT_PATH,
    "/v1/addresses",
    "/v1/requests/id",
  ],
  soundHeaders: ["Host: shop.example", `Authorization: ${AUTHORIZATION}`],
};

async function serveSoundRequests(fleet: FleetProcesses): Promise<number[]> {
  const address = fleet.routerAddresses[0] ?? "";
  const headers = { authorization: AUTHORIZATION };
  const responses = [
    await request(`http://${address}/readyz`),
    await request(`http://${address}/metrics`),
    await request(`http://${address}${SERVICE_PATH}/slots/1`, { headers }),
    await request(`http://${address}${CHAT_PATH}`, {
      method: "POST",
      headers: { ...headers, "content-type": "application/json" },
      body: CHAT,
    }),
  ];
  for (const { body } of responses) await body.dump();
  return responses.map(({ statusCode }) => statusCode);
}

test("guards against any request that ends a router process or keeps it from serving others", async (t) => {
  const fleet = await startFleetProcesses({
    dataCentres: ["north"],
    routers: 1,
    engines: 1,
    services: 1,
    workspaces: [WORKSPACE],
  });
  t.teardown(() => fleet.stop());
  const [router] = fleet.routers;
  const ports = [...fleet.routerAddresses, ...fleet.peerAddresses];
  await sendHostileRequests(ports, VOCABULARY, async (sent) => {
    t.true(router?.isRunning(), `ended after ${sent} requests`);
    t.deepEqual(
      await serveSoundRequests(fleet),
      [200, 200, 200, 200],
      `after ${sent} requests`,
    );
  });
});
