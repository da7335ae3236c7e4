import test from "ava";
import { createMemoryOutput } from "../stand_ins/memory_output.ts";
import { createDecisionLog } from "./decision_log.ts";
import { createFaultHandler } from "./fault_handler.ts";
import { createGatewayMetrics } from "./gateway_metrics.ts";
import { createManualTimerService } from "./timer_service.ts";

const LONG_STACK_CHARACTERS = 100_000;

function startHandler() {
  const timers = createManualTimerService();
  const lines: string[] = [];
  const { clock } = timers;
  const output = createMemoryOutput(lines);
  const log = createDecisionLog({ clock, output, base: {} });
  const metrics = createGatewayMetrics();
  const handle = createFaultHandler({ log, metrics, clock });
  return { timers, lines, metrics, handle };
}

test("guards against one exception ending a process, and against a task that has ended going unnoticed", (t) => {
  const { handle, lines } = startHandler();
  t.is(handle(new Error("in a listener"), "uncaughtException"), "go_on");
  t.is(handle(new Error("in a task"), "unhandledRejection"), "stop");
  t.true(lines.join("").includes("in a listener"));
});

test("guards against a process that goes on while exceptions repeat, and against one that stops for rare ones", (t) => {
  const { handle, timers } = startHandler();
  for (let index = 0; index < 20; index++) {
    t.is(handle(new Error("rare"), "uncaughtException"), "go_on");
    timers.advance(20_000);
  }
  const decisions = Array.from(
    { length: 6 },
    () => handle(new Error("often"), "uncaughtException"),
  );
  t.is(decisions.at(-1), "stop");
});

test("guards against log lines that grow with a stack, and against values that are no errors", (t) => {
  const { handle, lines } = startHandler();
  const error = new Error("x");
  error.stack = "y".repeat(LONG_STACK_CHARACTERS);
  handle(error, "uncaughtException");
  handle(undefined, "unhandledRejection");
  t.true(lines.join("").length < 5_000);
});
