import { spawn } from "node:child_process";
import { fileURLToPath } from "node:url";
import test from "ava";
import { createMemoryOutput } from "../stand_ins/memory_output.ts";
import { createDecisionLog } from "./decision_log.ts";
import { createManualTimerService } from "./timer_service.ts";

test("guards against a flood of one event class filling the log or hiding other classes, and against dropping lines without reporting it", (t) => {
  const lines: string[] = [];
  const timers = createManualTimerService();
  const log = createDecisionLog({
    clock: timers.clock,
    output: createMemoryOutput(lines),
    base: { host: "entry-1" },
  });
  for (let index = 0; index < 10_000; index++) {
    log.write("request.placed", { request: `r${index}` });
    if (index % 10 === 0) timers.advance(1);
  }
  log.write("request.failed", { request: "failed" });
  log.write("dependency.lost", { dependency: "store" });
  log.flush();
  const text = lines.join("");
  t.true(lines.length < 300, `${lines.length} lines in a second`);
  t.true(text.includes('"failed"') && text.includes("dependency.lost"));
  t.regex(text, /"lines":9\d\d\d.*lines.dropped/);
});

test("guards against building the fields of dropped lines", (t) => {
  const lines: string[] = [];
  const log = createDecisionLog({
    clock: createManualTimerService().clock,
    output: createMemoryOutput(lines),
    base: {},
  });
  let built = 0;
  for (let index = 0; index < 1_000; index++) {
    log.write("request.placed", () => ({ built: ++built }));
  }
  t.true(lines.length > 0 && lines.length < 1_000);
  t.is(built, lines.length);
});

test("guards against a stalled reader of standard output blocking the process", async (t) => {
  const module = fileURLToPath(
    new URL("./decision_log.js", import.meta.url),
  );
  // The child writes far more than a pipe buffers, then sends a message.
  const program = `
    const { createStandardOutput } = await import(${JSON.stringify(module)});
    const output = createStandardOutput();
    for (let index = 0; index < 200_000; index++) output.write("x".repeat(99) + "\\n");
    output.flush();
    setTimeout(() => { process.send("alive"); process.exit(0); }, 200);
  `;
  const child = spawn(
    process.execPath,
    ["--input-type=module", "-e", program],
    { stdio: ["ignore", "pipe", "inherit", "ipc"] },
  );
  t.teardown(() => void child.kill("SIGKILL"));
  child.stdout?.pause();
  const message = await new Promise((resolve) => {
    child.once("message", resolve);
    setTimeout(() => resolve("stalled"), 10_000);
  });
  t.is(message, "alive");
});
