/**
 * Bounds of what clients may take from a process. Memory and descriptors come from the
 * settings; without them only the memory of bodies is bounded. The defaults of the others
 * exceed what a client needs that keeps to the configured sizes and times.
 */
import { derivePortBounds, type PortBounds } from "./connection_limits.ts";
import {
  deriveMemoryBounds,
  type MemoryAccountOptions,
} from "./memory_account.ts";

/** Bounds that the settings or the program may state. */
export interface ClientLimitOptions {
  /** Memory that the process may take, in bytes. */
  readonly memoryBytes?: number | undefined;
  /** File descriptors that the process may open. */
  readonly descriptors?: number | undefined;
  /** Requests of one connection that are served at once; others wait. */
  readonly concurrentRequests?: number | undefined;
  /** Waiting requests of a connection beyond which it is not read. */
  readonly waitingRequests?: number | undefined;
  /** Waiting requests of a connection beyond which it is closed. */
  readonly maximumWaitingRequests?: number | undefined;
  /** Pieces of a body that may be of any size. */
  readonly smallPieces?: number | undefined;
  /** Mean size in bytes that further pieces must have. */
  readonly minimumPieceBytes?: number | undefined;
  /** Bytes of a refused request that are read so that its response arrives. */
  readonly discardedBytes?: number | undefined;
}

const DEFAULTS = {
  concurrentRequests: 8,
  waitingRequests: 64,
  maximumWaitingRequests: 2_048,
  smallPieces: 4_096,
  minimumPieceBytes: 64,
  discardedBytes: 16 * 1024 * 1024,
};

/** All bounds of a process. */
export interface ClientLimits extends Readonly<typeof DEFAULTS> {
  readonly memory: MemoryAccountOptions;
  readonly ports: PortBounds;
}

/** Returns the bounds of a process. */
export function resolveClientLimits(
  options: ClientLimitOptions = {},
): ClientLimits {
  const memory = deriveMemoryBounds(options.memoryBytes);
  return {
    memory,
    ports: derivePortBounds(options.descriptors, memory.budgetBytes),
    concurrentRequests: options.concurrentRequests ??
      DEFAULTS.concurrentRequests,
    waitingRequests: options.waitingRequests ?? DEFAULTS.waitingRequests,
    maximumWaitingRequests: options.maximumWaitingRequests ??
      DEFAULTS.maximumWaitingRequests,
    smallPieces: options.smallPieces ?? DEFAULTS.smallPieces,
    minimumPieceBytes: options.minimumPieceBytes ??
      DEFAULTS.minimumPieceBytes,
    discardedBytes: options.discardedBytes ?? DEFAULTS.discardedBytes,
  };
}
