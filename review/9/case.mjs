/**
 * A router is killed while it relays answers that have neither a length nor chunks. What
 * its callers get must not look complete.
 */
import { Client, putConfiguration, requestHead, route, runCase, head, SIGNATURE, sleep } from "../support-2/fleet.mjs";

const REQUESTS_OF_A_KIND = 6;
const PIECES = 30;
const PIECE_MILLISECONDS = 100;
const KILL_AFTER_MILLISECONDS = 1_200;
const PIECE_BYTES = 200;

/** The pieces of the runner's whole answer. */
function pieces(kind) {
  return Array.from({ length: PIECES }, (_, index) =>
    kind === "stream"
      ? `id: ${index + 1}\ndata: token\n\n`
      : String(index % 10).repeat(PIECE_BYTES));
}

/** Answers as the pages allow: no length, no chunks, the end of the connection ends it. */
async function answerUnframed(request) {
  await request.body;
  const kind = request.path.split("/")[1];
  request.socket.write(head(request, "200 OK", {
    [SIGNATURE]: `s.${request.id}`,
    "Content-Type": kind === "stream" ? "text/event-stream" : "text/plain",
    Connection: "close",
  }));
  for (const piece of pieces(kind)) {
    if (request.socket.destroyed) return;
    request.socket.write(piece);
    await sleep(PIECE_MILLISECONDS);
  }
  request.socket.end();
}

await runCase(import.meta.url, async ({ record, trouble, store, addRunner, startRouters, routers }) => {
  putConfiguration(store, 3, [
    route("stream", "streaming"),
    route("unary", "non_idempotent"),
  ]);
  await addRunner(answerUnframed);
  await addRunner(answerUnframed);
  await startRouters(3);
  const [router] = routers;
  const calls = ["stream", "unary"].flatMap((kind) =>
    Array.from({ length: REQUESTS_OF_A_KIND }, () => {
      const client = new Client(router.front);
      const { id, text } = requestHead("POST", `/${kind}/a`, { headers: { "Content-Length": 2 } });
      client.write(`${text}hi`);
      record.write(`sent ${id} on ${kind} to ${router.name}`);
      return { kind, id, client };
    }));
  await sleep(KILL_AFTER_MILLISECONDS);
  if (trouble) {
    record.write(`SIGKILL to ${router.name}`);
    router.signal("SIGKILL");
  }
  let broken = 0;
  let whole = 0;
  for (const { kind, id, client } of calls) {
    const answer = await client.answer();
    const expected = pieces(kind).join("");
    const isWhole = answer.body.toString() === expected;
    const looksComplete = answer.status === 200 && answer.isComplete &&
      answer.headers[SIGNATURE.toLowerCase()] !== undefined;
    record.write(
      `answer to ${id}: status ${answer.status}, ${answer.body.length} of ${expected.length} bytes, ` +
        `${answer.isUnframed ? "no length" : "with a length or chunks"}, connection ${client.closed ?? "open"}, ` +
        `${looksComplete ? "looks complete" : "does not look complete"}`,
    );
    if (looksComplete && !isWhole) broken++;
    if (looksComplete && isWhole) whole++;
    client.destroy();
  }
  record.write(`${broken} successes that look complete and are not whole, ${whole} whole ones`);
  if (!trouble && whole !== calls.length) throw new Error("not all were served in calm");
  return broken === 0;
});
