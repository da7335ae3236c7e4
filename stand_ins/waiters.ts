/** Notifies pending calls of stand-ins when the stored data changes. */

/** A set of pending waits. */
export class Waiters {
  readonly #waiting = new Set<() => void>();

  /** Resolves at the next `wake` or after the timeout. */
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

  /** Resolves all pending waits. */
  wake(): void {
    for (const wake of [...this.#waiting]) wake();
  }
}
