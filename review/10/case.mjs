/**
 * A part of a prompt crashes each runner that begins to write an answer on it. The
 * prompts are those of long chats, with more than 64 parts.
 */
import { head, putConfiguration, route, runCase, send, SIGNATURE, sleep } from "../support-2/fleet.mjs";

const PARTS = 80;
const RUNNERS = 4;
const SECONDS = 25;
const REQUESTS_PER_SECOND = 10;
/** One request in so many has the part that crashes runners. */
const CRASHING_ONE_IN = 6;
const RUNNER_IS_BACK_AFTER_MILLISECONDS = 2_000;
const CONTACT_MILLISECONDS = 3_000;
const CRASHES_UNTIL_BOUND = 5;
const ALLOWED_REQUESTS = 3;
const CRASHING_PART = "dead0000";

await runCase(import.meta.url, async ({ record, trouble, store, addRunner, startRouters, routers }) => {
  putConfiguration(store, 3, [
    route("chat", "streaming", { sessionAffinity: true, streamResume: true, maxAttempts: 2 }),
  ]);
  const crashes = [];
  const reached = [];

  async function answer(request, runner) {
    await request.body;
    const prefix = request.headers["x-sapphirecart-prompt-prefix"] ?? "";
    const isCrashing = prefix.split(",").some((part) => part.startsWith(`${CRASHING_PART}:`));
    if (isCrashing) {
      reached.push(performance.now());
      record.write(`${request.id} with the part reaches ${runner.id}`);
    }
    request.socket.write(head(request, "200 OK", {
      [SIGNATURE]: `s.${request.id}`,
      "Content-Type": "text/event-stream",
      "Transfer-Encoding": "chunked",
    }));
    if (isCrashing) {
      await sleep(5);
      crashes.push(performance.now());
      record.write(`${runner.id} crashes (${crashes.length})`);
      runner.crash();
      setTimeout(() => void runner.startAgain(), RUNNER_IS_BACK_AFTER_MILLISECONDS);
      return;
    }
    for (let id = 1; id <= 3; id++) {
      const event = `id: ${id}\ndata: token\n\n`;
      request.socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
      await sleep(20);
    }
    request.socket.write("0\r\n\r\n");
    request.done();
  }

  for (let index = 0; index < RUNNERS; index++) await addRunner(answer);
  await startRouters(2);
  const shared = Array.from({ length: PARTS - 2 }, (_, index) => `${(0x1000 + index).toString(16)}:10`);
  const answers = { sound: {}, crashing: {} };
  const total = SECONDS * REQUESTS_PER_SECOND;
  const calls = [];
  for (let index = 1; index <= total; index++) {
    const isCrashing = trouble && index % CRASHING_ONE_IN === 0;
    const part = isCrashing ? `${CRASHING_PART}:50` : `bbbb${index % 3}:50`;
    // The last part is the request's own.
    const prefix = [...shared, part, `${(0x900000 + index).toString(16)}:40`].join(",");
    const { name, front } = routers[index % routers.length];
    calls.push(
      send(front, "POST", "/chat/a", {
        body: Buffer.from("question"),
        headers: {
          "X-Sapphirecart-Model": "m",
          "X-Sapphirecart-Token-Usage": "900,20",
          "X-Sapphirecart-Prompt-Prefix": prefix,
        },
      }).then(({ id, status, isComplete }) => {
        const kind = isCrashing ? "crashing" : "sound";
        const outcome = `${status}${isComplete ? "" : " cut"}`;
        answers[kind][outcome] = (answers[kind][outcome] ?? 0) + 1;
        record.write(`${id} (${kind}) at ${name}: ${outcome}`);
      }),
    );
    await sleep(1_000 / REQUESTS_PER_SECOND);
  }
  await Promise.all(calls);
  const boundFrom = (crashes[CRASHES_UNTIL_BOUND - 1] ?? Infinity) + CONTACT_MILLISECONDS;
  const late = reached.filter((at) => at > boundFrom).length;
  record.write(`answers: ${JSON.stringify(answers)}; crashes: ${crashes.length}`);
  record.write(`${late} requests with the part reached runners later than contactMs after the fifth crash`);
  if (!trouble && (answers.sound["200"] ?? 0) < total * 0.9) throw new Error("not served in calm");
  return late <= ALLOWED_REQUESTS;
});
