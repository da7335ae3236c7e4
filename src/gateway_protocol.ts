/**
 * Headers exchanged between callers, gateway and backend servers. The names are
 * read from a table, so that a deployment can change them without a code change.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { PromptPart } from "./core/prompt.ts";
import type { PartKey } from "./core/prompt_directory.ts";
import { parseStatedPrompt } from "./core/stated_prompt.ts";
import {
  parseStatedTokens,
  type StatedTokens,
} from "./core/load_control/request_cost.ts";
import type { StatedLoad } from "./core/load_control/server_load_notices.ts";
import type { RateLimitHeader } from "./core/load_control/server_rate_limits.ts";

/** Header names, in lower case. */
export interface GatewayHeaderNames {
  /** Id of one attempt of a caller; backend servers echo it in responses. */
  readonly requestId: string;
  /** Remaining time that the sender waits, in milliseconds. */
  readonly deadline: string;
  /** Id of the only backend server that may run the request. */
  readonly expectedServer: string;
  /** Workspace of the caller's key. */
  readonly workspace: string;
  /** Urgency at the backend server; 0 is the most urgent. */
  readonly urgency: string;
  /** Parts of the prompt. */
  readonly promptParts: string;
  /** Address of a server from which the prompt's cache can be copied. */
  readonly cacheSource: string;
  /** Set on responses of backend servers that did not run the request. */
  readonly notRun: string;
  /** Set on every response that results from running the request. */
  readonly signature: string;
  /** Set on responses of backend servers that are leaving. */
  readonly leaving: string;
  /** Requests per second that the backend server takes from the whole fleet. */
  readonly rateLimit: string;
  /** Load of the backend server at the time of the response. */
  readonly serverLoad: string;
  /** Tokens of the prompt and maximum tokens of the output, `1200,256`. */
  readonly tokenUsage: string;
  /** Expected tokens of the output. */
  readonly lengthHint: string;
  /** Other headers that are removed from callers' requests. */
  readonly reserved: readonly string[];
}

/** The default header names. */
export const DEFAULT_HEADER_NAMES: GatewayHeaderNames = {
  requestId: "x-request-id",
  deadline: "x-deadline-milliseconds",
  expectedServer: "x-expected-server",
  workspace: "x-workspace",
  urgency: "x-urgency",
  promptParts: "x-prompt-parts",
  cacheSource: "x-cache-source",
  notRun: "x-not-run",
  signature: "x-answer-signature",
  leaving: "x-draining",
  rateLimit: "x-server-rate-limit",
  serverLoad: "x-server-load",
  tokenUsage: "x-token-usage",
  lengthHint: "x-length-hint",
  reserved: [],
};

/** Hop-by-hop headers, which are not forwarded. */
const HOP_BY_HOP_HEADERS = [
  "connection",
  "keep-alive",
  "proxy-authorization",
  "proxy-authenticate",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
];

/** Header with which a caller resumes an event stream. */
export const LAST_EVENT_ID = "last-event-id";

/** Metadata in the headers of a caller's request. */
export interface RequestMetadata {
  readonly requestId: string | undefined;
  readonly deadlineMilliseconds: number | undefined;
  readonly key: string | undefined;
  /** Parts of the prompt; in a long prompt, one may stand for a run of parts. */
  readonly promptParts: readonly PromptPart[];
  /** Keys of all parts of the prompt that requests share. */
  readonly sharedPartKeys: readonly PartKey[];
}

/** Metadata that the gateway adds to a forwarded request. */
export interface ForwardMetadata {
  readonly expectedServer: string;
  readonly remainingMilliseconds: number;
  readonly workspace: string | undefined;
  readonly urgency: number | undefined;
  readonly cacheSource: string | undefined;
  /** Resumes an event stream after this event. */
  readonly lastEventId: string | undefined;
}

/** Metadata in the headers of a backend server's response. */
export interface ResponseMetadata {
  readonly requestId: string | undefined;
  readonly notRun: boolean;
  readonly isSigned: boolean;
  readonly isLeaving: boolean;
  /** Time for which the server wants no request; undefined if it does not say. */
  readonly pauseMilliseconds: number | undefined;
  /** Requests per second that the server takes from the whole fleet. */
  readonly rateLimit: RateLimitHeader;
  /** Load of the server; undefined if it does not state it. */
  readonly load: StatedLoad | undefined;
  /** Names of headers whose value is malformed; they count as absent. */
  readonly malformed: readonly string[];
}

