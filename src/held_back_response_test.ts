/** Responses that are held back until they are complete, for callers of HTTP/1.0. */
import test from "ava";
import {
  type Bench,
  call,
  received,
  requestText,
  sendRaw,
  startBench,
  stopBenches,
} from "../stand_ins/gateway_test_bench.ts";
import { type RawBackend, responseHeaders } from "../stand_ins/raw_backend.ts";
import { readReceived } from "../stand_ins/received_response.ts";

/** Leaves the account of memory its smallest budget, 6 MB. */
const SMALL_MEMORY_BYTES = 100_000_000;
const PART = Buffer.alloc(64 * 1024, "a");
const PARTS = 80;

test.after.always(stopBenches);

function oldRequest(path: string, id: string): string {
  return requestText(path, id, "Connection: close\r\n")
    .replace("HTTP/1.1", "HTTP/1.0");
}

function heldBytes({ gateways }: Bench): Promise<string | undefined> {
  return fetch(`http://${gateways[0]!.status}/metrics`)
    .then((response) => response.text())
    .then((text) =>
      /memory_bytes\{kind="held_response"\} (\d+)/.exec(text)?.[1]
    );
}

test.serial("guards against a held back response that fills the memory of the process, and against keeping what was counted for it", async (t) => {
  const bench = await startBench({
    backends: 1,
    options: { clientLimits: { memoryBytes: SMALL_MEMORY_BYTES } },
  });
  const [backend] = bench.backends as [RawBackend];
  backend.script(({ id }, response) => {
    response.writeHead(200, responseHeaders(id));
    for (let part = 0; part < PARTS; part++) response.write(PART);
    response.end();
  });
  const text = await sendRaw(bench, oldRequest("/once/x", "large"));
  const { status, looksWhole } = readReceived(text);
  t.is(status, 502);
  t.true(looksWhole);
  t.is(
    (await call(bench, { path: "/once/x" })).text.length,
    PARTS * PART.length,
  );
  t.is(await heldBytes(bench), "0");
});

test.serial("guards against relaying a part of a stream to a caller of HTTP/1.0 after its server broke it, and against joining it to that of the next server", async (t) => {
  const bench = await startBench();
  let runs = 0;
  for (const backend of bench.backends) {
    backend.script(({ id }, response) => {
      response.writeHead(200, responseHeaders(id));
      response.write("id: 1\ndata: a\n\n");
      if (++runs % 2 === 1) setTimeout(() => response.destroy(), 50);
      else response.end("id: 2\ndata: b\n\n");
    });
  }
  const resumed = readReceived(
    await sendRaw(bench, oldRequest("/stream/x", "resumable")),
  );
  t.is(resumed.status, 200);
  t.is(resumed.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  t.deepEqual(
    received(bench).map(({ headers }) => headers["last-event-id"]),
    [undefined, undefined],
  );
  const broken = readReceived(
    await sendRaw(bench, oldRequest("/single/x", "single")),
  );
  t.is(broken.status, 502);
  t.is(runs, 3);
});
