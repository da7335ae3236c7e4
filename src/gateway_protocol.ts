/**
 * The headers between callers, gateway and backend servers. The names are a
 * table, so that a deployment with other names needs no other code.
 */
import type { IncomingHttpHeaders } from "node:http";
import { parsePromptParts, type PromptPart } from "./core/prompt.ts";

/** Names of headers, in lower case. */
export interface GatewayHeaderNames {
  /** Id of one attempt of a caller; backend servers repeat it in answers. */
  readonly requestId: string;
  /** Milliseconds that the sender still waits. */
  readonly deadline: string;
  /** Id of the backend server that alone may run the request. */
  readonly expectedServer: string;
  /** Workspace whose key the caller sent. */
  readonly workspace: string;
  /** Urgency at the backend server; 0 is first. */
  readonly urgency: string;
  /** Parts of the prompt. */
  readonly promptParts: string;
  /** Address of a server from which to copy the cache of the prompt. */
  readonly cacheSource: string;
  /** Present on answers of backend servers that did not run the request. */
  readonly notRun: string;
  /** Present on every answer that a backend server made by running the request. */
  readonly signature: string;
  /** Load of the backend server when it answered. */
  readonly serverLoad: string;
  /** Further headers that callers may not set. */
  readonly reserved: readonly string[];
}

/** The names that the gateway uses unless told otherwise. */
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
  serverLoad: "x-server-load",
  reserved: [],
};

/** Headers that concern one connection only. */
const CONNECTION_HEADERS = [
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

/** What a request's headers say. */
export interface RequestMetadata {
  readonly requestId: string | undefined;
  readonly deadlineMilliseconds: number | undefined;
  readonly key: string | undefined;
  readonly promptParts: readonly PromptPart[];
}

/** What the gateway adds to a request for a backend server. */
export interface ForwardMetadata {
  readonly expectedServer: string;
  readonly remainingMilliseconds: number;
  readonly workspace: string | undefined;
  readonly urgency: number | undefined;
  readonly cacheSource: string | undefined;
  /** Resumes an event stream after this event. */
  readonly lastEventId: string | undefined;
}

/** What a backend server's answer says beside its body. */
export interface ResponseMetadata {
  readonly requestId: string | undefined;
  readonly notRun: boolean;
  readonly isSigned: boolean;
}

/** Header values of an answer by lower-case name. */
export type ResponseHeaders = Readonly<
  Record<string, string | readonly string[] | undefined>
>;

const MAXIMUM_URGENCY = 9;
const BEARER = /^Bearer +(\S+)\s*$/i;

function _single(value: string | readonly string[] | undefined) {
  return typeof value === "string" ? value : value?.[0];
}

function _readMilliseconds(text: string | undefined): number | undefined {
  const value = Number(text);
  return text !== undefined && Number.isFinite(value) && value >= 0
    ? value
    : undefined;
}

/** Returns the names that a Connection header makes headers of one connection. */
function _namedByConnection(value: string | undefined): readonly string[] {
  if (!value) return [];
  return value.split(",").map((name) => name.trim().toLowerCase());
}

/** Reads and writes headers with one table of names. */
export interface GatewayProtocol {
  readRequest(headers: IncomingHttpHeaders): RequestMetadata;
  /** Returns the headers for a backend server as a flat list of names and values. */
  forwardHeaders(
    rawHeaders: readonly string[],
    terms: ForwardMetadata,
  ): string[];
  readResponse(headers: ResponseHeaders): ResponseMetadata;
  /** Returns the headers of an answer for the caller, as a flat list. */
  responseHeaders(rawHeaders: readonly Buffer[]): string[];
}

/** Creates a protocol with a table of names. */
export function createGatewayProtocol(
  names: GatewayHeaderNames = DEFAULT_HEADER_NAMES,
): GatewayProtocol {
  const ownNames = new Set([
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
    names.serverLoad,
    ...names.reserved,
    ...CONNECTION_HEADERS,
  ]);
  const hopNames = new Set(CONNECTION_HEADERS);

  function ownHeaders(terms: ForwardMetadata): string[] {
    const remaining = Math.max(1, Math.floor(terms.remainingMilliseconds));
    const headers = [
      names.expectedServer,
      terms.expectedServer,
      names.deadline,
      String(remaining),
    ];
    if (terms.workspace !== undefined) {
      headers.push(names.workspace, terms.workspace);
    }
    if (terms.urgency !== undefined) {
      const urgency = Math.min(MAXIMUM_URGENCY, Math.max(0, terms.urgency));
      headers.push(names.urgency, String(urgency));
    }
    if (terms.cacheSource !== undefined) {
      headers.push(names.cacheSource, terms.cacheSource);
    }
    if (terms.lastEventId !== undefined) {
      headers.push(LAST_EVENT_ID, terms.lastEventId);
    }
    return headers;
  }

  return {
    readRequest(headers) {
      const bearer = BEARER.exec(headers.authorization ?? "");
      return {
        requestId: _single(headers[names.requestId]),
        deadlineMilliseconds: _readMilliseconds(
          _single(headers[names.deadline]),
        ),
        key: bearer?.[1],
        promptParts: parsePromptParts(_single(headers[names.promptParts])),
      };
    },
    forwardHeaders(rawHeaders, terms) {
      const forwarded = ownHeaders(terms);
      const dropped = new Set<string>();
      for (let index = 0; index < rawHeaders.length; index += 2) {
        if (rawHeaders[index]?.toLowerCase() !== "connection") continue;
        for (const name of _namedByConnection(rawHeaders[index + 1])) {
          dropped.add(name);
        }
      }
      for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = rawHeaders[index] as string;
        const lower = name.toLowerCase();
        const isResume = lower === LAST_EVENT_ID &&
          terms.lastEventId !== undefined;
        // A caller cannot use Connection to remove what identifies the request.
        const isDropped = dropped.has(lower) && lower !== names.requestId &&
          lower !== names.promptParts && lower !== "host";
        if (ownNames.has(lower) || isResume || isDropped) continue;
        forwarded.push(name, rawHeaders[index + 1] as string);
      }
      return forwarded;
    },
    readResponse(headers) {
      return {
        requestId: _single(headers[names.requestId]),
        notRun: headers[names.notRun] !== undefined,
        isSigned: headers[names.signature] !== undefined,
      };
    },
    responseHeaders(rawHeaders) {
      const headers: string[] = [];
      for (let index = 0; index < rawHeaders.length; index += 2) {
        const name = (rawHeaders[index] as Buffer).toString("latin1");
        if (hopNames.has(name.toLowerCase())) continue;
        headers.push(
          name,
          (rawHeaders[index + 1] as Buffer).toString("latin1"),
        );
      }
      return headers;
    },
  };
}
