/** The errors that a caller gets from a chat whose router reports one. */
import { Readable } from "node:stream";
import test from "ava";
import { ok } from "neverthrow";
import type { AddressPool } from "./address_pool.ts";
import type { UnreadResponse } from "./backend_transport.ts";
import { streamChat } from "./caller_chat.ts";
import { type CallerHttp, parseRouterError } from "./caller_http.ts";

function responseOf(text: string): UnreadResponse {
  return {
    status: 200,
    headers: {},
    body: Readable.from([Buffer.from(text)]),
    release: () => undefined,
  };
}

/** Streams a chat once from a router that sends this error event. */
async function failureOf(data: string) {
  const http: CallerHttp = {
    open: () =>
      Promise.resolve(ok(responseOf(`event: error\ndata: ${data}\n\n`))),
    send: () => Promise.reject(new Error("a chat sends no other request")),
    getJson: () => Promise.resolve(undefined),
  };
  const pool = {
    list: () => Promise.resolve([{ address: "127.0.0.1:1" }]),
    avoid: () => undefined,
  } as unknown as AddressPool;
  const events = streamChat({ model: "model", messages: [] }, {
    http,
    pool,
    now: () => 0,
    backOff: () => Promise.resolve(),
    defaultDeadlineMilliseconds: 1_000,
    maximumAttempts: 1,
  });
  for await (const event of events) {
    if (event.isErr()) return event.error.error;
  }
  return undefined;
}

const MALFORMED_EVENTS = {
  "no JSON": "not JSON",
  "null": "null",
  "no error": "{}",
  "a code that is none of ours": '{"error":{"code":"other"}}',
  "a code that every object has": '{"error":{"code":"constructor"}}',
  "a detail that is no text": '{"error":{"code":"not_found","detail":1}}',
};

for (const [title, data] of Object.entries(MALFORMED_EVENTS)) {
  test(`guards against a malformed error event reported as a status that no router sent: ${title}`, async (t) => {
    const failure = await failureOf(data);
    t.is(failure?.kind, "answer_truncated");
    t.is(failure?.detail, "the router sent an invalid error event");
  });
}

test("guards against losing the kind and the detail of an error event", async (t) => {
  const failure = await failureOf(
    '{"error":{"code":"backend_failed","detail":"the server ended"}}',
  );
  t.is(failure?.kind, "backend_failed");
  t.is(failure?.detail, "the server ended");
});

test("guards against taking an unreadable error response for one of a known kind", (t) => {
  const failure = parseRouterError({
    status: 500,
    headers: {},
    body: Buffer.from('{"error":{"code":"constructor"}}'),
  });
  t.is(failure?.kind, "outcome_unknown");
  t.is(failure?.detail, "the router returned status 500");
});
