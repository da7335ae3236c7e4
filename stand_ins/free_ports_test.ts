import { spawn } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import test from "ava";
import { findFreePorts } from "./free_ports.ts";

/** Two processes that know nothing of each other choose about 14 ports twice. */
const PORTS_PER_PROCESS = 500;

test("guards against a process being given ports that a router of another process is about to listen on", async (t) => {
  const module = fileURLToPath(new URL("./free_ports.js", import.meta.url));
  const program = `
    const { findFreePorts } = await import(${JSON.stringify(module)});
    process.send(await findFreePorts(${PORTS_PER_PROCESS}));
    process.once("disconnect", () => process.exit(0));
  `;
  const other = spawn(
    process.execPath,
    ["--input-type=module", "-e", program],
    { stdio: ["ignore", "inherit", "inherit", "ipc"] },
  );
  t.teardown(() => void other.kill("SIGKILL"));
  const [taken] = await once(other, "message") as [number[]];
  const ports = await findFreePorts(PORTS_PER_PROCESS);
  t.is(new Set(ports).size, PORTS_PER_PROCESS);
  t.deepEqual(ports.filter((port) => taken.includes(port)), []);
});
