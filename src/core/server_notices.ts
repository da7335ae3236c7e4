/**
 * What backend servers have said about new requests: that they are leaving, in
 * the registry or in a response, or that they want none for some time.
 *
 * A notice holds for the incarnation that gave it. A registry entry that is older
 * than the notice does not take it back; a new incarnation is not bound by it.
 * Nothing else ends a drain; a pause ends with its time.
 */
import { AnnouncementLog } from "./announcement_log.ts";
import { evictOldest } from "./bounded_map.ts";
import type { BackendServerId } from "./ids.ts";
import {
  type IncarnationKey,
  incarnationKeyOf,
} from "./server_incarnations.ts";
import type { RegisteredServer } from "./server_registry.ts";

/** Beyond this number, the oldest notices are forgotten. */
const MAXIMUM_NOTICES = 4_096;

/** Where a drain notice came from. */
export type DrainSource = "registry" | "response" | "peer";

/** That a server is leaving. */
export interface DrainNotice {
  readonly source: DrainSource;
  /** When this router learned of it, in monotonic milliseconds. */
  readonly since: number;
}

interface _Pause {
  readonly incarnation: IncarnationKey;
  readonly since: number;
  readonly until: number;
  /** Whether the first request after the pause is under way. */
  isTrying: boolean;
}

/** Why a server gets no request at all, and since when. */
export interface ServerClosure {
  readonly server: BackendServerId;
  readonly reason: "leaving" | "pausing" | "evacuated";
  readonly ageMilliseconds: number;
}

/** Callbacks for events that are logged. */
export interface ServerNoticesOptions {
  readonly onLeaving?: (server: RegisteredServer, source: DrainSource) => void;
  readonly onPausing?: (server: RegisteredServer, milliseconds: number) => void;
}

/** The notices that one router has. */
export class ServerNotices {
  readonly #options: ServerNoticesOptions;
  readonly #drains = new Map<IncarnationKey, DrainNotice>();
  readonly #pauses = new Map<BackendServerId, _Pause>();
  readonly #announcements = new AnnouncementLog<IncarnationKey>(
    MAXIMUM_NOTICES,
  );

  constructor(options: ServerNoticesOptions = {}) {
    this.#options = options;
  }

  /** Records that a server is leaving. */
  recordLeaving(
    server: RegisteredServer,
    source: DrainSource,
    now: number,
  ): void {
    const incarnation = incarnationKeyOf(server);
    if (!this.#addDrain(incarnation, { source, since: now })) return;
    // Peers read the registry themselves.
    if (source === "response") this.#announcements.add(incarnation);
    this.#options.onLeaving?.(server, source);
  }

  /** Adds a peer's notice and announces it, so that it outlives the peer. */
  addPeerNotice(incarnation: IncarnationKey, now: number): void {
    const isNew = this.#addDrain(incarnation, { source: "peer", since: now });
    if (isNew) this.#announcements.add(incarnation);
  }

  /** Records that a server wants no request for some time. */
  recordPause(
    server: RegisteredServer,
    milliseconds: number,
    now: number,
  ): void {
    const incarnation = incarnationKeyOf(server);
    const known = this.#pauseOf(server);
    const until = Math.max(now + milliseconds, known?.until ?? 0);
    this.#pauses.delete(server.id);
    this.#pauses.set(server.id, {
      incarnation,
      since: now,
      until,
      isTrying: false,
    });
    evictOldest(this.#pauses, MAXIMUM_NOTICES);
    this.#options.onPausing?.(server, until - now);
  }

  /** Returns why a server may get no request now; undefined if it may. */
  unavailability(
    server: RegisteredServer,
    now: number,
  ): ServerClosure | undefined {
    if (this.#drains.size > 0) {
      const drain = this.#drains.get(incarnationKeyOf(server));
      if (drain) return _toUnavailable(server, "leaving", now - drain.since);
    }
    const pause = this.#pauseOf(server);
    return pause && now < pause.until
      ? _toUnavailable(server, "pausing", now - pause.since)
      : undefined;
  }

  /** Time until the end of a server's pause; 0 if it has none. */
  pauseMilliseconds(server: RegisteredServer, now: number): number {
    return Math.max(0, (this.#pauseOf(server)?.until ?? 0) - now);
  }

  /**
   * Whether the first request after a server's pause is under way. Further ones
   * go elsewhere until it has a response, so that they are no flood.
   */
  isTrying(server: RegisteredServer): boolean {
    return this.#pauseOf(server)?.isTrying ?? false;
  }

  /** Records a request that is sent; returns a listener for its end, if it needs one. */
  recordSent(
    server: RegisteredServer,
    now: number,
  ): ((hasResponse: boolean) => void) | undefined {
    const pause = this.#pauseOf(server);
    if (!pause || now < pause.until || pause.isTrying) return undefined;
    pause.isTrying = true;
    return (hasResponse) => {
      pause.isTrying = false;
      const isCurrent = this.#pauses.get(server.id) === pause;
      if (hasResponse && isCurrent) this.#pauses.delete(server.id);
    };
  }

  /** Sequence number of the next announcement. */
  get nextSequence(): number {
    return this.#announcements.nextSequence;
  }

  /** Returns the incarnations that said they are leaving, from a number on. */
  announcementsSince(sequence: number): readonly IncarnationKey[] {
    return this.#announcements.since(sequence);
  }

  #addDrain(incarnation: IncarnationKey, notice: DrainNotice): boolean {
    if (this.#drains.has(incarnation)) return false;
    this.#drains.set(incarnation, notice);
    evictOldest(this.#drains, MAXIMUM_NOTICES);
    return true;
  }

  /** Returns the pause of a server's present incarnation. */
  #pauseOf(server: RegisteredServer): _Pause | undefined {
    const pause = this.#pauses.get(server.id);
    if (!pause) return undefined;
    return pause.incarnation === incarnationKeyOf(server) ? pause : undefined;
  }
}

function _toUnavailable(
  { id }: RegisteredServer,
  reason: ServerClosure["reason"],
  ageMilliseconds: number,
): ServerClosure {
  return { server: id, reason, ageMilliseconds };
}

/** Creates a `ServerNotices` without notices. */
export function createServerNotices(
  options: ServerNoticesOptions = {},
): ServerNotices {
  return new ServerNotices(options);
}
