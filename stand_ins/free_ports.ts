/** Finds free ports for the processes of tests. */
import { randomInt } from "node:crypto";
import { createSocket, type Socket } from "node:dgram";
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

/**
 * Reserves a port among the processes that find ports, until this process ends: it
 * holds the UDP port of the same number, on which nothing else listens. A port is free
 * for seconds while the process that it belongs to starts again.
 */
function _reserve(port: number): Promise<Socket | undefined> {
  return new Promise((resolve) => {
    const reservation = createSocket("udp4");
    reservation.once("error", () => {
      reservation.close();
      resolve(undefined);
    });
    reservation.bind({ port, address: "127.0.0.1", exclusive: true }, () => {
      reservation.unref();
      resolve(reservation);
    });
  });
}

async function _take(port: number): Promise<boolean> {
  const reservation = await _reserve(port);
  if (!reservation) return false;
  const isFree = await _isFree(port);
  if (!isFree) reservation.close();
  return isFree;
}

/** Returns distinct loopback addresses with free ports, as `ip:port`. */
export async function findFreeAddresses(count: number): Promise<string[]> {
  const ports = await findFreePorts(count);
  return ports.map((port) => `127.0.0.1:${port}`);
}

/**
 * Returns distinct ports that are free on the loopback address and that are given to no
 * other process, nor given twice to this one, while it runs.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports = new Set<number>();
  while (ports.size < count) {
    const port = FIRST_PORT + randomInt(PORT_COUNT);
    if (await _take(port)) ports.add(port);
  }
  return [...ports];
}