/** Response header values by lower-case name. */
export type ResponseHeaders = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

const MAXIMUM_URGENCY = 9;
const BEARER = /^Bearer +(\S+)\s*$/i;

function _firstValue(value: string | readonly string[] | undefined) {
  return typeof value === "string" ? value : value?.[0];
}

function _parseMilliseconds(text: string | undefined): number | undefined {
  const value = Number(text);
  return text !== undefined && Number.isFinite(value) && value >= 0
    ? value
    : undefined;
}

/** Value of the header of a server that is leaving. */
const LEAVING_VALUE = "1";
const RETRY_AFTER = "retry-after";
/**
 * A number with or without a fraction. A date as Retry-After would need
 * synchronized clocks.
 */
const DECIMAL = /^\s*\d{1,9}(\.\d{1,9})?\s*$/;
/** Running, waiting and slots, and the pace in percent of the usual if stated. */
const LOAD =
  /^\s*(\d{1,9})\s*,\s*(\d{1,9})\s*,\s*(\d{1,9})\s*(?:,\s*(\d{1,9}(?:\.\d{1,9})?)\s*)?$/;
const SERVICE_UNAVAILABLE = 503;

type _Notices = Pick<
  ResponseMetadata,
  "isLeaving" | "pauseMilliseconds" | "rateLimit" | "load" | "malformed"
>;

function _readPause(
  status: number,
  headers: ResponseHeaders,
  malformed: string[],
): number | undefined {
  if (status !== SERVICE_UNAVAILABLE) return undefined;
  const pause = _firstValue(headers[RETRY_AFTER]);
  if (pause === undefined) return undefined;
  if (DECIMAL.test(pause)) return Number(pause) * 1_000;
  malformed.push(RETRY_AFTER);
  return undefined;
}

function _readRateLimit(
  headers: ResponseHeaders,
  name: string,
  malformed: string[],
): RateLimitHeader {
  const limit = _firstValue(headers[name]);
  if (limit === undefined) return { kind: "none" };
  if (DECIMAL.test(limit)) {
    return { kind: "named", requestsPerSecond: Number(limit) };
  }
  malformed.push(name);
  return { kind: "malformed" };
}

function _readLoad(
  headers: ResponseHeaders,
  name: string,
  malformed: string[],
): StatedLoad | undefined {
  const text = _firstValue(headers[name]);
  if (text === undefined) return undefined;
  const [, running, waiting, slots, statedPace] = LOAD.exec(text) ?? [];
  const pace = statedPace === undefined ? undefined : Number(statedPace);
  if (running === undefined || pace === 0) {
    malformed.push(name);
    return undefined;
  }
  return {
    running: Number(running),
    waiting: Number(waiting),
    slots: Number(slots),
    pace,
  };
}

function _readNotices(
  status: number,
  headers: ResponseHeaders,
  names: GatewayHeaderNames,
): _Notices {
  const malformed: string[] = [];
  const leaving = _firstValue(headers[names.leaving]);
  const isLeaving = leaving?.trim() === LEAVING_VALUE;
  if (leaving !== undefined && !isLeaving) malformed.push(names.leaving);
  return {
    isLeaving,
    pauseMilliseconds: _readPause(status, headers, malformed),
    rateLimit: _readRateLimit(headers, names.rateLimit, malformed),
    load: _readLoad(headers, names.serverLoad, malformed),
    malformed,
  };
}

/** Returns the header names that a Connection header marks as hop-by-hop. */
function _parseConnectionHeader(value: string | undefined): readonly string[] {
  if (!value) return [];
  return value.split(",").map((name) => name.trim().toLowerCase());
}

