import test from "ava";
import { createFlapDamping, type FlapDamping } from "./flap_damping.ts";
import { type BackendServerId, brandId } from "./ids.ts";

const SERVER = brandId<BackendServerId>("engine-1");

/** Makes the server fail and recover, and measures its suppression. */
function flapServer(damping: FlapDamping, now: number): number {
  damping.recordDown(SERVER, now);
  damping.recordUp(SERVER, now);
  let suppression = 0;
  while (damping.isSuppressed(SERVER, now + suppression)) suppression += 500;
  return suppression;
}

test("guards against a flapping server that returns equally fast after each flap, or never returns", (t) => {
  const damping = createFlapDamping({
    firstSuppressionMilliseconds: 1_000,
    maximumSuppressionMilliseconds: 8_000,
  });
  const suppressions: number[] = [];
  for (let flap = 0; flap < 6; flap++) {
    suppressions.push(flapServer(damping, flap * 20_000));
  }
  t.deepEqual(suppressions, [1_000, 2_000, 4_000, 8_000, 8_000, 8_000]);
});

test("guards against old flaps of a server that then stayed up prolonging its suppression", (t) => {
  const damping = createFlapDamping({
    firstSuppressionMilliseconds: 1_000,
    upTimePerFlapMilliseconds: 60_000,
  });
  for (let flap = 0; flap < 4; flap++) flapServer(damping, flap * 20_000);
  t.is(flapServer(damping, 60_000 + 8_000 + 2 * 60_000), 4_000);
  t.is(flapServer(damping, 10_000_000), 1_000);
});

test("guards against requests to a server that is down or was only just reported as up", (t) => {
  const damping = createFlapDamping();
  t.false(damping.isSuppressed(SERVER, 0));
  damping.recordDown(SERVER, 0);
  t.true(damping.isSuppressed(SERVER, 1_000_000));
  damping.recordUp(SERVER, 1_000_000);
  damping.recordUp(SERVER, 1_000_001);
  t.true(damping.isSuppressed(SERVER, 1_000_002));
});
