/**
 * Reads INI text into sections without losing anything. The `ini` package
 * merges duplicates, splits section names on dots and drops `__proto__`, so
 * only its value syntax (quotes, escapes, trailing comments) is used here.
 */
import { unsafe } from "ini";

/** One section in the order of the file. */
export interface IniSection {
  /** Text between the brackets, with runs of spaces collapsed. */
  readonly title: string;
  readonly entries: ReadonlyMap<string, string>;
}

/** A fault in the text, with the section and key it belongs to. */
export interface IniFault {
  readonly path: readonly string[];
  readonly detail: string;
}

/** What a text holds: sections and faults of form. */
export interface IniDocument {
  readonly sections: readonly IniSection[];
  readonly faults: readonly IniFault[];
}

const HEADER = /^\[([^\]]*)\]$/;
const QUOTED = /^(["']).*\1$/s;

/** Decodes a value; a quoted value that holds JSON of another type stays text. */
function _decodeValue(raw: string): string {
  const text = raw.trim();
  const value: unknown = unsafe(text);
  if (typeof value === "string") return value;
  return QUOTED.test(text) ? text.slice(1, -1) : text;
}

class _DocumentReader {
  readonly sections: IniSection[] = [];
  readonly faults: IniFault[] = [];
  readonly #titles = new Set<string>();
  #title = "";
  #entries: Map<string, string> | undefined;

  readLine(line: string, number: number): void {
    if (line === "" || line.startsWith(";") || line.startsWith("#")) return;
    const header = HEADER.exec(line);
    if (header) this.#openSection(header[1] ?? "");
    else this.#readEntry(line, number);
  }

  #openSection(raw: string): void {
    this.#title = raw.trim().replace(/\s+/g, " ");
    this.#entries = new Map();
    if (this.#titles.has(this.#title)) {
      this.#fault([this.#title], "duplicate section; write it once");
      return;
    }
    this.#titles.add(this.#title);
    this.sections.push({ title: this.#title, entries: this.#entries });
  }

  #readEntry(line: string, number: number): void {
    const separator = line.indexOf("=");
    const key = line.slice(0, separator < 0 ? undefined : separator).trim();
    if (separator < 0 || key === "") {
      const path = this.#entries ? [this.#title] : [];
      this.#fault(path, `line ${number}: expected [section] or key = value`);
      return;
    }
    if (!this.#entries) {
      this.#fault([key], `line ${number}: a key must follow a [section]`);
      return;
    }
    if (this.#entries.has(key)) {
      this.#fault([this.#title, key], "duplicate key; write it once");
      return;
    }
    this.#entries.set(key, _decodeValue(line.slice(separator + 1)));
  }

  #fault(path: readonly string[], detail: string): void {
    this.faults.push({ path, detail });
  }
}

/** Reads INI text. Never throws; what cannot be read is listed as a fault. */
export function readIniDocument(text: string): IniDocument {
  const reader = new _DocumentReader();
  text.replace(/^\uFEFF/, "").split(/\r\n|\r|\n/).forEach((line, index) =>
    reader.readLine(line.trim(), index + 1)
  );
  return { sections: reader.sections, faults: reader.faults };
}
