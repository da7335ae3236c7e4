import fc from "fast-check";
import test from "ava";
import { createEventSplitter } from "./event_stream.ts";

test("guards against a partial, lost or repeated event at any chunk boundaries", (t) => {
  const text = ["id: 1\ndata: a\n\n", "id:2\r\ndata: b\r\n\r\n", "data: c\n\n"]
    .join("");
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 1, max: text.length - 1 }), { maxLength: 8 }),
      (cuts) => {
        const splitter = createEventSplitter();
        const boundaries = [0, ...cuts.sort((left, right) => left - right)];
        let output = "";
        let events = 0;
        boundaries.forEach((from, index) => {
          const chunk = Buffer.from(text.slice(from, boundaries[index + 1]));
          const completed = splitter.push(chunk);
          output += completed.bytes.toString();
          events += completed.events;
        });
        return output === text && events === 3 &&
          splitter.lastEventId === "2" && splitter.pendingBytes === 0;
      },
    ),
    { seed: 4, numRuns: 2_000 },
  );
  t.pass();
});

test("guards against the start of an incomplete event reaching the caller", (t) => {
  const splitter = createEventSplitter();
  const { bytes } = splitter.push(Buffer.from("id: 7\ndata: x\n\nid: 8\nda"));
  t.is(bytes.toString(), "id: 7\ndata: x\n\n");
  t.is(splitter.lastEventId, "7");
  t.true(splitter.pendingBytes > 0);
  splitter.reset();
  const { bytes: next } = splitter.push(Buffer.from("id: 8\ndata: y\n\n"));
  t.is(next.toString(), "id: 8\ndata: y\n\n");
});
