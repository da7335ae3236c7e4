/**
 * Validates INI sections against object schemas. Keys are snake_case in the file
 * and camelCase in the schema. All issues of a section are reported.
 */
import type { z } from "zod";
import type { IniIssue, IniSection } from "./ini_document.ts";

/** Schema of one section. */
export type SectionSchema = z.ZodObject;

/** Converts camelCase (`dataCentre`) to snake_case (`data_centre`). */
export function toSnakeCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}

const _keyCache = new WeakMap<SectionSchema, ReadonlyMap<string, string>>();

/** Maps each key of a section in the file to its key in the schema. */
function _keysOf(schema: SectionSchema): ReadonlyMap<string, string> {
  let keys = _keyCache.get(schema);
  if (!keys) {
    keys = new Map(
      Object.keys(schema.shape).map((key) => [toSnakeCase(key), key]),
    );
    _keyCache.set(schema, keys);
  }
  return keys;
}

function _describeIssue(
  issue: z.core.$ZodIssue,
  entries: ReadonlyMap<string, string>,
  key: string,
): string {
  if (!entries.has(key)) return "missing required key";
  return `${issue.message}; found ${JSON.stringify(entries.get(key))}`;
}

/** Parses a section; on failure appends to `issues` and returns undefined. */
export function parseSection<Schema extends SectionSchema>(
  section: IniSection,
  schema: Schema,
  issues: IniIssue[],
): z.infer<Schema> | undefined {
  const keys = _keysOf(schema);
  const input: Record<string, string> = {};
  let hasUnknownKey = false;
  for (const [key, value] of section.entries) {
    const schemaKey = keys.get(key);
    if (schemaKey !== undefined) {
      input[schemaKey] = value;
      continue;
    }
    hasUnknownKey = true;
    const allowed = [...keys.keys()].join(", ");
    issues.push({
      path: [section.title, key],
      detail: `unknown key; allowed: ${allowed}`,
    });
  }
  const parsed = schema.safeParse(input);
  if (parsed.success) return hasUnknownKey ? undefined : parsed.data;
  for (const issue of parsed.error.issues) {
    const key = toSnakeCase(String(issue.path[0] ?? ""));
    issues.push({
      path: [section.title, key],
      detail: _describeIssue(issue, section.entries, key),
    });
  }
  return undefined;
}

/** Formats a number without an exponent, which the number schemas reject. */
function _formatNumber(value: number): string {
  const text = String(value);
  return text.includes("e") ? value.toFixed(20).replace(/\.?0+$/, "") : text;
}

function _formatValue(value: unknown): string {
  if (Array.isArray(value)) return value.map(_formatValue).join(", ");
  return typeof value === "number" ? _formatNumber(value) : String(value);
}

/** Formats a validated section as file keys and text; unset keys are left out. */
export function toSectionText(
  section: Readonly<Record<string, unknown>>,
): Record<string, string> {
  const text: Record<string, string> = {};
  for (const [key, value] of Object.entries(section)) {
    if (value !== undefined) text[toSnakeCase(key)] = _formatValue(value);
  }
  return text;
}
