import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { findFreeAddresses } from "../stand_ins/free_ports.ts";
import { SoakRouter } from "./soak_routers.ts";

test("guards against an unexpected exit that does not name the signal that caused it", async (t) => {
  const folder = await mkdtemp(join(tmpdir(), "sapphirecart-"));
  t.teardown(() => rm(folder, { recursive: true }));
  const [callers, status, entry, peers] = await findFreeAddresses(4) as [
    string,
    string,
    string,
    string,
  ];
  const router = new SoakRouter({
    host: "entry-0",
    dataCentre: "north",
    callers,
    status,
    entry,
    peers,
    seeds: [],
    store: "127.0.0.1:1",
    retryAllowance: 0,
  }, ["-e", "setInterval(() => {}, 1_000);"]);
  await router.prepare(folder);
  t.teardown(() => router.stop());
  const exited = new Promise<string>((resolve) => {
    router.onUnexpectedExit = resolve;
  });
  router.start();
  router.signal("SIGTERM");
  t.is(await exited, "SIGTERM");
});
