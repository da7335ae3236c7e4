import test from "ava";
import { readFileSync } from "node:fs";
import { LIMITS } from "./slopes_full_size.ts";
import { type CapacityFigures, fillPage, sumControl } from "./slopes_page.ts";

const page = readFileSync("docs/CAPACITY.md", "utf8");
const figures = JSON.parse(
  readFileSync("docs/capacity-figures.json", "utf8"),
) as CapacityFigures;

test("guards against a capacity page whose tables differ from the figures file", (t) => {
  t.is(fillPage(page, figures), page);
});

test("guards against totals that omit a control task or the memory of the process itself", (t) => {
  const duty = {
    duty: "steward",
    stateBytes: 1,
    messagesPerSecond: 1,
    bytesPerSecond: LIMITS.bytesPerSecond,
    corePercent: 1,
    busiestBytesPerSecond: 0,
  };
  const sums = sumControl({
    ...figures,
    baseMemoryBytes: 2,
    duties: [duty, duty],
  });
  t.is(sums.memoryBytes, 4);
  t.is(sums.corePercent, 2);
  t.true(sums.bytesPerSecond > LIMITS.bytesPerSecond);
});
