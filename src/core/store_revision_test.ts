import test from "ava";
import fc from "fast-check";
import {
  decideEra,
  eraOf,
  isStorePosition,
  revisionInEra,
  type StorePosition,
  toStoreRevision,
} from "./store_revision.ts";

const _position = fc.record({
  era: fc.integer({ min: 0, max: 8_191 }),
  revision: fc.integer({ min: 0, max: 2 ** 40 - 1 }),
});

function compare(left: StorePosition, right: StorePosition): number {
  return Math.sign(left.era - right.era || left.revision - right.revision);
}

test("guards against an order of two states of the store that is not that of their eras, then of their revisions", (t) => {
  fc.assert(
    fc.property(_position, _position, (left, right) => {
      const [first, second] = [toStoreRevision(left), toStoreRevision(right)];
      return Math.sign(first - second) === compare(left, right) &&
        eraOf(first) === left.era && revisionInEra(first) === left.revision &&
        Number.isSafeInteger(first);
    }),
  );
  t.pass();
});

test("guards against continuing a state across a return from a copy, or going back to an earlier era", (t) => {
  fc.assert(
    fc.property(_position, _position, (known, response) => {
      const decision = decideEra(toStoreRevision(known), response.era);
      const order = Math.sign(response.era - known.era);
      return decision === ["outdated", "same", "restored"][order + 1];
    }),
  );
  t.pass();
});

test("guards against eras and revisions that cannot be put in order", (t) => {
  for (const era of [-1, 0.5, NaN, Infinity, 8_192]) {
    t.false(isStorePosition({ era, revision: 1 }), `${era}`);
  }
  for (const revision of [-1, 0.5, NaN, 2 ** 40]) {
    t.false(isStorePosition({ era: 1, revision }), `${revision}`);
  }
  t.true(isStorePosition({ era: 8_191, revision: 2 ** 40 - 1 }));
});
