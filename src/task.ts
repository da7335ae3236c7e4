/**
 * The base of every long-lived part of a router. A task owns its sockets and
 * its state; others reach it only through messages and its public methods.
 */

/** A part of a router with a life cycle and a state dump. */
export abstract class Task {
  /** The name of the task in dumps, metrics and log lines. */
  abstract readonly name: string;
  /** Subscribes to messages and timers. */
  abstract start(): Promise<void>;
  /** Releases sockets and subscriptions. */
  abstract stop(): Promise<void>;
  /** Returns plain data for the state dump. Secrets are left out. */
  abstract describe(): unknown;
}
