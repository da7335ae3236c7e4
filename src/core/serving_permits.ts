/**
 * Permits for engines of a placement to be out of service. Engines of one
 * placement belong to different order groups, so one platform object per
 * placement enforces the minimum of serving engines: an engine is added by a
 * conditional update before it is taken out of service, and counts as not
 * serving until it is removed.
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

/** Returns the platform key of a placement's permits. */
export function permitsKey(placement: string): string {
  return `orders/serving/${placement}`;
}

/**
 * Parses the value of a permits object. Returns no entries if there is no
 * object, and undefined if the value is invalid.
 */
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

/** Whether an engine has a permit. */
export function isOutOfService(
  permits: ServingPermits,
  engine: string,
): boolean {
  return permits.out.some((entry) => entry.engine === engine);
}

/**
 * Adds an entry for an engine if at least `floor` others serve; otherwise
 * returns undefined. An entry of an earlier lease holder is confirmed under the
 * new epoch, so that a late removal by that holder fails on the object's
 * version. `floor` is also checked for an existing entry, because the
 * configuration may have raised it.
 */
export function grantPermit(
  permits: ServingPermits,
  request: {
    readonly engine: string;
    readonly epoch: number;
    readonly floor: number;
    /** Engines of the placement that were serving when last read. */
    readonly serving: readonly string[];
  },
): ServingPermits | undefined {
  const { engine, epoch, floor, serving } = request;
  const others = serving.filter((name) =>
    name !== engine && !isOutOfService(permits, name)
  );
  if (others.length < floor) return undefined;
  const otherEntries = permits.out.filter((entry) => entry.engine !== engine);
  return { out: [...otherEntries, { engine, epoch }] };
}

/** Removes the entry of an engine. */
export function releasePermit(
  permits: ServingPermits,
  engine: string,
): ServingPermits {
  return { out: permits.out.filter((entry) => entry.engine !== engine) };
}
