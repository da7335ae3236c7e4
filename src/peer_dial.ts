/** Opens TCP connections to peers. */
import { connect, type Socket } from "node:net";
import type { SocketAddress } from "./core/ids.ts";
import { toListenAddress } from "./listen_address.ts";
import { afterPendingInput } from "./pending_input.ts";

/** Time allowed for opening a connection to a peer. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/** Called once with the outcome of a dial. */
export interface DialListener {
  onConnected(socket: Socket): void;
  onFailed(): void;
}

/** Opens a connection to a peer within the connect timeout. */
export function dialPeer(to: SocketAddress, listener: DialListener): void {
  const socket = connect({
    ...toListenAddress(to),
    timeout: CONNECT_TIMEOUT_MILLISECONDS,
  });

  function onFailed(): void {
    listener.onFailed();
  }

  socket.once("timeout", () =>
    afterPendingInput(() => {
      if (socket.connecting) socket.destroy();
    }));
  socket.once("connect", () => {
    socket.setTimeout(0);
    // The connection reports its own close; a late event would fail the next
    // dial.
    socket.off("error", onFailed);
    socket.off("close", onFailed);
    listener.onConnected(socket);
  });
  socket.once("error", onFailed);
  socket.once("close", onFailed);
}
