/**
 * Finds the way of one request in the log lines of several routers, with what
 * these routers learned around it.
 */
import { z } from "zod";

/** Changes of belief up to this long before a request may have decided it. */
const BEFORE_MILLISECONDS = 5_000;
const AFTER_MILLISECONDS = 1_000;

const _line = z.looseObject({
  time: z.number(),
  host: z.string(),
  msg: z.string(),
  request: z.string().optional(),
});

/** A log line that was read. */
export type LogLine = z.infer<typeof _line>;

/** The way of a request. */
export interface LogExplanation {
  /** Lines about the request and changes of belief, in order of time. */
  readonly lines: readonly LogLine[];
  /** Lines that could not be read. */
  readonly skipped: number;
}

/** Events that change what a router believes. */
const BELIEF_EVENTS = [
  "process.",
  "settings.",
  "dependency.",
  "configuration.",
  "registry.",
  "peer.",
  "server.",
  "lines.",
];

/** Reads a line; what stands before the JSON object is left out. */
export function safeParseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf("{");
  if (start < 0) return undefined;
  try {
    const parsed = _line.safeParse(JSON.parse(text.slice(start)));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

function _isBelief({ msg }: LogLine): boolean {
  return BELIEF_EVENTS.some((prefix) => msg.startsWith(prefix));
}

/** Returns the way of a request; without any line the request is unknown. */
export function explainRequest(
  texts: Iterable<string>,
  request: string,
): LogExplanation {
  const own: LogLine[] = [];
  const beliefs: LogLine[] = [];
  let skipped = 0;
  for (const text of texts) {
    if (text.trim() === "") continue;
    const line = safeParseLogLine(text);
    if (!line) skipped++;
    else if (line.request === request) own.push(line);
    else if (_isBelief(line)) beliefs.push(line);
  }
  if (own.length === 0) return { lines: [], skipped };
  const times = own.map(({ time }) => time);
  const from = Math.min(...times) - BEFORE_MILLISECONDS;
  const to = Math.max(...times) + AFTER_MILLISECONDS;
  const hosts = new Set(own.map(({ host }) => host));
  const around = beliefs.filter(({ host, time }) =>
    hosts.has(host) && time >= from && time <= to
  );
  const lines = [...own, ...around].sort((left, right) =>
    left.time - right.time
  );
  return { lines, skipped };
}

function _toText(value: unknown): string {
  return typeof value === "string" ? value : JSON.stringify(value) ?? "";
}

/** Writes an explanation for people, times relative to the request's first line. */
export function toExplanationText({ lines }: LogExplanation): string {
  const start = lines.find(({ request }) => request !== undefined)?.time ?? 0;
  return lines.map(({ time, host, msg, request, level: _level, ...fields }) => {
    const offset = `${time - start} ms`.padStart(9);
    const details = Object.entries(fields)
      .map(([name, value]) => `${name}=${_toText(value)}`)
      .join(" ");
    const mark = request === undefined ? "~" : " ";
    return `${offset} ${mark} ${host}  ${msg}  ${details}`;
  }).join("\n");
}
