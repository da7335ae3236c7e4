/** Processes of the program, started as the deploy file says, and its clients. */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request as httpRequest } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));
const READY_TIMEOUT_MILLISECONDS = 20_000;

export const sleep = (milliseconds) =>
  new Promise((resolve) => setTimeout(resolve, Math.max(0, milliseconds)));

/** Bounds of a small deployment (DEPLOY.md, "Settings of a process"). */
export const BOUNDS = {
  contactMs: 3_000,
  drainMs: 2_000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2_000,
  outerBoundMs: 5_000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  budgetSlack: 108,
  capX: 2,
  ttl_max_s: 5,
};

/** Ports below those that the operating system gives to outgoing connections. */
const FIRST_PORT = 12_000;
const PORTS = 18_000;

async function isFree(port) {
  const server = createServer();
  const isListening = await new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => resolve(true));
  });
  if (isListening) await new Promise((resolve) => server.close(resolve));
  return isListening;
}

async function findFreeAddresses(count) {
  const ports = new Set();
  while (ports.size < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    if (!ports.has(port) && await isFree(port)) ports.add(port);
  }
  return [...ports].map((port) => `127.0.0.1:${port}`);
}

function readRunCommand() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const [, command] = /^run = "([^"]*)"$/m.exec(text);
  return command.split(" ");
}

/** What a script saw, in order; written to `record.txt` beside the script. */
export class RunRecord {
  #lines = [];
  #startedAt = Date.now();
  #path;

  constructor(scriptUrl) {
    this.#path = fileURLToPath(new URL("record.txt", scriptUrl));
  }

  note(text, at = Date.now()) {
    this.#lines.push({ at, text });
  }

