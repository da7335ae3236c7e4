/**
 * A simulated fleet that runs the real stewards, queues and load summaries over
 * simulated engines, views and messages.
 */
import { RENEW_PERIOD_MILLISECONDS } from "../src/admission_client.ts";
import { POLL_PERIOD_MILLISECONDS } from "../src/admission_task.ts";
import {
  type BackendServerId,
  brandId,
  type WorkspaceId,
} from "../src/core/ids.ts";
import { createLoadCatalogue } from "../src/core/load_catalogue.ts";
import { createSeededRandom } from "../src/core/random.ts";
import type { SlotOutcome, SlotRefusal } from "../src/core/server_owner.ts";
import { LOAD_PERIOD_MILLISECONDS } from "../src/load_task.ts";
import {
  MAXIMUM_QUEUE_WAIT_MILLISECONDS,
  RETRY_DELAY_MILLISECONDS,
} from "../src/slot_search.ts";
import { createCandidateChoice } from "./skew_candidates.ts";
import {
  createOwnership,
  hostOf,
  type SimulatedOwnership,
} from "./skew_ownership.ts";
import type { RunningRequest, SimulatedEngines } from "./skew_engines.ts";
import { createLoads, POOL, type SimulatedLoads } from "./skew_loads.ts";
import type { SimulatedViews } from "./skew_views.ts";
import {
  engineCapacity,
  type SimulatedRequest,
  type SkewSize,
  STEP_MILLISECONDS,
} from "./skew_workload.ts";

/** How long a request may wait for a slot in all. */
export const QUEUE_WAIT_MILLISECONDS = 5_000;

/** What became of the requests of a run. */
export interface RequestOutcomes {
  granted: number;
  refused: number;
  /** Requests in flight whose entry router crashed. */
  broken: number;
  /** Milliseconds between arrival and grant, one per granted request. */
  readonly waits: number[];
  /** Questions to stewards. */
  asked: number;
}

interface _Waiting {
  readonly request: SimulatedRequest;
  readonly engine: number;
  readonly steward: number;
}

interface _Retry {
  readonly at: number;
  readonly request: SimulatedRequest;
}

/** Runs one fleet step by step. */
export interface SimulatedFleet {
  step(now: number, arrivals: readonly SimulatedRequest[]): void;
  outcomes(): RequestOutcomes;
}

