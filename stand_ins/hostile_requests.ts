/**
 * Requests that no caller should send: odd targets, methods, headers and bodies,
 * half requests and pipelined ones, drawn from a seeded random source.
 */
import { connect } from "node:net";
import { createSeededRandom, type RandomSource } from "../src/core/random.ts";

/** More by hand: set `HOSTILE_REQUESTS=10000`, and `HOSTILE_SEED` for others. */
const REQUESTS = Number(process.env["HOSTILE_REQUESTS"] ?? 400);
const SEED = Number(process.env["HOSTILE_SEED"] ?? 1);
/** Requests that are sent at once. */
const ROUND = 50;
/** Half requests wait for the rest until they are cut here. */
const PATIENCE_MILLISECONDS = 60;
const SOUND_RATIO = 0.3;
const KNOWN_VERSION_RATIO = 0.9;
const HALF_RATIO = 0.15;
const PIPELINED_RATIO = 0.15;
const MAXIMUM_HEADERS = 4;

/** Targets and headers of the program that the requests are sent to. */
export interface HostileVocabulary {
  /** Targets in addition to those that are odd for every program. */
  readonly targets: readonly string[];
  /** Header lines in addition to those that are odd for every program. */
  readonly headers: readonly string[];
  /** Targets that the program serves. */
  readonly soundTargets: readonly string[];
  /** Header lines with which the program serves these targets. */
  readonly soundHeaders: readonly string[];
}

const TARGETS = [
  "//",
  "/",
  "*",
  "/%",
  "/%00",
  "//[",
  "///",
  "/\\",
  "http://",
  "http://[",
  "?",
  "",
];
const METHODS = [
  "GET",
  "POST",
  "CONNECT",
  "OPTIONS",
  "PUT",
  "DELETE",
  "PATCH",
  "TRACE",
  "HEAD",
  "PRI",
  "get",
  "M-SEARCH",
  "X",
  "",
];
const HEADERS = [
  "Host: shop.example",
  "Host: [",
  "Host:",
  "Authorization: Bearer key",
  "Authorization: Bearer",
  "Content-Length: 5",
  "Content-Length: 99999999999",
  "Content-Length: -1",
  "Content-Length: 1, 2",
  "Transfer-Encoding: chunked",
  "Transfer-Encoding: x",
  "Expect: 100-continue",
  "Expect: x",
  "Upgrade: websocket\r\nConnection: Upgrade",
  "Connection: host, close",
  "Last-Event-Id: \u0001",
  "Last-Event-Id: x",
  "X: " + "x".repeat(70_000),
  ": x",
  "x",
  "X: \u0000",
];
const BODIES = [
  "",
  "hello",
  "5\r\nhello\r\n0\r\n\r\n",
  "ffffffffff\r\n",
  "5;x=" + "y".repeat(20_000),
  "x\r\n",
  "GET / HTTP/1.1\r\n\r\n",
];

function _pick<Value>(random: RandomSource, values: readonly Value[]): Value {
  return values[random.integer(values.length)] as Value;
}

/** Returns the bytes of one request, or of several, or of a part of one. */
function _createText(
  random: RandomSource,
  vocabulary: HostileVocabulary,
): string {
  const isSound = random.next() < SOUND_RATIO;
  const headers = Array.from(
    { length: random.integer(MAXIMUM_HEADERS + 1) },
    () => _pick(random, [...HEADERS, ...vocabulary.headers]),
  );
  if (isSound) headers.unshift(...vocabulary.soundHeaders);
  const target = isSound
    ? _pick(random, vocabulary.soundTargets)
    : _pick(random, [...TARGETS, ...vocabulary.targets]);
  const version = random.next() < KNOWN_VERSION_RATIO ? "HTTP/1.1" : "HTTP/9.9";
  const text = `${_pick(random, METHODS)} ${target} ${version}\r\n` +
    headers.map((header) => `${header}\r\n`).join("") +
    `\r\n${_pick(random, BODIES)}`;
  const kind = random.next();
  if (kind < HALF_RATIO) return text.slice(0, random.integer(text.length));
  return kind < HALF_RATIO + PIPELINED_RATIO ? text + text : text;
}

/** Sends bytes on a connection of their own, and cuts it after a moment. */
function _sendBytes(address: string, text: string): Promise<void> {
  const [host, port] = address.split(":") as [string, string];
  return new Promise((resolve) => {
    const socket = connect(Number(port), host, () => {
      socket.write(Buffer.from(text, "latin1"));
      setTimeout(() => socket.destroy(), PATIENCE_MILLISECONDS);
    });
    socket.on("error", () => undefined);
    socket.resume();
    socket.once("close", () => resolve());
  });
}

/** Sends seeded requests to addresses in turn; calls `check` after each round. */
export async function sendHostileRequests(
  addresses: readonly string[],
  vocabulary: HostileVocabulary,
  check: (sent: number) => Promise<void>,
): Promise<void> {
  const random = createSeededRandom(SEED);
  for (let sent = 0; sent < REQUESTS; sent += ROUND) {
    const texts = Array.from(
      { length: ROUND },
      () => _createText(random, vocabulary),
    );
    await Promise.all(
      texts.map((text, index) =>
        _sendBytes(addresses[index % addresses.length]!, text)
      ),
    );
    await check(sent);
  }
}
