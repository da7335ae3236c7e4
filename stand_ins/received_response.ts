/** Judges a response as a caller does that knows only the bytes it has received. */

/** What a caller has of one response once its connection has ended. */
export interface ReceivedResponse {
  /** Status; undefined if the head is not complete. */
  readonly status: number | undefined;
  readonly head: string;
  /** The body without the framing of chunks. */
  readonly body: string;
  /** Whether the bytes give no sign that anything is missing. */
  readonly looksWhole: boolean;
}

const HEAD_END = "\r\n\r\n";

function _readChunks(text: string): { body: string; isWhole: boolean } {
  let body = "";
  let rest = text;
  for (;;) {
    const [line, size] = /^([0-9a-f]+)\r\n/i.exec(rest) ?? [];
    if (line === undefined || size === undefined) break;
    const length = Number.parseInt(size, 16);
    if (length === 0) return { body, isWhole: rest.endsWith("\r\n\r\n") };
    body += rest.slice(line.length, line.length + length);
    rest = rest.slice(line.length + length + 2);
  }
  return { body, isWhole: false };
}

/** Reads the response that a connection carried until it ended in order. */
export function readReceived(text: string): ReceivedResponse {
  const end = text.indexOf(HEAD_END);
  if (end < 0) {
    return { status: undefined, head: text, body: "", looksWhole: false };
  }
  const head = text.slice(0, end);
  const content = text.slice(end + HEAD_END.length);
  const status = Number(/^HTTP\/1\.\d (\d{3})/.exec(head)?.[1]);
  const length = /^content-length: *(\d+)$/im.exec(head)?.[1];
  if (/^transfer-encoding: *chunked$/im.test(head)) {
    const { body, isWhole } = _readChunks(content);
    return { status, head, body, looksWhole: isWhole };
  }
  // Without a length, the end of the connection is the end of the body.
  const looksWhole = length === undefined || content.length >= Number(length);
  return { status, head, body: content, looksWhole };
}
