import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import { watchSettings } from "./settings_watch.ts";
import { createManualTimerService } from "./timer_service.ts";

/** Time within which a poll of the file completes. */
const POLL_DURATION_MILLISECONDS = 50;

test("guards against missing a settings change without a signal, and against needless reloads", async (t) => {
  const path = join(await mkdtemp(join(tmpdir(), "settings-")), "boot.json");
  await writeFile(path, "one");
  const timers = createManualTimerService();
  let changes = 0;
  watchSettings(path, { timers, onChange: () => changes++ });
  async function pollOnce(): Promise<number> {
    await sleep(POLL_DURATION_MILLISECONDS);
    timers.advance(1_000);
    await sleep(POLL_DURATION_MILLISECONDS);
    return changes;
  }
  t.is(await pollOnce(), 0);
  await writeFile(path, "three");
  t.is(await pollOnce(), 1);
  t.is(await pollOnce(), 1);
  await rm(path);
  t.is(await pollOnce(), 1);
  await writeFile(path, "fourth");
  t.is(await pollOnce(), 2);
});
