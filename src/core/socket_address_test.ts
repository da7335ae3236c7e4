import test from "ava";
import { socketAddressSchema } from "./socket_address.ts";

test("guards against an address to which no connection can be opened", (t) => {
  const invalid = [
    "127.0.0.1:99999",
    "127.0.0.1:65536",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:",
    "127.0.0.1",
    "127.0.0.1:80/path",
    "127.0.0.1:80\n",
    " 127.0.0.1:80",
    "user@127.0.0.1:80",
    "127.0.0.256:80",
    "::1:80",
    "[127.0.0.1:80",
    "",
    "x".repeat(100_000),
  ];
  for (const text of invalid) {
    t.false(socketAddressSchema.safeParse(text).success, text.slice(0, 40));
  }
  for (const text of ["127.0.0.1:1", "10.0.0.1:65535", "[::1]:80"]) {
    t.true(socketAddressSchema.safeParse(text).success, text);
  }
});
