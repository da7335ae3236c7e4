import test from "ava";
import {
  type Bench,
  call,
  startBench,
  stopBenches,
  waitUntil,
} from "../stand_ins/gateway_test_bench.ts";
import { type RawBackend, responseHeaders } from "../stand_ins/raw_backend.ts";
import { DEFAULT_HEADER_NAMES as NAMES } from "./gateway_protocol.ts";

const SERVERS = 8;
/** Crashes that the users allow before requests of the kind must stop. */
const TOLERATED_CRASHES = 5;
const REQUESTS = 12;
/** Time between requests, longer than that in which crashes count as one. */
const PAUSE_MILLISECONDS = 600;

test.after.always(stopBenches);

/** Ends a server before it responds to a request with the deadly part. */
function crashOnDeadlyPart(backend: RawBackend, onCrash: () => void): void {
  backend.script(({ id, headers }, response) => {
    if (String(headers[NAMES.promptParts]).includes("deadly:")) {
      onCrash();
      void backend.close();
      return;
    }
    response.writeHead(200, responseHeaders(id));
    response.end("id: 0\ndata: sound\n\n");
  });
}

async function sendPrompt(
  bench: Bench,
  index: number,
  part: string,
  turns = "",
): Promise<Awaited<ReturnType<typeof call>> | undefined> {
  const own = `own-${part}-${index}:100`;
  try {
    return await call(bench, {
      path: "/single/x",
      gateway: index % bench.gateways.length,
      headers: {
        [NAMES.promptParts]: `system:600,${turns}${part}:400,${own}`,
      },
    });
  } catch {
    return undefined;
  }
}

/** Turns of a chat that has returned often, with a comma after each. */
function turnsOf(count: number): string {
  return Array.from({ length: count }, (_, turn) => `t${turn}:9,`).join("");
}

// The most turns fill a head of the largest size that the bench configures.
for (const turns of [0, 80, 1_900]) {
  test.serial(`guards against requests with one deadly prompt part, beside ${turns} turns of a chat, that crash one server after the other`, async (t) => {
    const bench = await startBench({ gateways: 3, backends: SERVERS });
    const chat = turnsOf(turns);
    let crashes = 0;
    for (const backend of bench.backends) {
      crashOnDeadlyPart(backend, () => crashes++);
    }
    await sendPrompt(bench, 0, "sound", chat);
    const statuses: (number | undefined)[] = [];
    let lastRetryAfter: unknown;
    for (let index = 0; index < REQUESTS; index++) {
      const response = await sendPrompt(bench, index, "deadly", chat);
      statuses.push(response?.status);
      lastRetryAfter = response?.headers["retry-after"];
      await new Promise((resolve) => setTimeout(resolve, PAUSE_MILLISECONDS));
    }
    t.true(crashes <= TOLERATED_CRASHES, `${crashes} crashes`);
    t.is(statuses.at(-1), 503);
    t.true(Number(lastRetryAfter) > 500);
    for (let index = 0; index < bench.gateways.length; index++) {
      const response = await sendPrompt(bench, index, "sound", chat);
      t.is(response?.status, 200);
    }
  });
}

test.serial("guards against taking a lost response for a crash of its server", async (t) => {
  const bench = await startBench({ backends: 1 });
  const [backend] = bench.backends as [RawBackend];
  backend.script((_received, response) => response.destroy());
  for (let index = 0; index < 4; index++) {
    await sendPrompt(bench, index, "unlucky");
    await new Promise((resolve) => setTimeout(resolve, PAUSE_MILLISECONDS));
  }
  crashOnDeadlyPart(backend, () => t.fail());
  await waitUntil(() => backend.received.length >= 4, "the server was used");
  const response = await sendPrompt(bench, 5, "unlucky");
  t.is(response?.status, 200);
  t.false(bench.gateways[0]!.lines.join("").includes("server.crashed"));
});
