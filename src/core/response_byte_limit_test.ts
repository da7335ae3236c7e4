import test from "ava";
import {
  createResponseByteLimit,
  MAXIMUM_OVERHEAD_BYTES,
} from "./response_byte_limit.ts";

test("guards against counting the bytes of earlier responses, or bytes that are not parsed yet", (t) => {
  const limit = createResponseByteLimit(1_000_000);
  t.is(
    limit.excessAfterRead(1_000_000 + 2 * MAXIMUM_OVERHEAD_BYTES),
    undefined,
  );
  limit.addBody(2 * MAXIMUM_OVERHEAD_BYTES);
  t.is(
    limit.excessAfterRead(1_000_000 + 3 * MAXIMUM_OVERHEAD_BYTES),
    undefined,
  );
});

test("guards against cutting a long body that arrives in chunks of one byte", (t) => {
  const limit = createResponseByteLimit(0);
  // Size, line end, one byte and line end.
  const chunkBytes = 6;
  let hasExcess = false;
  for (let chunk = 1; chunk < 1_000_000; chunk++) {
    hasExcess ||= limit.excessAfterRead(chunkBytes * chunk) !== undefined;
    limit.addBody(1);
  }
  t.false(hasExcess);
});

test("guards against overhead without end beside a body that does not grow", (t) => {
  const limit = createResponseByteLimit(0);
  limit.addBody(10);
  let readBytes = 0;
  let excess: number | undefined;
  while (excess === undefined && readBytes < 4 * MAXIMUM_OVERHEAD_BYTES) {
    readBytes += 16 * 1024;
    excess = limit.excessAfterRead(readBytes);
  }
  t.true((excess ?? 0) > MAXIMUM_OVERHEAD_BYTES);
  t.true(readBytes < 2 * MAXIMUM_OVERHEAD_BYTES);
});
