import test from "ava";
import { pickByRendezvous, rankByRendezvous } from "./rendezvous.ts";

const NODES = Array.from({ length: 13 }, (_unused, index) => `host-${index}`);
const KEYS = Array.from(
  { length: 13_000 },
  (_unused, index) => `chat-${index}`,
);

function identity(node: string): string {
  return node;
}

test("guards against a leaving node moving the keys of other nodes", (t) => {
  const remaining = NODES.slice(1);
  for (const key of KEYS) {
    const before = pickByRendezvous(key, NODES, identity);
    if (before !== NODES[0]) {
      t.is(pickByRendezvous(key, remaining, identity), before);
    }
  }
});

test("guards against an uneven distribution of keys over nodes", (t) => {
  const counts = new Map<string, number>();
  for (const key of KEYS) {
    const node = pickByRendezvous(key, NODES, identity) ?? "";
    counts.set(node, (counts.get(node) ?? 0) + 1);
  }
  const mean = KEYS.length / NODES.length;
  for (const count of counts.values()) {
    t.true(Math.abs(count - mean) < 0.15 * mean, `${count}`);
  }
});

test("guards against ranking and picking disagreeing on the first node", (t) => {
  for (const key of KEYS.slice(0, 500)) {
    t.is(
      rankByRendezvous(key, NODES, identity)[0],
      pickByRendezvous(key, NODES, identity),
    );
  }
});
