/** The schema of addresses that come from outside the process. */
import { z } from "zod";
import { brandId, type SocketAddress } from "./ids.ts";

const MAXIMUM_PORT = 65_535;
const _ip = z.union([z.ipv4(), z.ipv6()]);

/** Whether a text is `ip:port`, an IPv6 address in brackets, with a usable port. */
function _isSocketAddress(text: string): boolean {
  const parts = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  if (!parts) return false;
  const [, bracketed, plain, digits] = parts;
  const port = Number(digits);
  const isIp = bracketed === undefined
    ? z.ipv4().safeParse(plain).success
    : _ip.safeParse(bracketed).success;
  return isIp && port >= 1 && port <= MAXIMUM_PORT;
}

/** Schema of an address to which a connection can be opened. */
export const socketAddressSchema = z.string()
  .refine(_isSocketAddress, "expected ip:port with a port from 1 to 65535")
  .transform((text) => brandId<SocketAddress>(text));
