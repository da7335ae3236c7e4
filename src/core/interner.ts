/**
 * String interning: replaces repeated strings by small integers. Indexes are
 * reference-counted and reused, so the table does not grow with string churn.
 */

/** Maps strings to small integers and back. */
export interface Interner {
  /** Returns the index of a text and increments its reference count. */
  acquire(text: string): number;
  /** Decrements the reference count; the index is freed at 0. */
  release(index: number): void;
  /** Returns the index of a text, or -1 if it is not in use. */
  indexOf(text: string): number;
  /** Returns the text of an index, or an empty string if it is not in use. */
  textOf(index: number): string;
  /** Returns the reference count of an index. */
  usesOf(index: number): number;
  /** Returns the number of texts in use. */
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
