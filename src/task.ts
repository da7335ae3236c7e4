/**
 * The base class of the long-lived components of a router. A task owns its sockets
 * and its state; other tasks use only its messages and public methods.
 */

/** A component of a router with a life cycle and a state dump. */
export abstract class Task {
  /** The name of the task in dumps, metrics and log lines. */
  abstract readonly name: string;
  /** Subscribes to messages and timers. */
  abstract start(): Promise<void>;
  /** Releases sockets and subscriptions. */
  abstract stop(): Promise<void>;
  /** Returns plain data for the state dump, without secrets. */
  abstract describe(): unknown;
}
