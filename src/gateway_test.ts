import test from "ava";
import {
  call,
  received,
  requestText,
  sendRaw,
  startBench,
  stopBenches,
  waitUntil,
} from "../stand_ins/gateway_test_bench.ts";
import {
  type RawBackend,
  refuse,
  responseBytes,
  responseHeaders,
} from "../stand_ins/raw_backend.ts";
import { readReceived } from "../stand_ins/received_response.ts";
import { DEFAULT_HEADER_NAMES as NAMES } from "./gateway_protocol.ts";

test.after.always(stopBenches);

test.serial("guards against altering a request's method, path, query, body or id, and against forwarding its caller's key to a server", async (t) => {
  const bench = await startBench();
  const path = "/once/a%2Fb/../c//d?x=1&y=%20&z";
  const { status, text, id } = await call(bench, {
    path,
    method: "POST",
    body: "the body",
  });
  t.is(status, 200);
  t.is(text, `POST ${path} the body`);
  const [seen] = received(bench);
  t.is(seen?.id, id);
  t.true(Number(seen?.headers[NAMES.deadline]) <= 3_000);
  t.is(seen?.headers[NAMES.workspace], "temple");
  t.is(seen?.headers.authorization, undefined);
});

test.serial("guards against forwarding internal headers that a caller forged, and against forwarding headers that its Connection header lists", async (t) => {
  const bench = await startBench();
  const forged = [
    `${NAMES.workspace}: market`,
    `${NAMES.expectedServer}: s9`,
    `${NAMES.urgency}: 0`,
    "x-kept: yes",
    "x-hop: 1",
    "Connection: close, x-hop",
  ];
  await sendRaw(
    bench,
    `GET /safe/x HTTP/1.1\r\nHost: shop.example\r\n${NAMES.requestId}: a\r\n` +
      `Authorization: Bearer temple-key\r\n${forged.join("\r\n")}\r\n\r\n`,
  );
  const [seen] = received(bench);
  t.is(seen?.headers[NAMES.workspace], "temple");
  t.true(["s0", "s1"].includes(String(seen?.headers[NAMES.expectedServer])));
  t.is(seen?.headers[NAMES.urgency], "1");
  t.is(seen?.headers["x-kept"], "yes");
  t.is(seen?.headers["x-hop"], undefined);
});

test.serial("guards against forwarding a request without a route, a valid key or an id, and against requiring a key on a public route", async (t) => {
  const bench = await startBench();
  t.is((await call(bench, { path: "/none/x" })).status, 404);
  const wrong = await call(bench, { headers: { authorization: "Bearer x" } });
  t.is(wrong.status, 401);
  t.is((await call(bench, { id: "" })).status, 400);
  t.is(received(bench).length, 0);
  const open = await call(bench, {
    path: "/public/x",
    headers: { authorization: "" },
  });
  t.is(open.status, 200);
});

test.serial("guards against request smuggling through ambiguous or invalid framing", async (t) => {
  const bench = await startBench();
  const hidden = "GET /safe/hidden HTTP/1.1\r\nHost: shop.example\r\n\r\n";
  const heads = [
    `Content-Length: ${hidden.length}\r\nTransfer-Encoding: chunked\r\n`,
    "Content-Length: 5\r\nContent-Length: 6\r\n",
    "Transfer-Encoding: chunked, identity\r\n",
    "Content-Length: +5\r\n",
  ];
  for (const head of heads) {
    const response = await sendRaw(
      bench,
      `POST /once/x HTTP/1.1\r\nHost: shop.example\r\n${NAMES.requestId}: a\r\n` +
        `Authorization: Bearer temple-key\r\n${head}\r\n${hidden}`,
    );
    t.regex(response, /^HTTP\/1.1 400 /, head);
  }
  t.is(received(bench).length, 0);
  const malformed = bench.gateways[0]!.lines.filter((line) =>
    line.includes("request.malformed")
  );
  t.is(malformed.length, heads.length);
});

