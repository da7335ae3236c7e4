/** Parses addresses of the form `ip:port`. */

/** The host and port on which a server listens or a peer is reached. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Parses `ip:port`. */
export function toListenAddress(address: string): ListenAddress {
  const separator = address.lastIndexOf(":");
  return {
    host: address.slice(0, separator),
    port: Number(address.slice(separator + 1)),
  };
}
