import test from "ava";
import { createServerIncarnations } from "./server_incarnations.ts";
import { registeredServerSchema } from "./server_registry.ts";

function serverOf(id: string, started: number) {
  return registeredServerSchema.parse({
    id,
    service: "pool",
    address: "10.0.0.1:80",
    dataCentre: "north",
    slots: 4,
    isDraining: false,
    started,
    warmUpMilliseconds: 0,
  });
}

test("guards against what was known of a server being believed after its restart", (t) => {
  const incarnations = createServerIncarnations();
  t.deepEqual(incarnations.update([serverOf("a", 1), serverOf("b", 1)]), []);
  const lost = incarnations.update([serverOf("a", 2), serverOf("b", 1)]);
  t.deepEqual(lost as string[], ["a"]);
  t.deepEqual(incarnations.update([]) as string[], ["a", "b"]);
});
