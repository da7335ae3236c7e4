/**
 * Checks the isolation of workspaces and the handling of invalid input: access
 * to the outcomes, streams and chats of another workspace, invalid keys, and
 * malformed or oversized frames and bodies on the ports of a running router.
 */
import { connect } from "node:net";
import { createSeededRandom, type RandomSource } from "../src/core/random.ts";
import { MAXIMUM_FRAME_BYTES } from "../src/frame_codec.ts";
import {
  type FleetProcesses,
  startFleetProcesses,
} from "../stand_ins/fleet_processes.ts";
import {
  STAND_IN_MODEL,
  STAND_IN_SERVICE,
  workspaceKey,
} from "../stand_ins/fleet_text.ts";
import type {
  Invariant,
  InvariantOptions,
  InvariantOutcome,
} from "./invariant.ts";
import { readOperatorPath, readRouterStatus } from "./router_status.ts";

const WORKSPACES = ["temple", "market"];
const ROUTERS = 3;
const FUZZED_FRAME_COUNT = 200;
const FUZZED_BODY_COUNT = 100;
const MAXIMUM_FUZZ_BYTES = 2_000;
const CLOSE_LIMIT_MILLISECONDS = 4_000;
const OVERSIZED_BODY_BYTES = 64 * 1024 * 1024;
const PROTECTED_ROUTES = [
  ["GET", "/v1/addresses"],
  ["GET", "/v1/requests/a.1.b"],
  ["POST", "/v1/chat/completions"],
  ["POST", `/v1/services/${STAND_IN_SERVICE}/slots/a/release`],
  ["GET", "/operator/status"],
  ["GET", "/operator/dump"],
  ["POST", "/operator/stop"],
] as const;

interface ReceivedResponse {
  readonly status: number;
  readonly text: string;
  readonly headers: Headers;
}

async function send(
  address: string,
  method: string,
  path: string,
  key: string,
  options: { body?: string | Uint8Array; headers?: Record<string, string> } =
    {},
): Promise<ReceivedResponse> {
  const response = await fetch(`http://${address}${path}`, {
    method,
    headers: { authorization: `Bearer ${key}`, ...options.headers },
    ...(options.body === undefined ? {} : { body: options.body as string }),
  });
  const text = await response.text();
  return { status: response.status, text, headers: response.headers };
}

function errorCode(received: ReceivedResponse): string {
  try {
    const body = JSON.parse(received.text) as { error?: { code?: string } };
    return body.error?.code ?? "";
  } catch {
    return "";
  }
}

function expectEqual(
  faults: string[],
  subject: string,
  actual: unknown,
  expected: unknown,
): void {
  if (actual !== expected) {
    faults.push(`${subject}: ${String(actual)} instead of ${String(expected)}`);
  }
}

/** Requests each route with an invalid key, operator routes also with a workspace key. */
async function checkKeys(address: string, faults: string[]): Promise<number> {
  for (const [method, path] of PROTECTED_ROUTES) {
    const wrong = await send(address, method, path, "wrong");
    expectEqual(faults, `${method} ${path}`, wrong.status, 401);
    if (!path.startsWith("/operator/")) continue;
    const workspace = await send(address, method, path, workspaceKey("temple"));
    expectEqual(faults, `${path} with a workspace key`, workspace.status, 403);
  }
  return PROTECTED_ROUTES.length;
}

/** One workspace uses the request id, stream token and chat name of another. */
async function checkForeignAccess(
  { routerAddresses }: FleetProcesses,
  owner: string,
  reader: string,
  faults: string[],
): Promise<void> {
  const [first = "", second = ""] = routerAddresses;
  const call = await send(
    first,
    "POST",
    `/v1/services/${STAND_IN_SERVICE}/slots/${owner}/release`,
    workspaceKey(owner),
  );
  expectEqual(faults, "own call", call.status, 200);
  const id = call.headers.get("x-sapphirecart-request-id") ?? "";
  for (const address of routerAddresses) {
    const path = `/v1/requests/${id}`;
    const foreign = await send(address, "GET", path, workspaceKey(reader));
    expectEqual(
      faults,
      `outcome at ${address}`,
      errorCode(foreign),
      "forbidden",
    );
    const own = await send(address, "GET", path, workspaceKey(owner));
    expectEqual(faults, `own outcome at ${address}`, own.status, 200);
  }
  const chat = {
    body: JSON.stringify({
      model: STAND_IN_MODEL,
      messages: [{ role: "user", content: `private words of ${owner}` }],
      max_tokens: 8,
      stream: true,
    }),
    headers: { "x-sapphirecart-chat": "shared-name" },
  };
  const path = "/v1/chat/completions";
  const stream = await send(first, "POST", path, workspaceKey(owner), chat);
  const token = /^id: (.+)$/m.exec(stream.text)?.[1] ?? "";
  const resume = { ...chat, headers: { "last-event-id": token } };
  const resumed = await send(
    second,
    "POST",
    path,
    workspaceKey(reader),
    resume,
  );
  expectEqual(faults, "stream", errorCode(resumed), "token_invalid");
  const own = await send(second, "POST", path, workspaceKey(owner), resume);
  expectEqual(faults, "own stream", own.status, 200);
  const other = await send(first, "POST", path, workspaceKey(reader), {
    ...chat,
    body: chat.body.replace(`private words of ${owner}`, "hello"),
  });
  const content = /"content":"[^"]+"/g;
  const ownContents = new Set(stream.text.match(content));
  if ((other.text.match(content) ?? []).some((part) => ownContents.has(part))) {
    faults.push(`${reader} got a token from a chat of ${owner}`);
  }
}

