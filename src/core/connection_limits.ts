/**
 * Bounds of the connections of one port. A connection waits for its first head, is busy
 * with requests, stalled because its client does not send or read the rest of one, or
 * idle between them. When a bound is reached, the connection that has waited longest for
 * its first head is closed, then the one that has been idle longest, then the one that
 * has been stalled longest, so that clients which do nothing cannot keep others out.
 */

/** Why a connection is closed. */
export type ConnectionBound =
  /** Too many connections are open. */
  | "connections"
  /** Too many connections have not finished their first head. */
  | "unfinished_heads";

/** Bounds of one port. */
export interface ConnectionBounds {
  /** Connections that may be open at once. */
  readonly maximumConnections: number;
  /** Connections that may be open without a finished head. */
  readonly maximumUnfinishedHeads: number;
  /**
   * Connections that may be open at once if some have not finished their first head:
   * those may take what is kept for the servers of connections that are not open. Not
   * given if a connection needs nothing else than itself.
   */
  readonly maximumWithUnfinishedHeads?: number;
}

/** A connection that has to be closed. */
export interface ClosedConnection<Connection> {
  readonly connection: Connection;
  readonly bound: ConnectionBound;
}

/** The connections of one port. */
export interface ConnectionLimits<Connection> {
  readonly size: number;
  /** Connections without a finished head. */
  readonly unfinishedHeads: number;
  /** Adds a connection; returns one to close, which may be the new one itself. */
  add(
    connection: Connection,
    now: number,
  ): ClosedConnection<Connection> | undefined;
  /**
   * Records that a head was read, or that a stalled request goes on. Returns a
   * connection to close, since one with a request takes the place of two without.
   */
  recordBusy(connection: Connection): ClosedConnection<Connection> | undefined;
  /** Records that a request waits for its client; returns a connection to close. */
  recordStalled(
    connection: Connection,
    now: number,
  ): ClosedConnection<Connection> | undefined;
  /** Records that the last response has ended. */
  recordIdle(connection: Connection): void;
  remove(connection: Connection): void;
}

/** Bounds of the ports that clients reach. */
export interface PortBounds {
  readonly callers: ConnectionBounds;
  readonly entry: ConnectionBounds;
  readonly status: ConnectionBounds;
}

/**
 * Descriptors for what is open without clients: standard streams, the event loop,
 * listening sockets, the store, peers and idle connections to servers.
 */
const OWN_DESCRIPTORS = 48;
/** Further descriptors for peers and servers, as a part of all. */
const OWN_DESCRIPTORS_RATIO = 1 / 8;
/** Part of the descriptors for clients that look up addresses. */
const ENTRY_RATIO = 1 / 10;
/** Part of the descriptors for readiness checks and metrics. */
const STATUS_RATIO = 1 / 20;
/** A busy connection of a caller needs another one to a server. */
const DESCRIPTORS_PER_CALLER = 2;
/** Entry and status: a head is read in far less time than a request takes. */
const UNFINISHED_HEADS_RATIO = 1 / 2;
/** Each port takes at least this many connections, however low the limits are. */
const MINIMUM_CONNECTIONS = 8;
/** Part of the memory for clients that connections may take. */
const CONNECTION_MEMORY_RATIO = 1 / 2;

/** A connection that is stalled for longer may be closed for another. */
const STALLED_MILLISECONDS = 1_000;

/** Memory of a connection: its objects, the head, and the uncounted part of a body. */
export const CONNECTION_BYTES = 48 * 1024;

function _toBounds(connections: number): ConnectionBounds {
  const maximumConnections = Math.max(
    MINIMUM_CONNECTIONS,
    Math.floor(connections),
  );
  return {
    maximumConnections,
    maximumUnfinishedHeads: Math.ceil(
      maximumConnections * UNFINISHED_HEADS_RATIO,
    ),
  };
}

/**
 * Returns the bounds of the caller port. A crowd that comes back as soon as it is closed
 * is accepted within milliseconds, and a caller whose process is slow to send its head
 * is the oldest by then. So connections without a head may take the descriptors that are
 * kept for servers, and are closed as soon as requests need those.
 */
