/** Varies valid records, to compare two ways of checking them. */
import type { RandomSource } from "../src/core/random.ts";

/** Values that take the place of a field, valid and invalid ones. */
const FIELD_VALUES: readonly unknown[] = [
  undefined,
  null,
  "",
  "/a",
  "/",
  "x".repeat(256),
  "x".repeat(257),
  0,
  -1,
  1.5,
  2 ** 53,
  Infinity,
  NaN,
  true,
  [],
  {},
];
const MAXIMUM_CHANGES = 2;

/** What is varied, and how often. */
export interface ChangedRecordsOptions {
  readonly random: RandomSource;
  readonly count: number;
  /** A valid record. */
  readonly record: Readonly<Record<string, unknown>>;
  /** Fields that are changed beside those of the record. */
  readonly extraFields: readonly string[];
  /** Values that mean something in this kind of record. */
  readonly extraValues: readonly unknown[];
}

/** Yields copies of a record with up to two fields replaced. */
export function* changedRecords(
  { random, count, record, extraFields, extraValues }: ChangedRecordsOptions,
): Generator<Record<string, unknown>> {
  const fields = [...Object.keys(record), ...extraFields];
  const values = [...FIELD_VALUES, ...extraValues];
  for (let index = 0; index < count; index++) {
    const changed: Record<string, unknown> = { ...record };
    for (
      let changes = random.integer(MAXIMUM_CHANGES + 1);
      changes > 0;
      changes--
    ) {
      const field = fields[random.integer(fields.length)]!;
      changed[field] = values[random.integer(values.length)];
    }
    yield changed;
  }
}
