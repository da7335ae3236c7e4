/** Lets calls of stand-ins wait for the next change of what they serve. */

/** Calls that wait. */
export class Waiters {
  readonly #waiting = new Set<() => void>();

  /** Resolves at the next change or after the time. */
  wait(milliseconds: number): Promise<void> {
    const waiting = this.#waiting;
    return new Promise((resolve) => {
      const timer = setTimeout(wake, milliseconds);
      function wake(): void {
        clearTimeout(timer);
        waiting.delete(wake);
        resolve();
      }
      waiting.add(wake);
    });
  }

  /** Ends all waits, because something has changed. */
  wake(): void {
    for (const wake of [...this.#waiting]) wake();
  }
}