function _toCallerBounds(byDescriptors: number, byMemory: number) {
  const { maximumConnections } = _toBounds(Math.min(byDescriptors, byMemory));
  const maximumWithUnfinishedHeads = Math.max(
    maximumConnections,
    Math.floor(Math.min(DESCRIPTORS_PER_CALLER * byDescriptors, byMemory)),
  );
  return {
    maximumConnections,
    maximumUnfinishedHeads: maximumWithUnfinishedHeads,
    maximumWithUnfinishedHeads,
  };
}

/** Bounds for a process; what is not known, or is infinite, does not bound. */
export function derivePortBounds(
  descriptors: number | undefined,
  budgetBytes: number,
): PortBounds {
  const all = descriptors ?? Number.POSITIVE_INFINITY;
  const byMemory = budgetBytes * CONNECTION_MEMORY_RATIO / CONNECTION_BYTES;
  const entry = Math.min(all, byMemory) * ENTRY_RATIO;
  const status = Math.min(all, byMemory) * STATUS_RATIO;
  const own = OWN_DESCRIPTORS + all * OWN_DESCRIPTORS_RATIO;
  const callers = all === Number.POSITIVE_INFINITY
    ? all
    : (all - own - entry - status) / DESCRIPTORS_PER_CALLER;
  return {
    callers: _toCallerBounds(callers, byMemory),
    entry: _toBounds(entry),
    status: _toBounds(status),
  };
}

function _oldest<Value>(values: ReadonlySet<Value>): Value | undefined {
  const [oldest] = values;
  return oldest;
}

/** Creates the limits of one port without connections. */
export function createConnectionLimits<Connection>(
  bounds: ConnectionBounds,
): ConnectionLimits<Connection> {
  // Each collection is in the order in which connections entered the state.
  /** Those without a finished head. */
  const waiting = new Set<Connection>();
  const idle = new Set<Connection>();
  const busy = new Set<Connection>();
  /** With the time since when it is stalled. */
  const stalled = new Map<Connection, number>();

  function size(): number {
    return waiting.size + idle.size + busy.size + stalled.size;
  }

  /** Connections that may be open in the present states. */
  function maximumSize(): number {
    const { maximumConnections, maximumWithUnfinishedHeads } = bounds;
    if (maximumWithUnfinishedHeads === undefined) return maximumConnections;
    const withHead = size() - waiting.size;
    return Math.min(
      maximumWithUnfinishedHeads,
      DESCRIPTORS_PER_CALLER * maximumConnections - withHead,
    );
  }

  function longestStalled(now: number): Connection | undefined {
    const [first] = stalled;
    if (!first) return undefined;
    const [connection, since] = first;
    return now - since < STALLED_MILLISECONDS ? undefined : connection;
  }

  function has(connection: Connection): boolean {
    return waiting.has(connection) || idle.has(connection) ||
      busy.has(connection) || stalled.has(connection);
  }

  function remove(connection: Connection): void {
    waiting.delete(connection);
    idle.delete(connection);
    busy.delete(connection);
    stalled.delete(connection);
  }

  function close(
    connection: Connection | undefined,
    bound: ConnectionBound,
  ): ClosedConnection<Connection> | undefined {
    if (connection === undefined) return undefined;
    remove(connection);
    return { connection, bound };
  }

  /** Closes the oldest connection without a head if those with one need its place. */
  function makeRoom(): ClosedConnection<Connection> | undefined {
    return size() > maximumSize()
      ? close(_oldest(waiting), "connections")
      : undefined;
  }

  return {
    get size() {
      return size();
    },
    get unfinishedHeads() {
      return waiting.size;
    },
    add(connection, now) {
      const oldestWaiting = _oldest(waiting);
      waiting.add(connection);
      if (size() > maximumSize()) {
        return close(
          oldestWaiting ?? _oldest(idle) ?? longestStalled(now) ?? connection,
          "connections",
        );
      }
      return waiting.size > bounds.maximumUnfinishedHeads
        ? close(oldestWaiting, "unfinished_heads")
        : undefined;
    },
    recordBusy(connection) {
      if (busy.has(connection) || !has(connection)) return undefined;
      remove(connection);
      busy.add(connection);
      return makeRoom();
    },
    recordStalled(connection, now) {
      if (stalled.has(connection) || !has(connection)) return undefined;
      remove(connection);
      stalled.set(connection, now);
      return makeRoom();
    },
    recordIdle(connection) {
      if (!has(connection)) return;
      remove(connection);
      idle.add(connection);
    },
    remove,
  };
}
