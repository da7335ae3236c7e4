/**
 * Checks the limits of workspaces across all routers while the limit owner is
 * killed. One workspace exceeds its rate limit, another its concurrency limit.
 */
import { pickByRendezvous } from "../src/core/rendezvous.ts";
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
import { sleep } from "./router_status.ts";

const ROUTERS = 4;
const RATE_WORKSPACE = "temple";
const CONCURRENCY_WORKSPACE = "market";
const RATE_LIMIT = 50;
const CONCURRENCY_LIMIT = 20;
/** Target: usage exceeds a limit by at most a tenth in windows of 10 s. */
const TOLERANCE_RATIO = 1.1;
const WINDOW_MILLISECONDS = 10_000;
const DURATION_MILLISECONDS = 18_000;
const KILL_AFTER_MILLISECONDS = 6_000;
/** Periods that exceed the limits: three times the rate, and more chats than allowed. */
const CALL_PERIOD_MILLISECONDS = 1_000 / (3 * RATE_LIMIT);
const CHAT_PERIOD_MILLISECONDS = 20;
/** About 0.8 s of generation: the rate limit admits twice the concurrency limit. */
const CHAT_TOKENS = 40;

/** An admitted request, from when it is sent, including time in a queue, to its end. */
interface AdmittedRequest {
  readonly from: number;
  to: number;
}

async function sendOne(
  address: string,
  workspace: string,
  path: string,
  body: string | undefined,
  admitted: AdmittedRequest[],
): Promise<void> {
  const entry = { from: performance.now(), to: Infinity };
  try {
    const response = await fetch(`http://${address}${path}`, {
      method: body === undefined ? "GET" : "POST",
      headers: { authorization: `Bearer ${workspaceKey(workspace)}` },
      ...(body === undefined ? {} : { body }),
    });
    if (response.status === 200) admitted.push(entry);
    await response.text();
    entry.to = performance.now();
  } catch {
    // A killed router admits no request and ends those that it had admitted.
  }
}

/** Sends requests to the routers in turn for the duration of the run. */
async function sendLoad(
  fleet: FleetProcesses,
  workspace: string,
  path: string,
  body: string | undefined,
  periodMilliseconds: number,
): Promise<AdmittedRequest[]> {
  const admitted: AdmittedRequest[] = [];
  const sent: Promise<void>[] = [];
  const startedAt = performance.now();
  for (let index = 0;; index++) {
    const due = startedAt + index * periodMilliseconds;
    if (due - startedAt > DURATION_MILLISECONDS) break;
    if (due > performance.now()) await sleep(due - performance.now());
    const address = fleet.routerAddresses[index % ROUTERS] ?? "";
    sent.push(sendOne(address, workspace, path, body, admitted));
  }
  await Promise.all(sent);
  return admitted;
}

/** Returns the largest number of requests admitted in any window. */
function maximumInWindow(admitted: readonly AdmittedRequest[]): number {
  const times = admitted.map(({ from }) => from).sort((a, b) => a - b);
  let [first, maximum] = [0, 0];
  times.forEach((time, index) => {
    while ((times[first] ?? time) < time - WINDOW_MILLISECONDS) first++;
    maximum = Math.max(maximum, index - first + 1);
  });
  return maximum;
}

/** Returns the largest mean concurrency in a window, of requests that ended. */
function maximumInUse(admitted: readonly AdmittedRequest[]): number {
  const ended = admitted.filter(({ to }) => to !== Infinity);
  let maximum = 0;
  for (const { from: start } of ended) {
    const end = start + WINDOW_MILLISECONDS;
    let used = 0;
    for (const { from, to } of ended) {
      used += Math.max(0, Math.min(to, end) - Math.max(from, start));
    }
    maximum = Math.max(maximum, used / WINDOW_MILLISECONDS);
  }
  return maximum;
}

async function runLimits(isLimited: boolean): Promise<InvariantOutcome> {
  const factor = isLimited ? 1 : 10;
  const fleet = await startFleetProcesses({
    dataCentres: ["north", "south"],
    routers: ROUTERS,
    engines: 3,
    services: 1,
    workspaces: [RATE_WORKSPACE, CONCURRENCY_WORKSPACE],
    workspaceKeys: {
      requests_per_second: factor * RATE_LIMIT,
      concurrency: factor * CONCURRENCY_LIMIT,
    },
    fleetKeys: { addresses_per_workspace: ROUTERS },
  });
  try {
    const chat = JSON.stringify({
      model: STAND_IN_MODEL,
      messages: [{ role: "user", content: "one question" }],
      max_tokens: CHAT_TOKENS,
      stream: true,
    });
    const service = `/v1/services/${STAND_IN_SERVICE}/slots/a`;
    const sending = Promise.all([
      sendLoad(
        fleet,
        RATE_WORKSPACE,
        service,
        undefined,
        CALL_PERIOD_MILLISECONDS,
      ),
      sendLoad(
        fleet,
        CONCURRENCY_WORKSPACE,
        "/v1/chat/completions",
        chat,
        CHAT_PERIOD_MILLISECONDS,
      ),
    ]);
    await sleep(KILL_AFTER_MILLISECONDS);
    for (const workspace of [RATE_WORKSPACE, CONCURRENCY_WORKSPACE]) {
      const key = `limits/${workspace}`;
      const owner = pickByRendezvous(key, fleet.routers, ({ name }) => name);
      await owner?.kill();
    }
    const [calls, chats] = await sending;
    const perSecond = maximumInWindow(calls) * 1_000 / WINDOW_MILLISECONDS;
    const inUse = maximumInUse(chats);
    const faults: string[] = [];
    if (perSecond > TOLERANCE_RATIO * RATE_LIMIT) {
      faults.push(
        `${perSecond} requests per second; the limit is ${RATE_LIMIT}`,
      );
    }
    if (inUse > TOLERANCE_RATIO * CONCURRENCY_LIMIT) {
      faults.push(
        `${inUse} concurrent requests; the limit is ${CONCURRENCY_LIMIT}`,
      );
    }
    if (calls.length === 0 || chats.length === 0) {
      faults.push("no request was admitted");
    }
    return {
      faults,
      figures: {
        perSecond,
        inUse: Math.round(inUse * 10) / 10,
        calls: calls.length,
        chats: chats.length,
      },
    };
  } finally {
    await fleet.stop();
  }
}

/** Rate and concurrency limits while their owners are killed. */
export const LIMITS_INVARIANTS: readonly Invariant[] = [
  {
    name: "limits",
    guarantee:
      "rate and concurrency limits hold within 10% over 10 s while the limit owner is killed",
    isNegativeControl: false,
    run: (_options: InvariantOptions) => runLimits(true),
  },
  {
    name: "limits_naive",
    guarantee: "the same check on a fleet configured with ten times the limits",
    isNegativeControl: true,
    run: (_options: InvariantOptions) => runLimits(false),
  },
];
