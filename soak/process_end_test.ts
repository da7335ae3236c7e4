import { spawn } from "node:child_process";
import { EventEmitter } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import test from "ava";
import { type EndableProcess, killAndWait, waitForEnd } from "./process_end.ts";

/** Longer than a planned stop may take. */
const END_MILLISECONDS = 6_500;

test("guards against a router being started while its killed predecessor, which gets no processor time, holds the ports", async (t) => {
  const child = Object.assign(new EventEmitter(), {
    exitCode: null,
    signalCode: null,
    kill: () => true,
  }) as EventEmitter & EndableProcess;
  let hasEnded = false;
  setTimeout(() => {
    hasEnded = true;
    child.emit("exit");
  }, END_MILLISECONDS);
  await killAndWait(child);
  t.true(hasEnded);
});

test("guards against a paused process that is never ended, and against waiting for one that has ended", async (t) => {
  const child = spawn(process.execPath, ["-e", "setInterval(() => 0, 1000)"]);
  t.teardown(() => void child.kill("SIGKILL"));
  child.kill("SIGSTOP");
  await sleep(50);
  t.false(await waitForEnd(child, 50));
  await killAndWait(child);
  t.is(child.signalCode, "SIGKILL");
  await killAndWait(child);
  t.true(await waitForEnd(child, 0));
});
