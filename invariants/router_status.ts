/** Reads router state for the failure runs, over the operator interface. */
import { OPERATOR_KEY } from "../stand_ins/fleet_text.ts";

const READ_TIMEOUT_MILLISECONDS = 1_000;
const POLL_MILLISECONDS = 50;

/** The part of `GET /operator/status` that the runs check. */
export interface RouterStatus {
  readonly generation: number;
  readonly digest: string;
  readonly stale: boolean;
  readonly alarms: readonly string[];
  /** Hosts in the router's membership view. */
  readonly hosts: readonly string[];
}

/** Resolves after a delay; a negative one counts as zero. */
export function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) =>
    setTimeout(resolve, Math.max(0, milliseconds))
  );
}

/** Reads an operator path of a router; undefined without a response of status 200. */
export async function readOperatorPath(
  address: string,
  path: string,
): Promise<unknown> {
  try {
    const response = await fetch(`http://${address}${path}`, {
      headers: { authorization: `Bearer ${OPERATOR_KEY}` },
      signal: AbortSignal.timeout(READ_TIMEOUT_MILLISECONDS),
    });
    return response.status === 200 ? await response.json() : undefined;
  } catch {
    return undefined;
  }
}

/** Reads the status of a router; undefined if it cannot be read. */
export async function readRouterStatus(
  address: string,
): Promise<RouterStatus | undefined> {
  const body = await readOperatorPath(address, "/operator/status") as
    | Omit<RouterStatus, "hosts"> & { members: { host: string }[] }
    | undefined;
  return body && { ...body, hosts: body.members.map(({ host }) => host) };
}

/** Polls until a check passes; returns the time taken, or undefined on timeout. */
export async function waitUntil(
  check: () => Promise<boolean>,
  limitMilliseconds: number,
): Promise<number | undefined> {
  const startedAt = performance.now();
  for (;;) {
    const isDone = await check();
    const elapsed = Math.round(performance.now() - startedAt);
    if (isDone && elapsed <= limitMilliseconds) return elapsed;
    if (elapsed > limitMilliseconds) return undefined;
    await sleep(POLL_MILLISECONDS);
  }
}
