/**
 * A runner in trouble, in a thread of its own: it answers streams with a head and then with
 * line feeds without end, until the caller closes, and other requests as a sound one does.
 * With `isEndless` false it sends a short stream instead.
 */
import net from "node:net";
import { parentPort, workerData } from "node:worker_threads";

const PIECE_BYTES = 64 * 1024;
const EVENTS = 20;
const EVENT_MILLISECONDS = 100;
const PIECE = Buffer.from(`${PIECE_BYTES.toString(16)}\r\n${"\n".repeat(PIECE_BYTES)}\r\n`);

function head(id, headers) {
  return `HTTP/1.1 200 OK\r\nX-Sapphirecart-Request-Id: ${id}\r\n` +
    `X-Sapphirecart-Response-Signature: s.${id}\r\n${headers}\r\n\r\n`;
}

function sendEndlessly(socket) {
  while (!socket.destroyed && socket.write(PIECE));
  if (!socket.destroyed) socket.once("drain", () => sendEndlessly(socket));
}

function sendEvents(socket, id = 1) {
  if (socket.destroyed) return;
  if (id > EVENTS) return void socket.write("0\r\n\r\n");
  const event = `id: ${id}\ndata: token\n\n`;
  socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
  setTimeout(() => sendEvents(socket, id + 1), EVENT_MILLISECONDS);
}

const server = net.createServer((socket) => {
  let buffered = "";
  socket.on("error", () => undefined);
  socket.on("data", (bytes) => {
    buffered += bytes.toString("latin1");
    const end = buffered.indexOf("\r\n\r\n");
    if (end < 0) return;
    const request = buffered.slice(0, end);
    buffered = "";
    const [, id] = /^x-sapphirecart-request-id: *(\S+)/im.exec(request) ?? [];
    if (request.startsWith("GET ")) {
      return void socket.write(`${head(id, "Content-Length: 4")}done`);
    }
    socket.write(head(id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"));
    if (workerData.isEndless) sendEndlessly(socket);
    else sendEvents(socket);
  });
});
server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));
