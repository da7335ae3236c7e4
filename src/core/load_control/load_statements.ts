/**
 * The part of the servers' load statements that decides whether requests wait at a
 * router: they do only in a fleet whose servers state their pace.
 */

/** What is known of the servers' own statements of their load. */
export interface LoadStatements {
  /** Whether a server of the fleet has stated its pace. */
  hasStatedPace(): boolean;
}
