/**
 * Collects the log lines of one request from the logs of several routers, with
 * the state changes that these routers logged around it.
 */
import { z } from "zod";

/** State changes this long before a request may still have influenced it. */
const CONTEXT_BEFORE_MILLISECONDS = 5_000;
/** Time after a request's last line in which state changes are listed. */
const CONTEXT_AFTER_MILLISECONDS = 1_000;

const _logLineSchema = z.looseObject({
  time: z.number(),
  host: z.string(),
  msg: z.string(),
  request: z.string().optional(),
});

/** A parsed log line. */
export type LogLine = z.infer<typeof _logLineSchema>;

/** The log lines that explain a request's handling. */
export interface LogExplanation {
  /** Lines about the request and state changes around it, in order of time. */
  readonly lines: readonly LogLine[];
  /** Number of lines that could not be parsed. */
  readonly skipped: number;
}

/** Prefixes of events that log a router's state changes. */
const STATE_EVENT_PREFIXES = [
  "process.",
  "settings.",
  "dependency.",
  "store.",
  "configuration.",
  "registry.",
  "peer.",
  "server.",
  "prompt.",
  "evacuation.",
  "lines.",
];

/** Parses a log line; text before the JSON object is ignored. */
export function safeParseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf("{");
  if (start < 0) return undefined;
  try {
    const parsed = _logLineSchema.safeParse(JSON.parse(text.slice(start)));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

function _isStateEvent({ msg }: LogLine): boolean {
  return STATE_EVENT_PREFIXES.some((prefix) => msg.startsWith(prefix));
}

/** Returns the explanation of a request; without lines if none names its id. */
export function explainRequest(
  texts: Iterable<string>,
  request: string,
): LogExplanation {
  const requestLines: LogLine[] = [];
  const stateEvents: LogLine[] = [];
  let skipped = 0;
  for (const text of texts) {
    if (text.trim() === "") continue;
    const line = safeParseLogLine(text);
    if (!line) skipped++;
    else if (line.request === request) requestLines.push(line);
    else if (_isStateEvent(line)) stateEvents.push(line);
  }
  if (requestLines.length === 0) return { lines: [], skipped };
  const times = requestLines.map(({ time }) => time);
  const from = Math.min(...times) - CONTEXT_BEFORE_MILLISECONDS;
  const to = Math.max(...times) + CONTEXT_AFTER_MILLISECONDS;
  const hosts = new Set(requestLines.map(({ host }) => host));
  const contextLines = stateEvents.filter(({ host, time }) =>
    hosts.has(host) && time >= from && time <= to
  );
  const lines = [...requestLines, ...contextLines].sort((left, right) =>
    left.time - right.time
  );
  return { lines, skipped };
}

function _toText(value: unknown): string {
  return typeof value === "string" ? value : JSON.stringify(value) ?? "";
}

/** Formats an explanation, with times relative to the request's first line. */
export function toExplanationText({ lines }: LogExplanation): string {
  const start = lines.find(({ request }) => request !== undefined)?.time ?? 0;
  return lines.map(({ time, host, msg, request, level: _level, ...fields }) => {
    const offset = `${time - start} ms`.padStart(9);
    const details = Object.entries(fields)
      .map(([name, value]) => `${name}=${_toText(value)}`)
      .join(" ");
    const marker = request === undefined ? "~" : " ";
    return `${offset} ${marker} ${host}  ${msg}  ${details}`;
  }).join("\n");
}