  /** Seconds since the start of the script. */
  seconds(at = Date.now()) {
    return ((at - this.#startedAt) / 1_000).toFixed(3);
  }

  write() {
    const lines = [...this.#lines].sort((left, right) => left.at - right.at);
    writeFileSync(
      this.#path,
      lines.map(({ at, text }) =>
        `${this.seconds(at).padStart(8)} s  ${text}\n`
      )
        .join(""),
    );
  }
}

/** A few processes of the program. */
export class Fleet {
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #children = [];
  nodes = [];

  async start(count, storeAddress, record) {
    const addresses = await findFreeAddresses(4 * count);
    for (let index = 0; index < count; index++) {
      const [front, ready, control, directory] = addresses.slice(4 * index);
      this.nodes.push({
        name: `edge-a-${index + 1}`,
        front,
        ready,
        control,
        directory,
      });
    }
    const seeds = this.nodes.slice(0, 3).map(({ control }) => control);
    for (const node of this.nodes) {
      this.#spawn(node, seeds, storeAddress, record);
    }
    await Promise.all(this.nodes.map((node) => this.#waitUntilReady(node)));
  }

  #spawn(node, seeds, storeAddress, record) {
    const { name, front, ready, control, directory } = node;
    const settings = {
      nodeName: name,
      role: "gateway",
      machineClass: "edge",
      serves: ["edge", "control_plane", "directory"],
      ip: "127.0.0.1",
      zone: "a",
      region: "r",
      zones: { a: "r" },
      listen: { front, ready, control, directory },
      seeds,
      bootstrap: true,
      limits: { cpuShare: 0.459, cores: 1, memoryMb: 272, maxFds: 2_069 },
      dataDir: null,
      discovery: "platform",
      entry: "directory",
      heartbeatMs: 1_200,
      bounds: BOUNDS,
      platform: {
        address: storeAddress,
        form: "objects",
        writesPerS: 400,
        readsPerS: 2_000,
        historyS: 20,
        valueBytes: 1_048_576,
        ttlMinMs: 1_000,
      },
    };
    const path = join(this.#folder, `${name}.json`);
    writeFileSync(path, JSON.stringify(settings));
    const [program, ...words] = readRunCommand();
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(
      program === "node" ? process.execPath : program,
      words,
      {
        cwd: ROOT,
        env: { PATH, HOME, LANG, SAPPHIRECART_SETTINGS: path },
        stdio: ["ignore", "pipe", "inherit"],
      },
    );
    node.child = child;
    node.exited = new Promise((resolve) => child.once("exit", resolve));
    child.once("exit", (code, signal) => {
      node.exitedAt = Date.now();
      record.note(
        `${name}: the process ended (code ${code}, signal ${signal})`,
      );
    });
    let rest = "";
    child.stdout.on("data", (bytes) => {
      const lines = (rest + String(bytes)).split("\n");
      rest = lines.pop();
      for (const line of lines) {
        if (
          !/"(configuration\.in_force|registry\.changed|process\.\w+|dependency\.\w+)"/
            .test(line)
        ) continue;
        record.note(`${name} logs: ${line}`);
      }
    });
    this.#children.push(child);
  }

  async #waitUntilReady({ name, ready }) {
    const deadline = Date.now() + READY_TIMEOUT_MILLISECONDS;
    while (Date.now() < deadline) {
      const status = await fetch(`http://${ready}/ready`).then(
        (response) => response.status,
        () => 0,
      );
      if (status === 200) return;
      await sleep(50);
    }
    throw new Error(`${name} was not ready in time`);
  }

  /** Ends all processes that this fleet started. */
  async stop() {
    for (const child of this.#children) {
      if (child.exitCode === null && child.signalCode === null) {
        child.kill("SIGKILL");
      }
    }
    await Promise.all(this.nodes.map(({ exited }) => exited));
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

let nextId = 0;

/** A new request id. */
export function createId() {
  return `r${process.pid.toString(16)}-${
    (nextId++).toString(16).padStart(6, "0")
  }`;
}

/**
 * Sends one request; resolves with its status, signature and body, or with the
 * error that ended it. `isComplete` tells whether the whole response arrived.
 */
export function send(front, options) {
  const {
    id,
    host,
    path,
    key,
    method = "GET",
    body,
    agent,
    deadlineMilliseconds = 4_000,
  } = options;
  const sentAt = Date.now();
  const headers = {
    Host: host,
    "X-Sapphirecart-Request-Id": id,
    "X-Sapphirecart-Deadline-Ms": String(deadlineMilliseconds),
    ...(key && { Authorization: `Bearer ${key}` }),
    ...(body !== undefined && { "Content-Length": Buffer.byteLength(body) }),
  };
  const [hostname, port] = front.split(":");
  return new Promise((resolve) => {
    const finish = (result) =>
      resolve({
        id,
        sentAt,
        endedAt: Date.now(),
        isComplete: false,
        ...result,
      });
    const call = httpRequest(
      { hostname, port, method, path, headers, agent },
      (response) => {
        let text = "";
        response.setEncoding("utf8");
        response.on("data", (chunk) => text += chunk);
        response.on("error", () => undefined);
        response.on("close", () =>
          finish({
            status: response.statusCode,
            signature: response.headers["x-sapphirecart-response-signature"],
            text,
            isComplete: response.complete,
          }));
      },
    );
    call.on(
      "error",
      (error) => finish({ status: 0, error: error.code ?? error.message }),
    );
    call.setTimeout(
      deadlineMilliseconds,
      () => call.destroy(new Error("deadline")),
    );
    call.end(body);
  });
}

/** An agent that keeps connections, as most clients do. */
export function createKeptConnections() {
  return new Agent({ keepAlive: true, maxSockets: 32 });
}

/** A configuration as the operator writes it. */
export function createConfiguration({ version, routes, services, tenants }) {
  return {
    version,
    routes: routes.map((route) => ({
      timeoutMs: 4_000,
      targetLatencyMs: 400,
      priority: 1,
      maxAttempts: 1,
      public: false,
      streamResume: false,
      ...route,
    })),
    services: services.map((name) => ({
      name,
      healthPath: "/health",
      maxConnections: 200,
    })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants,
  };
}

/** Runs a script and exits: 0 the rule held, 1 it was broken, 2 it could not run. */
export async function runCase(scriptUrl, play) {
  const record = new RunRecord(scriptUrl);
  const cleanups = [];
  let code = 2;
  try {
    const violations = await play({
      record,
      isTrouble: process.env.TROUBLE !== "0",
      defer: (cleanup) => cleanups.push(cleanup),
    });
    code = violations > 0 ? 1 : 0;
    record.note(
      code === 1 ? `BROKEN: ${violations} violations` : "HELD: no violation",
    );
  } catch (error) {
    record.note(`the case could not run: ${error.stack}`);
  }
  for (const cleanup of cleanups.reverse()) await cleanup();
  record.write();
  process.stdout.write(
    `${code === 1 ? "broken" : code === 0 ? "held" : "could not run"}\n`,
  );
  process.exit(code);
}
