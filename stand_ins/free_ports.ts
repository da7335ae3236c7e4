/** Finds free ports for the processes of tests. */
import { randomInt } from "node:crypto";
import { createServer } from "node:net";

/**
 * The ports lie below the ephemeral range. Otherwise an outgoing connection
 * could take a free port before the process listens on it.
 */
const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;

function _isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}

/** Returns distinct loopback addresses with free ports, as `ip:port`. */
export async function findFreeAddresses(count: number): Promise<string[]> {
  const ports = await findFreePorts(count);
  return ports.map((port) => `127.0.0.1:${port}`);
}

/** Returns distinct ports that are free on the loopback address. */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports = new Set<number>();
  while (ports.size < count) {
    const port = FIRST_PORT + randomInt(PORT_COUNT);
    if (!ports.has(port) && await _isFree(port)) ports.add(port);
  }
  return [...ports];
}
