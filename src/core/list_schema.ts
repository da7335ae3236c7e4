/**
 * Schemas of lists from outside the process. The work for a list is bounded by its
 * bytes: a schema that collects the faults of every item takes seconds for a list of
 * invalid ones, so these stop at the first.
 */
import { z } from "zod";

/** Accepts a list of finite numbers. */
export const numberListSchema = z.custom<number[]>(
  (value) => Array.isArray(value) && value.every(Number.isFinite),
  "expected a list of numbers",
);

/** Accepts a list of valid items; names the first invalid one. */
export function listSchema<Item extends z.ZodType>(
  item: Item,
  maximumLength = Number.POSITIVE_INFINITY,
) {
  return z.array(z.unknown()).max(maximumLength).transform(
    (values, context) => {
      const parsed: z.output<Item>[] = [];
      for (const [index, value] of values.entries()) {
        const result = item.safeParse(value);
        if (!result.success) {
          const [issue] = result.error.issues;
          context.addIssue({
            code: "custom",
            message: issue?.message ?? "invalid",
            path: [index, ...issue?.path ?? []],
          });
          return z.NEVER;
        }
        parsed.push(result.data);
      }
      return parsed;
    },
  );
}

/** Accepts a list and leaves out invalid items, of which there may be many. */
export function tolerantListSchema<Item extends z.ZodType>(
  item: Item,
  maximumLength: number,
) {
  return z.array(z.unknown()).max(maximumLength).transform((values) =>
    values.flatMap((value) => {
      const result = item.safeParse(value);
      return result.success ? [result.data] : [];
    })
  );
}
