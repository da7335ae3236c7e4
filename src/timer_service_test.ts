import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import test from "ava";
import { stall } from "../stand_ins/leaving_callers.ts";
import { createSystemTimerService } from "./timer_service.ts";

test.serial("guards against a timeout after a stall of the event loop that comes before the response that has arrived", async (t) => {
  const server = createServer((socket) => void socket.write("response"));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const timers = createSystemTimerService();
  const order: string[] = [];
  const socket: Socket = connect(port, "127.0.0.1");
  await once(socket, "connect");
  socket.once("data", () => order.push("response"));
  timers.after(20, "timeout", () => order.push("timeout"));
  stall(100);
  await new Promise((resolve) => setTimeout(resolve, 100));
  t.deepEqual(order, ["response", "timeout"]);
  socket.destroy();
  server.close();
});

test.serial("guards against calling a listener that was cancelled when its time had come", async (t) => {
  const timers = createSystemTimerService();
  let calls = 0;
  const subscription = timers.after(20, "timeout", () => calls++);
  setTimeout(() => subscription.cancel(), 20);
  timers.after(20, "stopped", () => calls++);
  setTimeout(() => timers.stop(), 20);
  // All four are due in the same turn of the event loop; a cancellation that is due in a later turn may come after the call.
  stall(40);
  await new Promise((resolve) => setTimeout(resolve, 100));
  t.is(calls, 0);
});
