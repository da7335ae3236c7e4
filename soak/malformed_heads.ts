/** Status lines and heads that no HTTP client accepts. */

/** Each is sent in the place of a response's status line and first headers. */
export const MALFORMED_HEADS = [
  "HTTP/1.1 000 \r\n",
  "HTTP/1.1 099 X\r\n",
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 \r\n",
  "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n",
  "HTTP/1.1 9999 X\r\n",
  "HTTP/9.9 200 OK\r\n",
  "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n",
  "HTTP/1.1 200 OK\r\n: x\r\n",
  "HTTP/1.1 200 OK\r\n\u0000: x\r\n",
  "GET / HTTP/1.1\r\n",
  "ok\r\n",
] as const;
