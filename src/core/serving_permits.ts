/**
 * Which engines of a placement may be out of service. Engines of one placement
 * belong to different order groups, so the floor is kept by one platform object
 * per placement: an engine is entered, by a conditional update, before it is
 * taken out of service and counts as not serving until it is removed.
 */
import { z } from "zod";

const _permitsSchema = z.object({
  out: z.array(z.object({
    engine: z.string(),
    /** Epoch of the lease under which the entry was made or confirmed. */
    epoch: z.number().int().positive(),
  })),
});

/** The engines of a placement that may be out of service. */
export type ServingPermits = z.infer<typeof _permitsSchema>;

/** The key of a placement's permits. */
export function permitsKey(placement: string): string {
  return `orders/serving/${placement}`;
}

/** Reads the value of a permits object; undefined if it is not valid. */
export function parsePermits(
  value: string | undefined,
): ServingPermits | undefined {
  if (value === undefined) return { out: [] };
  try {
    return _permitsSchema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
}

/** Whether an engine is entered at all. */
export function isOutOfService(
  permits: ServingPermits,
  engine: string,
): boolean {
  return permits.out.some((entry) => entry.engine === engine);
}

/**
 * Enters an engine if at least `floor` others serve. An entry of an earlier
 * holder is confirmed under the new epoch, so that a late removal by that
 * holder fails on the object's version. The floor is checked for an existing
 * entry too, because the configuration may have raised it.
 */
export function grantPermit(
  permits: ServingPermits,
  request: {
    readonly engine: string;
    readonly epoch: number;
    readonly floor: number;
    /** Engines of the placement that were read as serving. */
    readonly serving: readonly string[];
  },
): ServingPermits | undefined {
  const { engine, epoch, floor, serving } = request;
  const others = serving.filter((name) =>
    name !== engine && !isOutOfService(permits, name)
  );
  if (others.length < floor) return undefined;
  const kept = permits.out.filter((entry) => entry.engine !== engine);
  return { out: [...kept, { engine, epoch }] };
}

/** Removes an engine. */
export function releasePermit(
  permits: ServingPermits,
  engine: string,
): ServingPermits {
  return { out: permits.out.filter((entry) => entry.engine !== engine) };
}