/** Reads and writes headers according to a table of names. */
export interface GatewayProtocol {
  readRequest(headers: IncomingHttpHeaders): RequestMetadata;
  /** Returns what a request states about its tokens. */
  readTokens(headers: IncomingHttpHeaders): StatedTokens;
  /** Returns the headers for a backend server as a flat name-value list. */
  forwardHeaders(
    rawHeaders: readonly string[],
    metadata: ForwardMetadata,
  ): string[];
  readResponse(status: number, headers: ResponseHeaders): ResponseMetadata;
  /** Returns the response headers for the caller as a flat name-value list. */
  responseHeaders(rawHeaders: readonly Buffer[]): string[];
}

/** Creates a protocol that uses the given header names. */
export function createGatewayProtocol(
  names: GatewayHeaderNames = DEFAULT_HEADER_NAMES,
): GatewayProtocol {
  const strippedNames = new Set([
    "authorization",
    "expect",
    "content-length",
    names.deadline,
    names.expectedServer,
    names.workspace,
    names.urgency,
    names.cacheSource,
    names.notRun,
    names.signature,
    names.leaving,
    names.rateLimit,
    names.serverLoad,
    ...names.reserved,
    ...HOP_BY_HOP_HEADERS,
  ]);
  const hopByHopNames = new Set(HOP_BY_HOP_HEADERS);

  function gatewayHeaders(metadata: ForwardMetadata): string[] {
    const remaining = Math.max(1, Math.floor(metadata.remainingMilliseconds));
    const headers = [
      names.expectedServer,
      metadata.expectedServer,
      names.deadline,
      String(remaining),
    ];
    if (metadata.workspace !== undefined) {
      headers.push(names.workspace, metadata.workspace);
    }
    if (metadata.urgency !== undefined) {
      const urgency = Math.min(MAXIMUM_URGENCY, Math.max(0, metadata.urgency));
      headers.push(names.urgency, String(urgency));
    }
    if (metadata.cacheSource !== undefined) {
      headers.push(names.cacheSource, metadata.cacheSource);
    }
    if (metadata.lastEventId !== undefined) {
      headers.push(LAST_EVENT_ID, metadata.lastEventId);
    }
    return headers;
  }

  return {
    readRequest(headers) {
      const bearer = BEARER.exec(headers.authorization ?? "");
      const prompt = parseStatedPrompt(_firstValue(headers[names.promptParts]));
      return {
        requestId: _firstValue(headers[names.requestId]),
        deadlineMilliseconds: _parseMilliseconds(
          _firstValue(headers[names.deadline]),
        ),
        key: bearer?.[1],
        promptParts: prompt.parts,
        sharedPartKeys: prompt.sharedKeys,
      };
    },
    readTokens: (headers) =>
      parseStatedTokens(
        _firstValue(headers[names.tokenUsage]),
        _firstValue(headers[names.lengthHint]),
      ),
    forwardHeaders(rawHeaders, metadata) {
      const forwarded = gatewayHeaders(metadata);
      const dropped = new Set<string>();
      for (let index = 0; index < rawHeaders.length; index += 2) {
        if (rawHeaders[index]?.toLowerCase() !== "connection") continue;
        for (const name of _parseConnectionHeader(rawHeaders[index + 1])) {
          dropped.add(name);
        }
      }
      for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index] as string;
        const lower = name.toLowerCase();
        const isReplaced = lower === LAST_EVENT_ID &&
          metadata.lastEventId !== undefined;
        // Connection must not remove the headers that identify the request.
        const isDropped = dropped.has(lower) && lower !== names.requestId &&
          lower !== names.promptParts && lower !== "host";
        if (strippedNames.has(lower) || isReplaced || isDropped) continue;
        forwarded.push(name, rawHeaders[index + 1] as string);
      }
      return forwarded;
    },
    readResponse(status, headers) {
      return {
        ..._readNotices(status, headers, names),
        requestId: _firstValue(headers[names.requestId]),
        notRun: headers[names.notRun] !== undefined,
        isSigned: headers[names.signature] !== undefined,
      };
    },
    responseHeaders(rawHeaders) {
      const headers: string[] = [];
      for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = (rawHeaders[index] as Buffer).toString("latin1");
        if (hopByHopNames.has(name.toLowerCase())) continue;
        headers.push(
          name,
          (rawHeaders[index + 1] as Buffer).toString("latin1"),
        );
      }
      return headers;
    },
  };
}
