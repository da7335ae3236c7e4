import test from "ava";
import { testServer } from "../../stand_ins/registered_servers.ts";
import { createServerIncarnations } from "./server_incarnations.ts";

function serverOf(id: string, started: number) {
  return testServer(id, { started });
}

test("guards against keeping the state of a server that restarted or is gone", (t) => {
  const incarnations = createServerIncarnations();
  t.deepEqual(incarnations.update([serverOf("a", 1), serverOf("b", 1)]), []);
  const lost = incarnations.update([serverOf("a", 2), serverOf("b", 1)]);
  t.deepEqual(lost as string[], ["a"]);
  t.deepEqual(incarnations.update([]) as string[], ["a", "b"]);
});
