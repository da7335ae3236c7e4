/**
 * Parses INI text into sections without losing input. The `ini` package merges
 * duplicates, splits section names on dots and drops `__proto__`, so only its
 * value decoding (quotes, escapes, trailing comments) is used here.
 */
import { unsafe } from "ini";

/** One section of an INI file. */
export interface IniSection {
  /** Text between the brackets, with runs of whitespace collapsed. */
  readonly title: string;
  readonly entries: ReadonlyMap<string, string>;
}

/** A problem in an INI file, with the section and key it belongs to. */
export interface IniIssue {
  readonly path: readonly string[];
  readonly detail: string;
}

/** Sections of an INI file in file order, and its syntax errors. */
export interface IniDocument {
  readonly sections: readonly IniSection[];
  readonly issues: readonly IniIssue[];
}

const HEADER = /^\[([^\]]*)\]$/;
const QUOTED = /^(["']).*\1$/s;

/** Decodes a value. A quoted value that `ini` parses as a non-string stays text. */
function _decodeValue(raw: string): string {
  const text = raw.trim();
  const value: unknown = unsafe(text);
  if (typeof value === "string") return value;
  return QUOTED.test(text) ? text.slice(1, -1) : text;
}

class _IniParser {
  readonly sections: IniSection[] = [];
  readonly issues: IniIssue[] = [];
  readonly #titles = new Set<string>();
  #title = "";
  #entries: Map<string, string> | undefined;

  parseLine(line: string, number: number): void {
    if (line === "" || line.startsWith(";") || line.startsWith("#")) return;
    const header = HEADER.exec(line);
    if (header) this.#openSection(header[1] ?? "");
    else this.#parseEntry(line, number);
  }

  #openSection(raw: string): void {
    this.#title = raw.trim().replace(/\s+/g, " ");
    this.#entries = new Map();
    if (this.#titles.has(this.#title)) {
      this.#addIssue([this.#title], "duplicate section; write it once");
      return;
    }
    this.#titles.add(this.#title);
    this.sections.push({ title: this.#title, entries: this.#entries });
  }

  #parseEntry(line: string, number: number): void {
    const separator = line.indexOf("=");
    const key = line.slice(0, separator < 0 ? undefined : separator).trim();
    if (separator < 0 || key === "") {
      const path = this.#entries ? [this.#title] : [];
      this.#addIssue(path, `line ${number}: expected [section] or key = value`);
      return;
    }
    if (!this.#entries) {
      this.#addIssue([key], `line ${number}: a key must follow a [section]`);
      return;
    }
    if (this.#entries.has(key)) {
      this.#addIssue([this.#title, key], "duplicate key; write it once");
      return;
    }
    this.#entries.set(key, _decodeValue(line.slice(separator + 1)));
  }

  #addIssue(path: readonly string[], detail: string): void {
    this.issues.push({ path, detail });
  }
}

/** Parses INI text. Never throws; syntax errors are returned as issues. */
export function parseIniDocument(text: string): IniDocument {
  const parser = new _IniParser();
  text.replace(/^\uFEFF/, "").split(/\r\n|\r|\n/).forEach((line, index) =>
    parser.parseLine(line.trim(), index + 1)
  );
  return { sections: parser.sections, issues: parser.issues };
}
