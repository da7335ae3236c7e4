import test from "ava";
import { Client } from "undici";
import { outputText } from "../stand_ins/engine_text.ts";
import {
  type FleetInProcess,
  startFleetInProcess,
} from "../stand_ins/fleet_in_process.ts";
import {
  OPERATOR_KEY,
  STAND_IN_MODEL,
  STAND_IN_SERVICE,
  workspaceKey,
} from "../stand_ins/fleet_text.ts";
import { type Caller, createCaller } from "./caller.ts";
import { createSeededRandom } from "./core/random.ts";

let fleet: FleetInProcess;
const callers: Caller[] = [];

function createTestCaller(workspace: string): Caller {
  const caller = createCaller({
    routers: fleet.routerAddresses,
    workspaceKey: workspaceKey(workspace),
    random: createSeededRandom(7),
  });
  callers.push(caller);
  return caller;
}

function send(
  router: number,
  path: string,
  options: RequestInit & { key?: string } = {},
): Promise<Response> {
  const { key = workspaceKey("temple"), headers, ...rest } = options;
  return fetch(`http://${fleet.routerAddresses[router]}${path}`, {
    ...rest,
    headers: {
      authorization: `Bearer ${key}`,
      ...headers as Record<string, string>,
    },
  });
}

async function errorCode(response: Response): Promise<string> {
  const body = await response.json() as { error: { code: string } };
  return body.error.code;
}

test.before(async () => {
  fleet = await startFleetInProcess({
    routers: 3,
    engines: 2,
    services: 1,
    workspaces: ["temple", "market"],
    // The tests of this file run concurrently and share the workspaces' limits.
    workspaceKeys: { requests_per_second: 10_000 },
  });
});

test.after.always(async () => {
  await Promise.all(callers.map((caller) => caller.close()));
  await fleet.stop();
});

test("guards against a response that is truncated or belongs to another chat", async (t) => {
  const caller = createTestCaller("temple");
  const runs = Array.from({ length: 12 }, async (_unused, index) => {
    const messages = [{
      role: "user",
      content: `which shelf holds pair ${index}`,
    }];
    let text = "";
    for await (
      const event of caller.chat({
        model: STAND_IN_MODEL,
        messages,
        chat: `chat-${index}`,
        maximumTokens: 20,
      })
    ) text += event._unsafeUnwrap().text;
    t.is(text, outputText(messages, 20));
  });
  await Promise.all(runs);
});

test("guards against a call without streaming losing part of its response", async (t) => {
  const messages = [{ role: "user", content: "one whole answer" }];
  const response = await send(0, "/v1/chat/completions", {
    method: "POST",
    body: JSON.stringify({ model: STAND_IN_MODEL, messages, max_tokens: 9 }),
  });
  t.is(response.status, 200);
  const body = await response.json() as {
    choices: { message: { content: string } }[];
  };
  t.is(body.choices[0]?.message.content, outputText(messages, 9));
});

test("guards against a second run when a call is repeated through every router", async (t) => {
  const addresses = await (await send(0, "/v1/addresses")).json() as {
    addresses: { incarnation: string; epoch: number }[];
  };
  const target = addresses.addresses[0];
  const id = `${target?.incarnation}.${target?.epoch}.0123456789abcdef`;
  const responses = await Promise.all([0, 1, 2, 0, 1, 2].map(async (router) => {
    const response = await send(
      router,
      `/v1/services/${STAND_IN_SERVICE}/slots/a1/release`,
      {
        method: "POST",
        headers: { "x-sapphirecart-request-id": id },
      },
    );
    return [response.status, await response.text()] as const;
  }));
  for (const response of responses) t.deepEqual(response, responses[0]);
  t.is(responses[0]?.[0], 200);
  const read = await send(1, `/v1/services/${STAND_IN_SERVICE}/slots/a1`);
  t.is((await read.json() as { changes: number }).changes, 1);
});

test("guards against running a request after reporting to its caller that it was not run", async (t) => {
  const addresses = await (await send(0, "/v1/addresses")).json() as {
    addresses: { incarnation: string; epoch: number }[];
  };
  const target = addresses.addresses[0];
  const id = `${target?.incarnation}.${target?.epoch}.fedcba9876543210`;
  const outcome = await (await send(2, `/v1/requests/${id}`)).json() as {
    state: string;
  };
  t.is(outcome.state, "refused");
  const lateResponse = await send(
    1,
    `/v1/services/${STAND_IN_SERVICE}/slots/a2/release`,
    {
      method: "POST",
      headers: { "x-sapphirecart-request-id": id },
    },
  );
  t.is(await errorCode(lateResponse), "request_refused");
  const read = await send(1, `/v1/services/${STAND_IN_SERVICE}/slots/a2`);
  t.is((await read.json() as { changes: number }).changes, 0);
});

