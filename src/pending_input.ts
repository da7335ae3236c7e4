/**
 * Waits until everything that has arrived was read. An event loop that stood still,
 * because its process was paused or computed for long, runs its timers before it
 * reads. A check that a timer makes must read first: what it misses may be there.
 */

/**
 * Turns of the event loop until everything that has arrived was read. The current
 * turn still handles the events of its last poll; the next one polls again.
 */
const TURNS_UNTIL_READ = 2;

function _afterTurns(turns: number, listener: () => void): void {
  setImmediate(() => {
    if (turns <= 1) listener();
    else _afterTurns(turns - 1, listener);
  });
}

/** Calls the listener after everything that has arrived by now was read. */
export function afterPendingInput(listener: () => void): void {
  _afterTurns(TURNS_UNTIL_READ, listener);
}
