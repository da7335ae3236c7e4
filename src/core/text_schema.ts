/**
 * Schemas for INI values, which are all strings: strict numbers, booleans, names,
 * addresses and comma-separated lists. Their messages state the allowed values.
 */
import { z } from "zod";

/** Inclusive bounds of a number. */
export interface NumberBounds {
  readonly minimum: number;
  readonly maximum: number;
}

function _numberSchema(
  pattern: RegExp,
  description: string,
  { minimum, maximum }: NumberBounds,
) {
  const message = `expected ${description} from ${minimum} to ${maximum}`;
  return z.string().regex(pattern, message).transform(Number).refine(
    (value) => value >= minimum && value <= maximum,
    message,
  );
}

/** Schema of a whole number written in decimal digits. */
export function integerText(bounds: NumberBounds) {
  return _numberSchema(/^\d+$/, "a whole number", bounds);
}

/** Schema of a decimal number without an exponent. */
export function decimalText(bounds: NumberBounds) {
  return _numberSchema(/^\d+(\.\d+)?$/, "a number", bounds);
}

/** Schema of `true` or `false`. */
export function booleanText() {
  return z.union([
    z.boolean(),
    z.enum(["true", "false"], "expected true or false"),
  ])
    .transform((value) => value === true || value === "true");
}

/** Schema of a name that is safe in ids, keys and URLs without escaping. */
export function nameText() {
  return z.string().regex(
    /^[a-z0-9][a-z0-9-]{0,62}$/,
    "expected 1 to 63 lower-case letters, digits or hyphens",
  );
}

/** Schema of a comma-separated list; empty items are dropped. */
export function listText<Item extends z.ZodType<unknown, string>>(item: Item) {
  return z.string().transform((text) =>
    text.split(",").map((part) => part.trim()).filter((part) => part !== "")
  ).pipe(z.array(item));
}

const SOCKET_ADDRESS = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$/;
const MAXIMUM_OCTET = 255;
const MAXIMUM_PORT = 65_535;

function _isSocketAddress(text: string): boolean {
  const match = SOCKET_ADDRESS.exec(text);
  if (!match || Number(match[3]) > MAXIMUM_PORT) return false;
  const host = match[1] ?? "";
  return host.startsWith("[") ||
    host.split(".").every((octet) => Number(octet) <= MAXIMUM_OCTET);
}

/** Schema of an IPv4 or a bracketed IPv6 address with a port. */
export function socketAddressText() {
  return z.string().refine(
    _isSocketAddress,
    "expected an IP address and a port, such as 127.0.0.1:7000",
  );
}

/** Schema of a SHA-256 hash in lower-case hexadecimal. */
export function hashText() {
  return z.string().regex(
    /^[0-9a-f]{64}$/,
    "expected a SHA-256 hash of 64 hexadecimal digits",
  );
}