test.serial("guards against forwarding an incomplete request", async (t) => {
  const bench = await startBench();
  await sendRaw(
    bench,
    `POST /once/x HTTP/1.1\r\nHost: shop.example\r\n${NAMES.requestId}: a\r\n` +
      `Authorization: Bearer temple-key\r\nContent-Length: 10\r\n\r\nhalf`,
    (socket) => setTimeout(() => socket.destroy(), 100),
  );
  await new Promise((resolve) => setTimeout(resolve, 100));
  t.is(received(bench).length, 0);
});

test.serial("guards against retrying a non-idempotent request that may have run", async (t) => {
  const bench = await startBench();
  for (const backend of bench.backends) {
    backend.script((_, response) => response.destroy());
  }
  const { status, id } = await call(bench, {
    path: "/once/x",
    method: "POST",
    body: "b",
  });
  t.is(status, 502);
  t.is(received(bench).filter((entry) => entry.id === id).length, 1);
});

test.serial("guards against not retrying a request that a server refused, and against not retrying an idempotent request that failed on a server", async (t) => {
  const bench = await startBench();
  let calls = 0;
  for (const backend of bench.backends) {
    backend.script((entry, response) => {
      if (calls++ === 0) refuse(entry, response);
      else response.writeHead(200, responseHeaders(entry.id)).end("done");
    });
  }
  const refused = await call(bench, { path: "/once/x", method: "POST" });
  t.is(refused.text, "done");
  for (const backend of bench.backends) {
    backend.script((entry, response) => {
      if (calls++ === 2) {
        response.writeHead(500, responseHeaders(entry.id)).end("error");
      } else response.writeHead(200, responseHeaders(entry.id)).end("done");
    });
  }
  t.is((await call(bench)).text, "done");
});

test.serial("guards against reporting that a request may have run although every server refused it, and against omitting Retry-After", async (t) => {
  const bench = await startBench();
  for (const backend of bench.backends) backend.script(refuse);
  const { status, headers } = await call(bench, { path: "/once/x" });
  t.is(status, 503);
  t.true(Number(headers["retry-after"]) > 0);
});

test.serial("guards against inferring from a status code alone that a request was not run", async (t) => {
  const bench = await startBench();
  for (const status of [408, 429, 503]) {
    for (const backend of bench.backends) {
      backend.script(({ id }, response) => {
        response.writeHead(status, responseHeaders(id)).end();
      });
    }
    const response = await call(bench, { path: "/once/x", method: "POST" });
    t.is(response.status, 502, `${status}`);
    t.is(response.headers[NAMES.signature], undefined);
  }
});

test.serial("guards against relaying a response whose status is none of HTTP, at every kind of route", async (t) => {
  const bench = await startBench({ backends: 1 });
  const [backend] = bench.backends as [RawBackend];
  for (const status of ["000", "099", "199", "600", "700", "999"]) {
    backend.script(({ id }, { socket }) =>
      socket?.end(responseBytes(id, "data: a\n\n").replace("200 OK", status))
    );
    for (const path of ["/once/x", "/safe/x", "/stream/x", "/single/x"]) {
      const response = await call(bench, { path, method: "POST" });
      t.is(response.status, 502, `${path} ${status}`);
      t.is(response.headers[NAMES.signature], undefined);
    }
  }
  backend.script(undefined);
  t.is((await call(bench, { path: "/once/x" })).status, 200);
});

test.serial("guards against relaying a stray response to the next request on a connection", async (t) => {
  const bench = await startBench({ backends: 1 });
  const [backend] = bench.backends as [RawBackend];
  let late: (() => void) | undefined;
  backend.script(({ id }, response) => {
    const { socket } = response;
    // A second response to one request arrives in place of the next response.
    if (late) late();
    else response.writeHead(200, responseHeaders(id)).end("first");
    late ??= () => socket?.write(responseBytes(id, "stray"));
  });
  t.is((await call(bench, { path: "/once/x" })).text, "first");
  const second = await call(bench, { path: "/once/x" });
  t.is(second.status, 502);
  t.not(second.text, "stray");
  backend.script(undefined);
  t.is((await call(bench, { path: "/once/x" })).status, 200);
});

