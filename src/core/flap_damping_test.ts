import test from "ava";
import { createFlapDamping, type FlapDamping } from "./flap_damping.ts";
import { type BackendServerId, brandId } from "./ids.ts";

const SERVER = brandId<BackendServerId>("engine-1");

/** Lets the server fail and return, and measures its hold-out. */
function holdAfterFlap(holdOut: FlapDamping, now: number): number {
  holdOut.serverDown(SERVER, now);
  holdOut.serverUp(SERVER, now);
  let held = 0;
  while (holdOut.isSuppressed(SERVER, now + held)) held += 500;
  return held;
}

test("guards against a flapping server returning as fast each time, or never", (t) => {
  const holdOut = createFlapDamping({
    firstSuppressionMilliseconds: 1_000,
    maximumSuppressionMilliseconds: 8_000,
  });
  const holds: number[] = [];
  for (let flap = 0; flap < 6; flap++) {
    holds.push(holdAfterFlap(holdOut, flap * 20_000));
  }
  t.deepEqual(holds, [1_000, 2_000, 4_000, 8_000, 8_000, 8_000]);
});

test("guards against a server that stayed up for long being punished for old flaps", (t) => {
  const holdOut = createFlapDamping({
    firstSuppressionMilliseconds: 1_000,
    upTimePerFlapMilliseconds: 60_000,
  });
  for (let flap = 0; flap < 4; flap++) holdAfterFlap(holdOut, flap * 20_000);
  t.is(holdAfterFlap(holdOut, 60_000 + 8_000 + 2 * 60_000), 4_000);
  t.is(holdAfterFlap(holdOut, 10_000_000), 1_000);
});

test("guards against requests to a server that is down or has only just been announced as up", (t) => {
  const holdOut = createFlapDamping();
  t.false(holdOut.isSuppressed(SERVER, 0));
  holdOut.serverDown(SERVER, 0);
  t.true(holdOut.isSuppressed(SERVER, 1_000_000));
  holdOut.serverUp(SERVER, 1_000_000);
  holdOut.serverUp(SERVER, 1_000_001);
  t.true(holdOut.isSuppressed(SERVER, 1_000_002));
});
