/** Connections that the gateway closes: what it promised, and what may still run. */
import { once } from "node:events";
import test from "ava";
import {
  type Bench,
  received,
  requestText,
  ROUTES,
  startBench,
  stopBenches,
  waitUntil,
} from "../stand_ins/gateway_test_bench.ts";
import { testConfiguration } from "../stand_ins/gateway_fleet.ts";
import {
  LATE_PREFIX,
  type LeavingCallers,
  stall,
  startLeavingCallers,
} from "../stand_ins/leaving_callers.ts";
import { responseHeaders } from "../stand_ins/raw_backend.ts";
import {
  openSocketCaller,
  type SocketCaller,
} from "../stand_ins/socket_callers.ts";

const HEADER_TIMEOUT_MILLISECONDS = 300;
const IDLE_TIMEOUT_MILLISECONDS = 1_000;
/** Longer than both timeouts and than the interval of their check. */
const STALL_MILLISECONDS = 2_500;
/** Longer than the header timeout and the interval of its check. */
const HEADER_REJECTION_MILLISECONDS = 1_500;
const CALLERS = 20;
const DELIVERY_MILLISECONDS = 300;
/** All callers share one machine with the gateway, which may be busy. */
const RESPONSES_MILLISECONDS = 10_000;
const POLL_MILLISECONDS = 20;

test.after.always(stopBenches);

function wait(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Starts a gateway with short timeouts. */
async function startImpatientBench(): Promise<Bench> {
  const bench = await startBench({ backends: 1 });
  const configuration = testConfiguration(2, ROUTES);
  bench.fleet.setConfiguration({
    ...configuration,
    bounds: {
      ...configuration.bounds,
      headerTimeoutMilliseconds: HEADER_TIMEOUT_MILLISECONDS,
      idleTimeoutMilliseconds: IDLE_TIMEOUT_MILLISECONDS,
    },
  });
  const { lines } = bench.gateways[0]!;
  await waitUntil(
    () => lines.join("").includes('"version":2'),
    "the timeouts are in force",
  );
  return bench;
}

async function openCaller({ gateways }: Bench): Promise<SocketCaller> {
  const caller = openSocketCaller(gateways[0]!.callers, {
    allowHalfOpen: true,
  });
  await once(caller.socket, "connect");
  return caller;
}

/** Returns the responses once each caller has a whole head. */
async function allResponses(
  callers: LeavingCallers,
): Promise<readonly string[]> {
  let responses = await callers.responses();
  const deadline = performance.now() + RESPONSES_MILLISECONDS;
  while (
    responses.some((text) => !text.includes("\r\n\r\n")) &&
    performance.now() < deadline
  ) {
    await wait(POLL_MILLISECONDS);
    responses = await callers.responses();
  }
  return responses;
}

for (const connection of ["open", "used"] as const) {
  test.serial(`guards against rejecting requests that had arrived while the process stood still, or running them in spite of it (${connection} connections)`, async (t) => {
    const bench = await startImpatientBench();
    const callers = await startLeavingCallers({
      callers: bench.gateways[0]!.callers,
      path: "/once/x",
      count: CALLERS,
      connection,
      end: "stay",
    });
    callers.send();
    stall(STALL_MILLISECONDS);
    const responses = await allResponses(callers);
    const statuses = responses.map((text) => text.slice(9, 12));
    t.deepEqual(statuses, statuses.map(() => "200"));
    const late = received(bench).filter(({ id }) => id.startsWith(LATE_PREFIX));
    t.is(late.length, CALLERS);
    await callers.stop();
  });
}

test.serial("guards against running a request whose head is completed after the connection was answered with 408", async (t) => {
  const bench = await startImpatientBench();
  const caller = await openCaller(bench);
  const request = requestText("/once/x", "slow-head");
  caller.socket.write(request.slice(0, 40));
  await wait(HEADER_REJECTION_MILLISECONDS);
  t.regex(caller.text, /^HTTP\/1\.1 408 /);
  caller.socket.write(request.slice(40));
  await wait(DELIVERY_MILLISECONDS);
  t.is(received(bench).length, 0);
  caller.socket.destroy();
});

for (
  const [title, rest] of [
    ["a head that stays incomplete", "POST /once/y HTTP/1.1\r\nHost:"],
    ["bytes that are no request", "no request\r\n\r\n"],
  ] as const
) {
  test.serial(`guards against answering a request that runs with the rejection of what follows it: ${title}`, async (t) => {
    const bench = await startImpatientBench();
    bench.backends[0]!.script(({ id }, response) => {
      setTimeout(() => {
        response.writeHead(200, responseHeaders(id)).end("done");
      }, HEADER_REJECTION_MILLISECONDS + DELIVERY_MILLISECONDS);
    });
    const caller = await openCaller(bench);
    caller.socket.write(requestText("/once/x", "first") + rest);
    await wait(HEADER_REJECTION_MILLISECONDS);
    t.is(caller.text, "");
    await wait(2 * DELIVERY_MILLISECONDS);
    t.regex(caller.text, /^HTTP\/1\.1 200 [^]*\r\nConnection: close[^]*done/);
    t.is(caller.text.match(/HTTP\/1\.1/g)?.length, 1);
    t.deepEqual(received(bench).map(({ id }) => id), ["first"]);
    t.true(caller.socket.readableEnded, "the connection was closed");
    caller.socket.destroy();
  });
}
