import test from "ava";
import { createMemoryOutput } from "../stand_ins/memory_output.ts";
import { createStallDetector } from "./core/stall_detector.ts";
import { createDecisionLog } from "./decision_log.ts";
import { createGatewayMetrics } from "./gateway_metrics.ts";
import { createStallReport } from "./stall_report.ts";
import { createManualTimerService } from "./timer_service.ts";

const PERIOD_MILLISECONDS = 250;

test("guards against a stall that does not tell a process that computed from one that got no processor time", (t) => {
  const lines: string[] = [];
  const log = createDecisionLog({
    clock: createManualTimerService().clock,
    output: createMemoryOutput(lines),
    base: {},
  });
  let used = 1_000;
  const report = createStallReport({
    stalls: createStallDetector(PERIOD_MILLISECONDS),
    log,
    metrics: createGatewayMetrics(),
    processorMilliseconds: () => used,
  });
  report(10_000, 0);
  used += 40;
  report(10_250, 1);
  used += 5;
  report(13_500, 2);
  used += 2_990;
  report(16_750, 3);
  const text = lines.join("");
  t.is(lines.length, 2);
  t.regex(text, /"milliseconds":3000,"processorMilliseconds":5,"inFlight":2\b/);
  t.regex(
    text,
    /"milliseconds":3000,"processorMilliseconds":2990,"inFlight":3\b/,
  );
});
