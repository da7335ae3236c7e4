/**
 * Small integers for repeated strings. Uses are counted, so an index is reused
 * once nothing refers to it and the table does not grow with churn.
 */

/** Maps strings to small integers and back. */
export interface Interner {
  /** Returns the index of a text and counts one more use. */
  acquire(text: string): number;
  /** Counts one use less. */
  release(index: number): void;
  /** Returns the index of a text, or -1 if it is not in use. */
  indexOf(text: string): number;
  textOf(index: number): string;
  /** Returns how many uses an index has. */
  usesOf(index: number): number;
  /** The number of texts in use. */
  size(): number;
}

/** Creates an empty interner. */
export function createInterner(): Interner {
  const indexes = new Map<string, number>();
  const texts: string[] = [];
  const uses: number[] = [];
  const free: number[] = [];
  return {
    acquire(text) {
      let index = indexes.get(text);
      if (index === undefined) {
        index = free.pop() ?? texts.length;
        indexes.set(text, index);
        texts[index] = text;
        uses[index] = 0;
      }
      uses[index] = (uses[index] ?? 0) + 1;
      return index;
    },
    release(index) {
      const left = (uses[index] ?? 0) - 1;
      uses[index] = left;
      if (left > 0) return;
      indexes.delete(texts[index] ?? "");
      texts[index] = "";
      free.push(index);
    },
    indexOf(text) {
      return indexes.get(text) ?? -1;
    },
    textOf(index) {
      return texts[index] ?? "";
    },
    usesOf(index) {
      return uses[index] ?? 0;
    },
    size() {
      return indexes.size;
    },
  };
}
