/** Waits for a started program to become ready. */
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";

const POLL_MILLISECONDS = 20;
const TIMEOUT_MILLISECONDS = 10_000;

/** Polls a status address; resolves with whether the program became ready in ten seconds. */
export async function waitUntilReady(address: string): Promise<boolean> {
  const deadline = Date.now() + TIMEOUT_MILLISECONDS;
  while (Date.now() < deadline) {
    const isReady = await request(`http://${address}/ready`)
      .then(({ statusCode }) => statusCode === 200, () => false);
    if (isReady) return true;
    await sleep(POLL_MILLISECONDS);
  }
  return false;
}
