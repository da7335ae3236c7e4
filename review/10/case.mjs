/**
 * A runner answers before it has read a long body. The caller finishes its body and sends
 * its next request on the connection, which the router has kept.
 */
import { answerShort, Client, putConfiguration, requestHead, route, runCase, sleep } from "../support-2/fleet.mjs";

const CLIENTS = 12;
const BODY_BYTES = 1_000_000;
const PIECE_BYTES = 50_000;
const PIECE_MILLISECONDS = 10;
const TIMEOUT_MILLISECONDS = 2_000;
const SLACK_MILLISECONDS = 500;
const LEAST_COUNTED = 8;

await runCase(import.meta.url, async ({ record, trouble, store, addRunner, startRouters, routers }) => {
  putConfiguration(store, 3, [
    route("upload", "non_idempotent"),
    route("status", "idempotent", { timeoutMs: TIMEOUT_MILLISECONDS, maxAttempts: 2 }),
  ]);

  async function answer(request) {
    const isEarly = trouble && request.path.startsWith("/upload/");
    // It reads on later: the stand-in goes on reading, whatever it has answered.
    if (!isEarly) await request.body;
    answerShort(request, isEarly ? "taken" : "done");
  }

  await addRunner(answer);
  await addRunner(answer);
  await startRouters(2);

  async function useConnection(index) {
    const router = routers[index % routers.length];
    const client = new Client(router.front);
    const upload = requestHead("POST", "/upload/a", { headers: { "Content-Length": BODY_BYTES } });
    client.write(upload.text);
    const first = client.answer();
    for (let sent = 0; sent < BODY_BYTES; sent += PIECE_BYTES) {
      client.write(Buffer.alloc(PIECE_BYTES, 97));
      await sleep(PIECE_MILLISECONDS);
    }
    const { status, headers } = await first;
    record.write(`${upload.id} (1 MB) at ${router.name}: ${status}, connection: ${headers?.connection}`);
    if (status !== 200 || headers.connection === "close") return undefined;
    const next = requestHead("GET", "/status/a", { deadlineMs: 10_000 });
    const sentAt = performance.now();
    client.write(next.text);
    const second = await client.answer(TIMEOUT_MILLISECONDS + SLACK_MILLISECONDS);
    const took = Math.round(performance.now() - sentAt);
    const isAnswered = second.isComplete;
    record.write(
      `${next.id} behind it on the same connection: ` +
        (isAnswered ? `${second.status} after ${took} ms` : `no answer after ${took} ms (${second.closed})`),
    );
    client.destroy();
    return isAnswered;
  }

  const answered = (await Promise.all(Array.from({ length: CLIENTS }, (_, index) => useConnection(index))))
    .filter((isAnswered) => isAnswered !== undefined);
  const unanswered = answered.filter((isAnswered) => !isAnswered).length;
  record.write(
    `${answered.length} requests behind an upload, ${unanswered} without an answer ` +
      `${SLACK_MILLISECONDS} ms after their route's timeoutMs (${TIMEOUT_MILLISECONDS})`,
  );
  if (!trouble && answered.length < CLIENTS) throw new Error("not all were served in calm");
  return unanswered < LEAST_COUNTED || unanswered <= answered.length / 4;
});
