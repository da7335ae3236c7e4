/** Servers that reset a connection after a part of a response without a length. */
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import test from "ava";
import {
  startEarlyBench,
  startEarlyServer,
} from "../stand_ins/early_server.ts";
import {
  type Bench,
  requestText,
  sendRaw,
  stopBenches,
} from "../stand_ins/gateway_test_bench.ts";
import { readReceived } from "../stand_ins/received_response.ts";
import { ConnectionResetError, reportResets } from "./connection_end.ts";
import type { SocketAddress } from "./core/ids.ts";
import { createHttpBackendClient } from "./http_backend_client.ts";
import { createSystemTimerService } from "./timer_service.ts";

const CONNECTIONS = 40;
const PART = "id: 1\ndata: part\n\n";
/** More than the kernel takes, so that bytes wait to be written. */
const PENDING_BYTES = 8 * 1024 * 1024;
/** More than is buffered, so that the server is reached before the body is read. */
const UPLOAD = "u".repeat(400 * 1024);
/** Delays of a reset after the bytes; without one, both arrive together. */
const RESET_DELAYS = [0, 1, 10];

type _End = "reset" | "end";

test.after.always(stopBenches);

function respondWith(socket: Socket, end: _End, delay = 0): void {
  function finish(): void {
    if (end === "end") socket.end();
    else socket.resetAndDestroy();
  }

  socket.write(PART);
  if (delay === 0) finish();
  else setTimeout(finish, delay);
}

/** Returns how a socket reports the end of its connection. */
async function reportedEnd(
  address: SocketAddress,
  pendingBytes: number,
): Promise<string> {
  const [host, port] = address.split(":") as [string, string];
  const socket = connect(Number(port), host);
  await once(socket, "connect");
  reportResets(socket);
  let received = "";
  socket.on("data", (bytes) => (received += String(bytes)));
  const ended = new Promise<string>((resolve) => {
    socket.once("end", () => resolve("end"));
    socket.once(
      "error",
      (error) =>
        resolve(
          error instanceof ConnectionResetError ? "reset" : String(error),
        ),
    );
  });
  socket.write(`x${"p".repeat(pendingBytes)}`);
  const end = await ended;
  socket.destroy();
  return received === PART || end === "reset" ? end : `lost bytes: ${end}`;
}

for (const pendingBytes of [0, PENDING_BYTES]) {
  test.serial(`guards against a socket that reports a reset as an end, or an end as a reset, with ${pendingBytes} bytes to be written`, async (t) => {
    for (const end of ["reset", "end"] as const) {
      const address = await startEarlyServer(
        t,
        (socket) => respondWith(socket, end),
      );
      const reported: string[] = [];
      for (let index = 0; index < CONNECTIONS; index++) {
        reported.push(await reportedEnd(address, pendingBytes));
      }
      t.deepEqual(reported, Array<string>(CONNECTIONS).fill(end));
    }
  });
}

test.serial("guards against a service call whose response was reset and counts as whole", async (t) => {
  const timers = createSystemTimerService();
  const client = createHttpBackendClient({ timers });
  t.teardown(() => client.stop());
  for (const end of ["reset", "end"] as const) {
    for (const delay of RESET_DELAYS) {
      const address = await startEarlyServer(t, (socket) => {
        socket.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        respondWith(socket, end, delay);
      });
      for (const idempotent of [true, false]) {
        const result = await client.call({
          address,
          method: "GET",
          path: "/slots/4",
          idempotent,
          deadline: timers.clock.monotonicMilliseconds() + 2_000,
        });
        const name = `${end} after ${delay} ms, ${idempotent}`;
        t.is(result.isOk(), end === "end", name);
      }
    }
  }
});

/** A request as a caller sends it, with and without a body. */
const REQUESTS: Readonly<Record<string, (path: string, id: string) => string>> =
  {
    bare: (path, id) => requestText(path, id, "Connection: close\r\n", "POST"),
    announced: (path, id) =>
      requestText(
        path,
        id,
        `Connection: close\r\nContent-Length: ${UPLOAD.length}\r\n`,
        "POST",
      ) + UPLOAD,
    chunked: (path, id) =>
      requestText(
        path,
        id,
        "Connection: close\r\nTransfer-Encoding: chunked\r\n",
        "POST",
      ) + `${UPLOAD.length.toString(16)}\r\n${UPLOAD}\r\n0\r\n\r\n`,
    "HTTP/1.0": (path, id) =>
      requestText(path, id, `Content-Length: ${UPLOAD.length}\r\n`, "POST")
        .replace("HTTP/1.1", "HTTP/1.0") + UPLOAD,
  };

const PATHS = ["/once/x", "/safe/x", "/stream/x", "/single/x"];

/** Sends a request; an error of the caller's socket tells it that something is missing. */
async function send(bench: Bench, request: string) {
  let hasFailed = false;
  const text = await sendRaw(bench, request, (socket) => {
    socket.on("error", () => (hasFailed = true));
  });
  const { status, body, looksWhole } = readReceived(text);
  return { status, body, looksWhole: looksWhole && !hasFailed };
}

for (const delay of RESET_DELAYS) {
  test.serial(`guards against relaying a part of a response as whole whose server reset the connection ${delay} ms after it, while the body was still being sent`, async (t) => {
    const bench = await startEarlyBench(
      t,
      "Connection: close",
      (socket) => respondWith(socket, "reset", delay),
    );
    const lookingWhole: string[] = [];
    for (const path of PATHS) {
      for (const [name, write] of Object.entries(REQUESTS)) {
        const id = `${path}-${name}`.replaceAll(/\W/g, "-");
        const { status, looksWhole } = await send(bench, write(path, id));
        if (status === 200 && looksWhole) lookingWhole.push(`${path} ${name}`);
      }
    }
    t.deepEqual(lookingWhole, []);
  });
}

test.serial("guards against cutting a whole response without a length whose server ended the connection before it had read the body", async (t) => {
  const bench = await startEarlyBench(
    t,
    "Connection: close",
    (socket) => respondWith(socket, "end"),
  );
  const cut: string[] = [];
  for (const path of PATHS) {
    for (const [name, write] of Object.entries(REQUESTS)) {
      const id = `${path}-${name}`.replaceAll(/\W/g, "-");
      const { status, body, looksWhole } = await send(
        bench,
        write(path, id),
      );
      if (status !== 200 || !looksWhole || body !== PART) {
        cut.push(`${path} ${name}: ${status} ${body}`);
      }
    }
  }
  t.deepEqual(cut, []);
});
