/**
 * Router membership of the skew bench: crashes, restarts and planned stops, and
 * a membership view per router that learns of each with its own delay of up to
 * several seconds.
 */
import { createSeededRandom } from "../src/core/random.ts";
import { rankByRendezvous } from "../src/core/rendezvous.ts";
import type { SkewSize } from "./skew_workload.ts";

const MAXIMUM_CRASH_DELAY_MILLISECONDS = 5_000;
const MAXIMUM_UPDATE_DELAY_MILLISECONDS = 3_000;
const RESTART_MILLISECONDS = 8_000;
const EVENT_PERIOD_MILLISECONDS = 4_000;
const FIRST_EVENT_MILLISECONDS = 6_000;

/** A membership change, or its arrival in another router's view. */
export interface ViewEvent {
  readonly at: number;
  /** The router whose view changes; equal to `router` for the change itself. */
  readonly observer: number;
  readonly router: number;
  readonly kind: "crash" | "join" | "leave";
}

/** Liveness of the routers, and the membership view of each. */
export interface SimulatedViews {
  /** Applies and returns the events that are due. */
  advance(now: number): ViewEvent[];
  isAlive(router: number): boolean;
  /** The owner of an engine in the observer's view. */
  ownerOf(observer: number, engine: number): number | undefined;
  /** The previous owner of an engine in the view of its new owner. */
  previousOf(observer: number, engine: number): number | undefined;
  /** The aggregator of a data centre in the observer's view. */
  aggregatorOf(observer: number, dataCentre: number): number | undefined;
  dataCentreOf(router: number): number;
}

function _createEvents(size: SkewSize, seed: number): ViewEvent[] {
  const random = createSeededRandom(seed);
  const events: ViewEvent[] = [];
  function addEvents(
    at: number,
    router: number,
    kind: ViewEvent["kind"],
  ): void {
    events.push({ at, router, kind, observer: router });
    const maximumDelay = kind === "crash"
      ? MAXIMUM_CRASH_DELAY_MILLISECONDS
      : MAXIMUM_UPDATE_DELAY_MILLISECONDS;
    for (let observer = 0; observer < size.routers; observer++) {
      if (observer === router) continue;
      events.push({
        at: at + random.next() * maximumDelay,
        router,
        kind,
        observer,
      });
    }
  }
  const order = random.shuffle(
    Array.from({ length: size.routers }, (_unused, router) => router),
  );
  const end = size.seconds * 1_000 - RESTART_MILLISECONDS;
  let at = FIRST_EVENT_MILLISECONDS;
  for (let index = 0; at < end; index++, at += EVENT_PERIOD_MILLISECONDS) {
    const router = order[index % order.length] ?? 0;
    addEvents(at, router, index % 2 === 0 ? "crash" : "leave");
    addEvents(at + RESTART_MILLISECONDS, router, "join");
  }
  return events.sort((left, right) => left.at - right.at);
}

/** Creates the membership schedule and the views of a run. */
export function createViews(size: SkewSize, seed: number): SimulatedViews {
  const routers = Array.from(
    { length: size.routers },
    (_unused, router) => router,
  );
  const events = _createEvents(size, seed);
  const eligible = routers.map(() => new Uint8Array(size.routers).fill(1));
  /** Like `eligible`, but includes the routers that are leaving. */
  const knownMembers = routers.map(() => new Uint8Array(size.routers).fill(1));
  const alive = new Uint8Array(size.routers).fill(1);
  function hostOf(router: number): string {
    return `host-${router}`;
  }
  const owners = Array.from(
    { length: size.engines },
    (_unused, engine) =>
      rankByRendezvous(`steward/engine-${engine}`, routers, hostOf),
  );
  const aggregators = Array.from(
    { length: size.dataCentres },
    (_unused, dataCentre) =>
      rankByRendezvous(
        `load/${dataCentre}`,
        routers.filter((router) => router % size.dataCentres === dataCentre),
        hostOf,
      ),
  );

  function firstEligible(
    observer: number,
    ranked: readonly number[] | undefined,
  ): number | undefined {
    return ranked?.find((router) => eligible[observer]?.[router] === 1);
  }

  function apply({ observer, router, kind }: ViewEvent): void {
    const view = eligible[observer] as Uint8Array;
    view[router] = kind === "join" ? 1 : 0;
    const members = knownMembers[observer] as Uint8Array;
    members[router] = kind === "crash" ? 0 : 1;
    if (observer === router && kind === "join") {
      for (const other of routers) {
        view[other] = alive[other] ?? 0;
        members[other] = alive[other] ?? 0;
      }
      view[router] = 1;
      members[router] = 1;
    }
    if (observer === router && kind !== "leave") {
      alive[router] = kind === "join" ? 1 : 0;
    }
  }

  let next = 0;
  return {
    advance: (now) => {
      const first = next;
      for (; (events[next]?.at ?? Infinity) <= now; next++) {
        apply(events[next] as ViewEvent);
      }
      return events.slice(first, next);
    },
    isAlive: (router) => alive[router] === 1,
    ownerOf: (observer, engine) => firstEligible(observer, owners[engine]),
    previousOf: (observer, engine) =>
      owners[engine]?.find((router) =>
        router !== observer && knownMembers[observer]?.[router] === 1
      ),
    aggregatorOf: (observer, dataCentre) =>
      firstEligible(observer, aggregators[dataCentre]),
    dataCentreOf: (router) => router % size.dataCentres,
  };
}