test.serial("guards against completing a response without a length whose server reset the connection, and against resetting a complete response", async (t) => {
  const bench = await startBench({ backends: 1 });
  const [backend] = bench.backends as [RawBackend];
  function head(id: string): string {
    return `HTTP/1.1 200 OK\r\n${NAMES.requestId}: ${id}\r\n${NAMES.signature}: s\r\n` +
      "Connection: close\r\n\r\n";
  }
  backend.script(({ id }, { socket }) => {
    socket?.write(`${head(id)}part`);
    setTimeout(() => socket?.resetAndDestroy(), 50);
  });
  const get = requestText("/once/x", "a", "Connection: close\r\n");
  const cut = readReceived(await sendRaw(bench, get));
  t.is(cut.body, "part");
  t.false(cut.looksWhole);
  backend.script(({ id }, { socket }) => socket?.end(`${head(id)}whole`));
  const whole = readReceived(await sendRaw(bench, get));
  t.is(whole.body, "whole");
  t.true(whole.looksWhole);
});

test.serial("guards against a response without a length that only the end of its connection ends, so that a cut one looks complete", async (t) => {
  const bench = await startBench({ backends: 1 });
  const [backend] = bench.backends as [RawBackend];
  for (const path of ["/once/x", "/safe/x", "/single/x", "/stream/x"]) {
    for (const version of ["1.0", "1.1"]) {
      backend.script(({ id }, { socket }) =>
        socket?.end(
          `HTTP/1.1 200 OK\r\n${NAMES.requestId}: ${id}\r\n` +
            `${NAMES.signature}: s\r\n\r\ndata: a\n\n`,
        )
      );
      const text = await sendRaw(
        bench,
        `GET ${path} HTTP/${version}\r\nHost: shop.example\r\n` +
          `${NAMES.requestId}: a\r\nAuthorization: Bearer temple-key\r\n` +
          "Connection: close\r\n\r\n",
      );
      const { status, head, body, looksWhole } = readReceived(text);
      const name = `${path} HTTP/${version}`;
      t.is(status, 200, name);
      t.is(body, "data: a\n\n", name);
      t.true(looksWhole, name);
      const framing = version === "1.0"
        ? /content-length: 9/i
        : /transfer-encoding: chunked/i;
      t.regex(head, framing, name);
    }
  }
});

test.serial("guards against ending a truncated response as if it were complete", async (t) => {
  const bench = await startBench({ backends: 1 });
  const [backend] = bench.backends as [RawBackend];
  backend.script(({ id }, { socket }) => {
    socket?.end(responseBytes(id, "0123456789").slice(0, -4));
  });
  await t.throwsAsync(call(bench, { path: "/once/x" }));
});

test.serial("guards against relaying a successful response without a signature", async (t) => {
  const bench = await startBench({ backends: 1 });
  bench.backends[0]!.script(({ id }, response) => {
    response.writeHead(200, { [NAMES.requestId]: id }).end("forged");
  });
  const { status, text } = await call(bench, { path: "/once/x" });
  t.is(status, 502);
  t.false(text.includes("forged"));
});

