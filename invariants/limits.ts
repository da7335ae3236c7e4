/**
 * Limits of workspaces across all routers while the limit holder is killed: one
 * workspace presses against its rate, another against its concurrency.
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
const RATE = 50;
const CONCURRENCY = 20;
/** Stated target: limits hold within a tenth over windows of 10 s. */
const TOLERANCE = 1.1;
const WINDOW_MILLISECONDS = 10_000;
const DURATION_MILLISECONDS = 18_000;
const KILL_AFTER_MILLISECONDS = 6_000;
/** Three times the rate limit, and more chats than the concurrency limit. */
const CALL_PERIOD_MILLISECONDS = 1_000 / (3 * RATE);
const CHAT_PERIOD_MILLISECONDS = 20;
/** About 0.8 s of generation, so that the rate admits twice the concurrency. */
const CHAT_TOKENS = 40;

/** An admitted request, from its sending (it may wait in a queue) to its end. */
interface Admitted {
  readonly from: number;
  to: number;
}

async function sendOne(
  address: string,
  workspace: string,
  path: string,
  body: string | undefined,
  admitted: Admitted[],
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
    // A killed router admits nothing and ends what it had admitted.
  }
}

/** Sends to all routers in turn until the time is over. */
async function press(
  fleet: FleetProcesses,
  workspace: string,
  path: string,
  body: string | undefined,
  periodMilliseconds: number,
): Promise<Admitted[]> {
  const admitted: Admitted[] = [];
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

/** The largest number admitted in any window. */
function maximumInWindow(admitted: readonly Admitted[]): number {
  const times = admitted.map(({ from }) => from).sort((a, b) => a - b);
  let [first, maximum] = [0, 0];
  times.forEach((time, index) => {
    while ((times[first] ?? time) < time - WINDOW_MILLISECONDS) first++;
    maximum = Math.max(maximum, index - first + 1);
  });
  return maximum;
}

/** The largest mean number in use over a window; what a kill ended counts until then. */
function maximumInUse(admitted: readonly Admitted[]): number {
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
      requests_per_second: factor * RATE,
      concurrency: factor * CONCURRENCY,
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
    const pressing = Promise.all([
      press(
        fleet,
        RATE_WORKSPACE,
        service,
        undefined,
        CALL_PERIOD_MILLISECONDS,
      ),
      press(
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
      const holder = pickByRendezvous(key, fleet.routers, ({ name }) => name);
      await holder?.kill();
    }
    const [calls, chats] = await pressing;
    const perSecond = maximumInWindow(calls) * 1_000 / WINDOW_MILLISECONDS;
    const inUse = maximumInUse(chats);
    const faults: string[] = [];
    if (perSecond > TOLERANCE * RATE) {
      faults.push(`${perSecond} requests a second; the limit is ${RATE}`);
    }
    if (inUse > TOLERANCE * CONCURRENCY) {
      faults.push(`${inUse} requests in use; the limit is ${CONCURRENCY}`);
    }
    if (calls.length === 0 || chats.length === 0) {
      faults.push("nothing was admitted");
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

/** Limits while their holders are killed. */
export const LIMITS_INVARIANTS: readonly Invariant[] = [
  {
    name: "limits",
    promise:
      "rate and concurrency limits hold within 10% over 10 s while the limit holder is killed",
    isNaive: false,
    run: (_options: InvariantOptions) => runLimits(true),
  },
  {
    name: "limits_naive",
    promise: "the same check on a fleet that is given ten times the limits",
    isNaive: true,
    run: (_options: InvariantOptions) => runLimits(false),
  },
];
