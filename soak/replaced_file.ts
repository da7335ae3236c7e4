/** Replaces files that other processes may read at any time. */
import { randomUUID } from "node:crypto";
import { rename, writeFile } from "node:fs/promises";

/** Replaces a file at once: a reader sees its old text or its new one. */
export async function replaceFile(path: string, text: string): Promise<void> {
  const written = `${path}.${randomUUID()}`;
  await writeFile(written, text);
  await rename(written, path);
}
