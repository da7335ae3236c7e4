import test from "ava";
import { readFileSync } from "node:fs";
import { SECTION_RECORDS } from "./fleet_file.ts";
import { fleetSchema } from "./fleet_schema.ts";
import { type SectionSchema, toSnakeCase } from "./section_schema.ts";
import { operatorSettingsSchema, settingsSchema } from "./settings_schema.ts";

const PAGE_URL = new URL("../../../docs/settings.md", import.meta.url);
const ROUTER_HEADING = "Settings of a router";
const OPERATOR_HEADING = "Settings of the operator's command line";
const FLEET_HEADING = "The fleet file";
/** Table columns after the key: type, unit, default, allowed, meaning. */
const COLUMN_COUNT = 5;

interface DocumentedKey {
  readonly defaultText: string;
  readonly allowed: string;
}

/** Reads the table rows of the page, by `heading > [section] > key`. */
function readPage(text: string): Map<string, DocumentedKey> {
  const rows = new Map<string, DocumentedKey>();
  let heading = "";
  let section = "";
  for (const line of text.split("\n")) {
    heading = /^## (.+)$/.exec(line)?.[1] ?? heading;
    section = /^### `\[(.+)\]`$/.exec(line)?.[1] ?? section;
    const key = /^\| `([a-z_]+)` \|/.exec(line)?.[1];
    if (key === undefined) continue;
    const cells = line.split("|").slice(2, -1).map((cell) => cell.trim());
    if (cells.length !== COLUMN_COUNT) continue;
    rows.set(`${heading} > [${section}] > ${key}`, {
      defaultText: cells[2] ?? "",
      allowed: cells[3] ?? "",
    });
  }
  return rows;
}

/** Returns the section schemas, by `heading > [section]` of the page. */
function listSections(): Map<string, SectionSchema> {
  const { router, platform, security } = settingsSchema.shape;
  const sections = new Map<string, SectionSchema>([
    [`${ROUTER_HEADING} > [router]`, router],
    [`${ROUTER_HEADING} > [platform]`, platform.unwrap()],
    [`${ROUTER_HEADING} > [security]`, security],
    [`${FLEET_HEADING} > [fleet]`, fleetSchema.shape.fleet],
  ]);
  for (const [name, section] of Object.entries(operatorSettingsSchema.shape)) {
    sections.set(`${OPERATOR_HEADING} > [${name}]`, section);
  }
  for (const [kind, record] of Object.entries(SECTION_RECORDS)) {
    const { valueType } = fleetSchema.shape[record];
    sections.set(`${FLEET_HEADING} > [${kind} NAME]`, valueType);
  }
  return sections;
}

/** Formats a default as on the page, where an empty string is "empty". */
function toDefaultText(value: unknown): string {
  const text = Array.isArray(value) ? value.join(", ") : String(value);
  return text === "" ? "empty" : `\`${text}\``;
}

/** Returns the default that the page must state for a key. */
function defaultOf(schema: SectionSchema, name: string): string {
  const field = schema.shape[name] as SectionSchema;
  const parsed = field.safeParse(undefined);
  if (!parsed.success) return "required";
  return parsed.data === undefined ? "none" : toDefaultText(parsed.data);
}

/** Returns the allowed range that a number schema states in its error message. */
function allowedRangeOf(
  schema: SectionSchema,
  name: string,
): string | undefined {
  const parsed = (schema.shape[name] as SectionSchema).safeParse("\u0000");
  const message = parsed.success ? "" : parsed.error.issues[0]?.message ?? "";
  const range = /from ([\d.]+) to ([\d.]+)$/.exec(message);
  return range ? `${range[1]} to ${range[2]}` : undefined;
}

test("guards against a settings reference with missing or unknown keys, or wrong defaults or ranges", (t) => {
  const page = readPage(readFileSync(PAGE_URL, "utf8"));
  const expected = new Set<string>();
  for (const [heading, schema] of listSections()) {
    for (const name of Object.keys(schema.shape)) {
      const path = `${heading} > ${toSnakeCase(name)}`;
      expected.add(path);
      const row = page.get(path);
      t.truthy(row, `undocumented key: ${path}`);
      t.is(row?.defaultText, defaultOf(schema, name), `default of ${path}`);
      const range = allowedRangeOf(schema, name);
      if (range !== undefined) t.is(row?.allowed, range, `range of ${path}`);
    }
  }
  const unknown = [...page.keys()].filter((path) => !expected.has(path));
  t.deepEqual(unknown, [], "documented keys without a schema");
  t.true(expected.size > 0);
});
