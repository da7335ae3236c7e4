import test from "ava";
import { err, ok } from "neverthrow";
import type {
  ConfigurationAction,
  ConfigurationContext,
  ConfigurationEvent,
  ConfigurationState,
} from "./configuration_events.ts";
import {
  type ConfigurationHead,
  createHead,
  sha256,
} from "./configuration_head.ts";
import {
  createConfigurationState,
  decideConfiguration,
  isReady,
  STALE_AFTER_MILLISECONDS,
} from "./configuration_state.ts";
import { createError } from "./errors.ts";
import { createEmptyFleet } from "./fleet_file.ts";
import { brandId, type SocketAddress } from "./ids.ts";

const PEER = brandId<SocketAddress>("127.0.0.1:7001");
const PLATFORM = { kind: "platform" } as const;

function headOf(
  generation: number,
  text = `text ${generation}`,
): ConfigurationHead {
  return createHead({
    generation,
    applyId: text,
    chunks: [sha256(text)],
    drains: { hosts: [], backendServers: [] },
  });
}

class RouterModel {
  state: ConfigurationState = createConfigurationState(0);
  nowMilliseconds = 0;
  readFleet: ConfigurationContext["readFleet"] = () => ok(createEmptyFleet());

  handle(event: ConfigurationEvent): readonly ConfigurationAction[] {
    const { nowMilliseconds, readFleet } = this;
    const decided = decideConfiguration(this.state, event, {
      nowMilliseconds,
      random: 0.5,
      readFleet,
    });
    this.state = decided.state;
    return decided.actions;
  }

  /** Delivers a head and its chunk; returns the chunk's actions. */
  adopt(generation: number): readonly ConfigurationAction[] {
    this.handle({ kind: "head_read", head: headOf(generation) });
    return this.handle({
      kind: "chunks_arrived",
      source: PLATFORM,
      texts: [`text ${generation}`],
    });
  }

  /** Handles an event; returns its actions' kinds, with their alarms. */
  kinds(event: ConfigurationEvent): string[] {
    return this.handle(event).map((action) =>
      "alarm" in action ? `${action.kind} ${action.alarm}` : action.kind
    );
  }
}

test("guards against adopting a head before all of its chunks have arrived", (t) => {
  const router = new RouterModel();
  t.deepEqual(router.kinds({ kind: "head_read", head: headOf(1) }), [
    "fetch_chunks",
  ]);
  router.handle({
    kind: "chunks_arrived",
    source: PLATFORM,
    texts: ["another text"],
  });
  t.is(router.state.inForce, undefined);
  t.deepEqual(router.adopt(1).map((action) => action.kind), [
    "adopt",
    "announce",
  ]);
});

test("guards against a single stale read raising the store rollback alarm", (t) => {
  const router = new RouterModel();
  router.adopt(5);
  t.deepEqual(router.kinds({ kind: "head_read", head: headOf(4) }), [
    "raise_alarm configuration_read_was_stale",
  ]);
  router.nowMilliseconds = 1_000;
  t.deepEqual(router.kinds({ kind: "tick" }), ["fetch_head"]);
  t.deepEqual(router.kinds({ kind: "head_read", head: headOf(5) }), [
    "clear_alarm configuration_read_was_stale",
  ]);
});

test("guards against adopting an older or different head after a rollback of the store", (t) => {
  for (const head of [headOf(4), headOf(5, "other"), undefined]) {
    const router = new RouterModel();
    router.adopt(5);
    router.handle({ kind: "head_read", head });
    router.nowMilliseconds = 1_000;
    t.deepEqual(router.kinds({ kind: "head_read", head }), [
      "raise_alarm configuration_store_went_back",
      "record_floor",
    ]);
    t.is(router.state.inForce?.applyId, "text 5");
    router.adopt(6);
    t.deepEqual([...router.state.alarms], []);
  }
});

test("guards against giving up a fetch when a peer fails", (t) => {
  const router = new RouterModel();
  t.deepEqual(router.kinds({ kind: "announced", from: PEER, generation: 3 }), [
    "fetch_head",
  ]);
  t.false(isReady(router.state));
  t.deepEqual(
    router.kinds({ kind: "head_fetched", from: PEER, head: headOf(3) }),
    ["fetch_chunks"],
  );
  const failed = {
    kind: "fetch_failed",
    source: { kind: "peer", address: PEER },
    what: "chunks",
  } as const;
  t.deepEqual(router.handle(failed), [{
    kind: "fetch_chunks",
    source: PLATFORM,
    digests: headOf(3).chunks,
  }]);
  router.nowMilliseconds = 3_000;
  t.deepEqual(
    router.kinds({ kind: "tick" }),
    [],
    "the fetch from the platform timed out and backs off",
  );
  router.nowMilliseconds = 4_000;
  t.deepEqual(router.kinds({ kind: "tick" }), ["fetch_chunks"]);
  t.deepEqual(
    router.kinds({
      kind: "chunks_arrived",
      source: PLATFORM,
      texts: ["text 3"],
    }),
    ["adopt", "announce"],
  );
  t.true(isReady(router.state));
});

test("guards against a router without contact that raises no stale alarm", (t) => {
  const router = new RouterModel();
  router.nowMilliseconds = STALE_AFTER_MILLISECONDS + 1;
  t.deepEqual(router.kinds({ kind: "tick" }), [
    "raise_alarm configuration_stale",
  ]);
  t.deepEqual(router.kinds({ kind: "announced", from: PEER, generation: 0 }), [
    "clear_alarm configuration_stale",
  ]);
});

test("guards against a configuration in a newer format that stops a router", (t) => {
  const router = new RouterModel();
  router.adopt(1);
  router.readFleet = () =>
    err(createError("invalid_fleet_file", "unknown key"));
  t.deepEqual(router.adopt(2).map((action) => action.kind), ["raise_alarm"]);
  t.is(router.state.inForce?.generation, 1);
  t.deepEqual(router.kinds({ kind: "head_read", head: headOf(2) }), []);
});