test.serial("guards against not resuming a broken stream, and against losing or repeating events when it is resumed", async (t) => {
  const bench = await startBench();
  const lastIds: unknown[] = [];
  for (const backend of bench.backends) {
    backend.script((entry, response) => {
      const last = Number(entry.headers["last-event-id"] ?? 0);
      lastIds.push(entry.headers["last-event-id"]);
      response.writeHead(200, responseHeaders(entry.id));
      if (last > 0) {
        response.end(`id: ${last + 1}\ndata: rest\n\n`);
        return;
      }
      response.write("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
      setTimeout(() => response.destroy(), 50);
    });
  }
  const { text } = await call(bench, { path: "/stream/x", method: "POST" });
  t.is(text, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: rest\n\n");
  t.deepEqual(lastIds, [undefined, "2"]);
});

test.serial("guards against a broken stream looking complete or crashing the router when no other server is left", async (t) => {
  const bench = await startBench({ backends: 1 });
  bench.backends[0]!.script((entry, response) => {
    response.writeHead(200, responseHeaders(entry.id));
    response.write("id: 1\ndata: a\n\n");
    setTimeout(() => response.destroy(), 50);
  });
  await t.throwsAsync(call(bench, { path: "/stream/x", method: "POST" }));
  bench.backends[0]!.script(undefined);
  t.is((await call(bench)).status, 200);
});

test.serial("guards against appending an error response of the resuming server to a stream, and against ending the stream as if it were complete", async (t) => {
  const bench = await startBench();
  for (const status of [500, 404]) {
    for (const backend of bench.backends) {
      backend.script((entry, response) => {
        if (entry.headers["last-event-id"] !== undefined) {
          response.writeHead(status, responseHeaders(entry.id));
          response.end(status === 500 ? "" : "data: wrong\n\n");
          return;
        }
        response.writeHead(200, responseHeaders(entry.id));
        response.write("id: 1\ndata: a\n\n");
        setTimeout(() => response.destroy(), 50);
      });
    }
    await t.throwsAsync(
      call(bench, { path: "/stream/x", method: "POST" }),
      undefined,
      `${status}`,
    );
  }
});

test.serial("guards against ending a broken, non-resumable stream as if it were complete, and against sending its request again", async (t) => {
  const bench = await startBench();
  for (const backend of bench.backends) {
    backend.script((entry, response) => {
      response.writeHead(200, responseHeaders(entry.id));
      response.write("id: 1\ndata: a\n\n");
      setTimeout(() => response.destroy(), 50);
    });
  }
  await t.throwsAsync(call(bench, { path: "/single/x", method: "POST" }));
  t.is(received(bench).length, 1);
});

test.serial("guards against a server working on a request after its caller disconnected", async (t) => {
  const bench = await startBench();
  for (const backend of bench.backends) backend.script(() => undefined);
  await sendRaw(
    bench,
    `POST /once/x HTTP/1.1\r\nHost: shop.example\r\n${NAMES.requestId}: left\r\n` +
      "Authorization: Bearer temple-key\r\nContent-Length: 0\r\n\r\n",
    (socket) => setTimeout(() => socket.destroy(), 200),
  );
  function cancelled(): string[] {
    return bench.backends.flatMap((entry) => entry.cancelled);
  }
  const start = Date.now();
  await waitUntil(
    () => cancelled().includes("left"),
    "the request is cancelled",
  );
  t.true(Date.now() - start < 500);
});

test.serial("guards against leaving a request without a response at its timeout", async (t) => {
  const bench = await startBench();
  for (const backend of bench.backends) backend.script(() => undefined);
  const start = Date.now();
  const { status } = await call(bench, { path: "/short/x" });
  t.is(status, 504);
  t.true(Date.now() - start < 800);
});

test.serial("guards against requests failing again and again on idle connections that their server dropped", async (t) => {
  const bench = await startBench({ backends: 1 });
  const used = new Set<number>();
  bench.backends[0]?.script((entry, response) => {
    if (used.has(entry.callerPort)) return response.socket?.resetAndDestroy();
    used.add(entry.callerPort);
    response.writeHead(200, responseHeaders(entry.id)).end("served");
  });
  async function callAfterIdle(): Promise<number> {
    await new Promise((resolve) => setTimeout(resolve, 150));
    return (await call(bench, { path: "/once/x", method: "POST" })).status;
  }
  t.is(await callAfterIdle(), 200);
  t.is(await callAfterIdle(), 502);
  t.is(await callAfterIdle(), 200);
  t.is(await callAfterIdle(), 200);
  const { lines } = bench.gateways[0]!;
  t.true(lines.some((line) => line.includes("service.idle_limit")));
});

test.serial("guards against logging a server's error response as a success", async (t) => {
  const bench = await startBench({ backends: 1 });
  bench.backends[0]?.script((entry, response) => {
    response.writeHead(500, responseHeaders(entry.id)).end("error");
  });
  const { status, id } = await call(bench, { path: "/once/x", method: "POST" });
  t.is(status, 500);
  const line = bench.gateways[0]!.lines.find((text) =>
    text.includes("request.ended") && text.includes(id)
  );
  t.regex(line ?? "", /"outcome":"server_error".*"status":500/);
});