function randomBytes(random: RandomSource, length: number): Buffer {
  return Buffer.from(
    Array.from({ length }, () => random.integer(256)),
  );
}

/** Sends bytes to a port; true if the router closes the connection in time. */
function sendRaw(address: string, bytes: Buffer): Promise<boolean> {
  const [host = "", port] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect(Number(port), host, () => socket.write(bytes));
    const timer = setTimeout(() => {
      socket.destroy();
      resolve(false);
    }, CLOSE_LIMIT_MILLISECONDS);
    socket.on("data", () => undefined);
    socket.on("error", () => undefined);
    socket.on("close", () => {
      clearTimeout(timer);
      resolve(true);
    });
  });
}

/** Returns a frame with a valid length and random bytes, or with too large a length. */
function createBadFrame(random: RandomSource): Buffer {
  const length = Buffer.alloc(4);
  if (random.next() < 0.5) {
    length.writeUInt32BE(MAXIMUM_FRAME_BYTES + 1 + random.integer(1_000_000));
    return Buffer.concat([length, randomBytes(random, random.integer(100))]);
  }
  const body = randomBytes(random, 1 + random.integer(MAXIMUM_FUZZ_BYTES));
  length.writeUInt32BE(body.length);
  return Buffer.concat([length, body]);
}

async function countRejectedConnections(address: string): Promise<number> {
  const dump = await readOperatorPath(address, "/operator/dump") as
    | { network: { rejectedConnections: number } }
    | undefined;
  return dump?.network.rejectedConnections ?? -1;
}

/** Sends malformed frames to the peer port; each must close only its own connection. */
async function fuzzFrames(
  address: string,
  random: RandomSource,
  faults: string[],
): Promise<void> {
  const status = await readRouterStatus(address);
  const dump = await readOperatorPath(address, "/operator/dump") as
    | { network: { address: string } }
    | undefined;
  const peer = dump?.network.address ?? "";
  const before = await countRejectedConnections(address);
  const closed = await Promise.all(
    Array.from(
      { length: FUZZED_FRAME_COUNT },
      () => sendRaw(peer, createBadFrame(random)),
    ),
  );
  const open = closed.filter((isClosed) => !isClosed).length;
  expectEqual(faults, "connections left open after malformed frames", open, 0);
  const rejected = await countRejectedConnections(address) - before;
  expectEqual(
    faults,
    "connections closed because of an error",
    rejected,
    FUZZED_FRAME_COUNT,
  );
  const after = await readRouterStatus(address);
  expectEqual(faults, "members", after?.hosts.length, status?.hosts.length);
}

/** Sends invalid bodies to the caller port; each must get a typed error. */
async function fuzzBodies(
  address: string,
  random: RandomSource,
  faults: string[],
): Promise<void> {
  const path = "/v1/chat/completions";
  const key = workspaceKey("temple");
  for (let index = 0; index < FUZZED_BODY_COUNT; index++) {
    const body = randomBytes(random, random.integer(MAXIMUM_FUZZ_BYTES));
    const received = await send(address, "POST", path, key, { body });
    expectEqual(
      faults,
      "malformed body",
      errorCode(received),
      "malformed_body",
    );
  }
  const body = Buffer.alloc(OVERSIZED_BODY_BYTES);
  try {
    const received = await send(address, "POST", path, key, { body });
    expectEqual(
      faults,
      "oversized body",
      errorCode(received),
      "body_too_large",
    );
  } catch {
    // The router may close the connection while the body is still being sent.
  }
  await sendRaw(address, randomBytes(random, MAXIMUM_FUZZ_BYTES));
}

async function runIsolation(
  { seed }: InvariantOptions,
  reader: string,
): Promise<InvariantOutcome> {
  const fleet = await startFleetProcesses({
    dataCentres: ["north", "south"],
    routers: ROUTERS,
    engines: 1,
    services: 1,
    workspaces: WORKSPACES,
    keepMilliseconds: 500,
  });
  const faults: string[] = [];
  try {
    const random = createSeededRandom(seed);
    const address = fleet.routerAddresses[0] ?? "";
    const routes = await checkKeys(address, faults);
    await checkForeignAccess(fleet, "temple", reader, faults);
    await fuzzFrames(address, random, faults);
    await fuzzBodies(address, random, faults);
    const running = fleet.routers.filter((router) => router.isRunning());
    expectEqual(faults, "running routers", running.length, ROUTERS);
    await checkForeignAccess(fleet, "temple", reader, faults);
    return {
      faults,
      figures: {
        routes,
        frames: FUZZED_FRAME_COUNT,
        bodies: FUZZED_BODY_COUNT,
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** Isolation of workspaces and robustness against invalid input. */
export const ISOLATION_INVARIANTS: readonly Invariant[] = [
  {
    name: "isolation",
    guarantee:
      "no workspace reads data of another, and invalid input closes only its own connection",
    isNegativeControl: false,
    run: (options: InvariantOptions) => runIsolation(options, "market"),
  },
  {
    name: "isolation_shared_key",
    guarantee: "the same check with two workspaces that share one key",
    isNegativeControl: true,
    run: (options: InvariantOptions) => runIsolation(options, "temple"),
  },
];