/** Creates a fleet without load. */
export function createFleet(
  size: SkewSize,
  seed: number,
  engines: SimulatedEngines,
  views: SimulatedViews,
): SimulatedFleet {
  const random = createSeededRandom(seed);
  const names = Array.from(
    { length: size.engines },
    (_unused, at) => brandId<BackendServerId>(`engine-${at}`),
  );
  const catalogue = createLoadCatalogue(names.map((name, at) => ({
    backendServer: name,
    pool: POOL,
    capacityTokens: engineCapacity(size, at),
  })));
  const loads: SimulatedLoads = createLoads(size, views, catalogue, {
    serverOwnersOf: (router) => duties.serverOwnersOf(router),
    accepted: (router, now) => applyPool(router, now),
  });
  const duties: SimulatedOwnership = createOwnership(
    size,
    engines,
    views,
    random,
    {
      resolve,
      poolOf: (router) => loads.poolOf(router),
    },
  );
  const choice = createCandidateChoice(names, random);
  const held = Array.from(
    { length: size.routers },
    () => new Map<string, RunningRequest>(),
  );
  const waiting = new Map<string, _Waiting>();
  let retries: _Retry[] = [];
  const outcomes: RequestOutcomes = {
    granted: 0,
    refused: 0,
    broken: 0,
    waits: [],
    asked: 0,
  };

  function start(request: SimulatedRequest, engine: number, now: number): void {
    const running = engines.begin(request, engine, now);
    held[request.router]?.set(`${request.id}`, running);
    outcomes.granted++;
    outcomes.waits.push(now - request.arrivesAt);
  }

  function retry(request: SimulatedRequest, now: number, pause: number): void {
    retries.push({ at: now + pause, request });
  }

  function resolve(list: readonly SlotOutcome[], now: number): void {
    for (const { grantId, refusal } of list) {
      const entry = waiting.get(grantId);
      if (!entry) continue;
      waiting.delete(grantId);
      if (!refusal) start(entry.request, entry.engine, now);
      else if (refusal.reason === "deadline_exceeded") {
        retry(entry.request, now, STEP_MILLISECONDS);
      } else retry(entry.request, now, RETRY_DELAY_MILLISECONDS);
    }
  }

  function applyPool(router: number, now: number): void {
    const pool = loads.poolOf(router);
    for (const steward of duties.serverOwnersOf(router).values()) {
      steward.setPool(pool?.load, pool?.receivedAt ?? now);
      resolve(steward.processQueue(now), now);
    }
  }

  function ask(
    request: SimulatedRequest,
    engine: number,
    mayQueue: boolean,
    now: number,
  ): "granted" | "queued" | SlotRefusal | undefined {
    const decider = duties.deciderOf(request.router, engine);
    if (!decider) return undefined;
    outcomes.asked++;
    const decision = decider.owner.request({
      grantId: `${request.id}`,
      holder: hostOf(request.router),
      workspace: brandId<WorkspaceId>(request.workspace),
      priority: request.priority,
      weightTokens: request.weightTokens,
      deadlineMilliseconds: Math.min(
        request.arrivesAt + QUEUE_WAIT_MILLISECONDS,
        now + MAXIMUM_QUEUE_WAIT_MILLISECONDS,
      ),
      mayQueue,
    }, now);
    if (decision.kind === "refused") return decision.refusal;
    if (decision.kind === "granted") start(request, engine, now);
    else {
      const steward = decider.router;
      waiting.set(`${request.id}`, { request, engine, steward });
      resolve(decider.owner.processQueue(now), now);
    }
    return decision.kind;
  }

  /** Tries the candidates, then waits where the expected wait is shortest. */
  function place(request: SimulatedRequest, now: number): void {
    if (now >= request.arrivesAt + QUEUE_WAIT_MILLISECONDS) {
      outcomes.refused++;
      return;
    }
    const relative = loads.relativeOf(request.router);
    const refused: { engine: number; wait: number }[] = [];
    for (const engine of choice.candidatesOf(request, relative)) {
      const answer = ask(request, engine, false, now);
      if (answer === "granted") return;
      if (typeof answer !== "object") continue;
      refused.push({ engine, wait: answer.expectedWaitMilliseconds });
    }
    refused.sort((left, right) => left.wait - right.wait);
    const waitAt = refused[0]?.engine;
    const answer = waitAt === undefined
      ? undefined
      : ask(request, waitAt, true, now);
    if (answer === "granted" || answer === "queued") return;
    retry(request, now, RETRY_DELAY_MILLISECONDS);
  }

  /** A caller whose router does not answer connects to the next address. */
  function entered(request: SimulatedRequest): SimulatedRequest {
    let router = request.router;
    while (!views.isAlive(router)) router = (router + 1) % size.routers;
    return { ...request, router };
  }

  function finish({ request, engine }: RunningRequest, now: number): void {
    held[request.router]?.delete(`${request.id}`);
    const steward = duties.deciderOf(request.router, engine)?.owner;
    if (!steward) return;
    steward.release(`${request.id}`, now);
    resolve(steward.processQueue(now), now);
  }

  function present(router: number, now: number): void {
    for (const [grantId, { request, engine }] of held[router] ?? []) {
      const { workspace, weightTokens, arrivesAt } = request;
      const grant = {
        grantId,
        workspace: brandId<WorkspaceId>(workspace),
        weightTokens,
        heldMilliseconds: now - arrivesAt,
      };
      duties.deciderOf(router, engine)?.owner
        .renew(hostOf(router), [grant], now);
    }
  }

  function crash(router: number, now: number): void {
    for (const running of held[router]?.values() ?? []) {
      engines.cancel(running);
      outcomes.broken++;
    }
    held[router]?.clear();
    for (const [grantId, entry] of waiting) {
      if (entry.steward !== router) continue;
      waiting.delete(grantId);
      retry(entry.request, now, RETRY_DELAY_MILLISECONDS);
    }
    duties.clear(router);
    loads.clear(router);
  }

  function applyEvents(now: number): void {
    for (const { observer, router, kind } of views.advance(now)) {
      if (observer === router && kind === "crash") crash(router, now);
      if (!views.isAlive(observer)) continue;
      duties.assign(observer, now);
      present(observer, now);
    }
  }

  function isDue(router: number, period: number, now: number): boolean {
    const steps = period / STEP_MILLISECONDS;
    return (now / STEP_MILLISECONDS + router * 7) % steps === 0;
  }

  function runTimers(now: number): void {
    for (let router = 0; router < size.routers; router++) {
      if (!views.isAlive(router)) continue;
      if (isDue(router, POLL_PERIOD_MILLISECONDS, now)) {
        duties.poll(router, now);
      }
      if (isDue(router, LOAD_PERIOD_MILLISECONDS, now)) {
        loads.report(router, now);
      }
      if (isDue(router, RENEW_PERIOD_MILLISECONDS, now)) present(router, now);
    }
  }

  for (let router = 0; router < size.routers; router++) {
    duties.assign(router, 0);
  }

  function step(now: number, arrivals: readonly SimulatedRequest[]): void {
    for (const running of engines.advance(now)) finish(running, now);
    applyEvents(now);
    runTimers(now);
    const due = retries.filter(({ at }) => at <= now);
    if (due.length > 0) retries = retries.filter(({ at }) => at > now);
    for (const { request } of due) place(entered(request), now);
    for (const request of arrivals) place(entered(request), now);
  }

  return { step, outcomes: () => outcomes };
}