test("guards against one workspace reading another's request outcome", async (t) => {
  const response = await send(
    0,
    `/v1/services/${STAND_IN_SERVICE}/slots/a3/release`,
    {
      method: "POST",
    },
  );
  const id = response.headers.get("x-sapphirecart-request-id") ?? "";
  const ownOutcome = await (await send(1, `/v1/requests/${id}`)).json() as {
    state: string;
  };
  t.is(ownOutcome.state, "finished");
  const foreignResponse = await send(1, `/v1/requests/${id}`, {
    key: workspaceKey("market"),
  });
  t.is(await errorCode(foreignResponse), "forbidden");
});

test("guards against a call that escapes its service's path", async (t) => {
  const client = new Client(`http://${fleet.routerAddresses[0]}`);
  for (const segment of ["..", "%2e%2e"]) {
    const { statusCode, body } = await client.request({
      method: "POST",
      path: `/v1/services/${STAND_IN_SERVICE}/${segment}/other/slots/a/release`,
      headers: { authorization: `Bearer ${workspaceKey("temple")}` },
    });
    t.is(statusCode, 400);
    const error = await body.json() as { error: { code: string } };
    t.is(error.error.code, "malformed_request");
  }
  await client.close();
});

test("guards against callers and operators without the right key", async (t) => {
  t.is(
    await errorCode(await send(0, "/v1/addresses", { key: "wrong" })),
    "unauthenticated",
  );
  t.is(await errorCode(await send(0, "/operator/dump")), "forbidden");
  t.is((await send(0, "/operator/dump", { key: OPERATOR_KEY })).status, 200);
});

test("guards against secrets in the state dump", async (t) => {
  const text = await (await send(0, "/operator/dump", { key: OPERATOR_KEY }))
    .text();
  for (const secret of ["fleet-key", workspaceKey("temple"), OPERATOR_KEY]) {
    t.false(text.includes(secret), secret);
  }
  const { tasks } = JSON.parse(text) as { tasks: Record<string, unknown> };
  for (
    const task of [
      "membership",
      "configuration",
      "admission",
      "chat_home",
      "execution",
    ]
  ) {
    t.true(task in tasks, task);
  }
});

test("guards against invalid input whose response is not from the error table", async (t) => {
  const cases: readonly (readonly [string, string, number])[] = [
    ["{", "malformed_body", 400],
    ["{}", "malformed_body", 400],
    [
      JSON.stringify({
        model: "unknown",
        messages: [{ role: "user", content: "x" }],
      }),
      "forbidden",
      403,
    ],
    ["x".repeat(5_000_000), "body_too_large", 413],
  ];
  for (const [body, code, status] of cases) {
    const response = await send(0, "/v1/chat/completions", {
      method: "POST",
      body,
    });
    t.is(response.status, status);
    t.is(await errorCode(response), code);
  }
  t.is(await errorCode(await send(0, "/nowhere")), "not_found");
  t.is((await send(0, "/healthz")).status, 200);
});

test("guards against metrics that are missing or not in the Prometheus format", async (t) => {
  const text = await (await send(0, "/metrics")).text();
  t.regex(text, /^sapphirecart_requests_total/m);
  t.regex(text, /^# TYPE sapphirecart_first_token_seconds histogram/m);
});

test("guards against advertising a drained entry host to callers", async (t) => {
  const drainedFleet = await startFleetInProcess({
    routers: 2,
    engines: 1,
    services: 1,
    workspaces: ["temple"],
    drains: { hosts: ["host-1"], backendServers: [] },
  });
  const response = await fetch(
    `http://${drainedFleet.routerAddresses[1]}/v1/addresses`,
    {
      headers: { authorization: `Bearer ${workspaceKey("temple")}` },
    },
  );
  const { addresses } = await response.json() as {
    addresses: { address: string }[];
  };
  t.deepEqual(
    addresses.map(({ address }) => address),
    drainedFleet.routerAddresses.slice(0, 1),
  );
  await drainedFleet.stop();
});

test("guards against excluding a server forever after it refused connections briefly", async (t) => {
  const smallFleet = await startFleetInProcess({
    routers: 1,
    engines: 1,
    services: 1,
    workspaces: ["temple"],
  });
  function callOnce(item: string): Promise<Response> {
    const path = `/v1/services/${STAND_IN_SERVICE}/slots/${item}/release`;
    return fetch(`http://${smallFleet.routerAddresses[0]}${path}`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${workspaceKey("temple")}`,
        "x-sapphirecart-deadline-milliseconds": "1000",
      },
    });
  }
  function sleep(milliseconds: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, milliseconds));
  }
  // The first observation of a server is a state change, which would end any
  // exclusion.
  await sleep(1_500);
  await fetch(`http://${smallFleet.services[0]?.address}/faults`, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify({ refuse_connections_milliseconds: 1_500 }),
  });
  await sleep(50);
  t.is((await callOnce("first")).status, 503);
  // The refusals end 1.5 s after their start.
  await sleep(3_700);
  t.is((await callOnce("second")).status, 200);
  await smallFleet.stop();
});
