/** Opens the ports of a gateway: callers can connect once the others can be reached. */
import { type BoundedServer, listen } from "./gateway_interfaces.ts";
import type { GatewayAddresses } from "./gateway_options.ts";
import type { CallerServer } from "./gateway_server.ts";
import { toListenAddress } from "./listen_address.ts";

/** The servers of a gateway's ports. */
export interface GatewayPorts {
  readonly callerServer: CallerServer;
  readonly entryServer: BoundedServer;
  readonly statusServer: BoundedServer;
}

/** Starts to listen on all ports; `onError` gets later errors with the port's name. */
export async function openPorts(
  { callerServer, entryServer, statusServer }: GatewayPorts,
  addresses: GatewayAddresses,
  onError: (port: string, code: string) => void,
): Promise<void> {
  await listen(
    statusServer.server,
    toListenAddress(addresses.status),
    (code) => onError("status", code),
  );
  await listen(
    entryServer.server,
    toListenAddress(addresses.entry),
    (code) => onError("entry", code),
  );
  await callerServer.listen(
    toListenAddress(addresses.callers),
    (code) => onError("callers", code),
  );
}
