import test from "ava";
import type { UnreadResponse } from "./backend_transport.ts";
import { readChatStream } from "./chat_stream.ts";

async function readFailure(text: string): Promise<string> {
  const response = {
    status: 200,
    headers: {},
    body: (async function* () {
      yield Buffer.from(text);
    })(),
    release: () => undefined,
  } as unknown as UnreadResponse;
  const events = readChatStream(response, {
    streamId: "s",
    offset: 0,
    maximumResumes: 0,
    resume: () => Promise.reject(new Error("not resumed")),
    waitBeforeResume: () => Promise.resolve(),
    isAborted: () => false,
  });
  for await (const event of events) {
    if (event.isErr()) return event.error.detail;
  }
  return "none";
}

test("guards against reporting a malformed event as a stream that ended early", async (t) => {
  t.regex(await readFailure("not an event\n\n"), /malformed/);
  t.regex(await readFailure(""), /ended without \[DONE\]/);
});
