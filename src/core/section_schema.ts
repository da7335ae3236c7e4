/**
 * Checks INI sections against object schemas: snake_case keys in the file,
 * camelCase keys in the schema, and one message for every fault.
 */
import type { z } from "zod";
import type { IniFault, IniSection } from "./ini_document.ts";

/** The schema of one section. */
export type SectionSchema = z.ZodObject;

/** Turns `dataCentre` into `data_centre`. */
export function toSnakeCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}

const _keyTables = new WeakMap<SectionSchema, ReadonlyMap<string, string>>();

/** Returns the file's key names and the schema's key names of a section. */
function _keysOf(schema: SectionSchema): ReadonlyMap<string, string> {
  let table = _keyTables.get(schema);
  if (!table) {
    table = new Map(
      Object.keys(schema.shape).map((key) => [toSnakeCase(key), key]),
    );
    _keyTables.set(schema, table);
  }
  return table;
}

function _describeIssue(
  issue: z.core.$ZodIssue,
  entries: ReadonlyMap<string, string>,
  key: string,
): string {
  if (!entries.has(key)) return "missing; this key is required";
  return `${issue.message}; found ${JSON.stringify(entries.get(key))}`;
}

/** Checks one section; faults are added to the list, undefined if there are any. */
export function checkSection<Schema extends SectionSchema>(
  section: IniSection,
  schema: Schema,
  faults: IniFault[],
): z.infer<Schema> | undefined {
  const keys = _keysOf(schema);
  const input: Record<string, string> = {};
  let unknown = false;
  for (const [key, value] of section.entries) {
    const name = keys.get(key);
    if (name !== undefined) {
      input[name] = value;
      continue;
    }
    unknown = true;
    const allowed = [...keys.keys()].join(", ");
    faults.push({
      path: [section.title, key],
      detail: `unknown key; allowed: ${allowed}`,
    });
  }
  const parsed = schema.safeParse(input);
  if (parsed.success) return unknown ? undefined : parsed.data;
  for (const issue of parsed.error.issues) {
    const key = toSnakeCase(String(issue.path[0] ?? ""));
    faults.push({
      path: [section.title, key],
      detail: _describeIssue(issue, section.entries, key),
    });
  }
  return undefined;
}

/** Writes a number without an exponent, as the number schemas read it. */
function _numberText(value: number): string {
  const text = String(value);
  return text.includes("e") ? value.toFixed(20).replace(/\.?0+$/, "") : text;
}

function _valueText(value: unknown): string {
  if (Array.isArray(value)) return value.map(_valueText).join(", ");
  return typeof value === "number" ? _numberText(value) : String(value);
}

/** Writes a checked section back as file keys and text; unset keys are left out. */
export function toSectionText(
  section: Readonly<Record<string, unknown>>,
): Record<string, string> {
  const text: Record<string, string> = {};
  for (const [key, value] of Object.entries(section)) {
    if (value !== undefined) text[toSnakeCase(key)] = _valueText(value);
  }
  return text;
}
