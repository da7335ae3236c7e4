import test from "ava";
import { readFileSync } from "node:fs";
import { SECTION_RECORDS } from "./fleet_file.ts";
import { fleetSchema } from "./fleet_schema.ts";
import { type SectionSchema, toSnakeCase } from "./section_schema.ts";
import { operatorSettingsSchema, settingsSchema } from "./settings_schema.ts";

const PAGE = new URL("../../../docs/settings.md", import.meta.url);
const SETTINGS_PART = "Settings of a router";
const OPERATOR_PART = "Settings of the operator's command line";
const FLEET_PART = "The fleet file";
/** The table columns after the key: type, unit, default, allowed, meaning. */
const COLUMNS = 5;

interface DocumentedKey {
  readonly fallback: string;
  readonly allowed: string;
}

/** Reads the rows of the page: `part > [section] > key`. */
function readPage(text: string): Map<string, DocumentedKey> {
  const rows = new Map<string, DocumentedKey>();
  let part = "";
  let section = "";
  for (const line of text.split("\n")) {
    part = /^## (.+)$/.exec(line)?.[1] ?? part;
    section = /^### `\[(.+)\]`$/.exec(line)?.[1] ?? section;
    const key = /^\| `([a-z_]+)` \|/.exec(line)?.[1];
    if (key === undefined) continue;
    const cells = line.split("|").slice(2, -1).map((cell) => cell.trim());
    if (cells.length !== COLUMNS) continue;
    rows.set(`${part} > [${section}] > ${key}`, {
      fallback: cells[2] ?? "",
      allowed: cells[3] ?? "",
    });
  }
  return rows;
}

/** Lists the sections that the schemas define, by the page's headings. */
function listSections(): Map<string, SectionSchema> {
  const { router, platform, security } = settingsSchema.shape;
  const sections = new Map<string, SectionSchema>([
    [`${SETTINGS_PART} > [router]`, router],
    [`${SETTINGS_PART} > [platform]`, platform.unwrap()],
    [`${SETTINGS_PART} > [security]`, security],
    [`${FLEET_PART} > [fleet]`, fleetSchema.shape.fleet],
  ]);
  for (const [name, section] of Object.entries(operatorSettingsSchema.shape)) {
    sections.set(`${OPERATOR_PART} > [${name}]`, section);
  }
  for (const [word, record] of Object.entries(SECTION_RECORDS)) {
    const { valueType } = fleetSchema.shape[record];
    sections.set(`${FLEET_PART} > [${word} NAME]`, valueType);
  }
  return sections;
}

/** Writes a default as the page does: empty text as "empty". */
function toDefaultText(value: unknown): string {
  const text = Array.isArray(value) ? value.join(", ") : String(value);
  return text === "" ? "empty" : `\`${text}\``;
}

/** Returns the default that the page must show for a key. */
function defaultOf(schema: SectionSchema, name: string): string {
  const field = schema.shape[name] as SectionSchema;
  const parsed = field.safeParse(undefined);
  if (!parsed.success) return "required";
  return parsed.data === undefined ? "none" : toDefaultText(parsed.data);
}

/** Returns the range or the choices that a schema names when it refuses a value. */
function allowedOf(schema: SectionSchema, name: string): string | undefined {
  const parsed = (schema.shape[name] as SectionSchema).safeParse("\u0000");
  const message = parsed.success ? "" : parsed.error.issues[0]?.message ?? "";
  const range = /from ([\d.]+) to ([\d.]+)$/.exec(message);
  return range ? `${range[1]} to ${range[2]}` : undefined;
}

test("guards against a key that the reference omits, invents or gives another default or range", (t) => {
  const page = readPage(readFileSync(PAGE, "utf8"));
  const expected = new Set<string>();
  for (const [heading, schema] of listSections()) {
    for (const name of Object.keys(schema.shape)) {
      const path = `${heading} > ${toSnakeCase(name)}`;
      expected.add(path);
      const row = page.get(path);
      t.truthy(row, `missing on the page: ${path}`);
      t.is(row?.fallback, defaultOf(schema, name), `default of ${path}`);
      const range = allowedOf(schema, name);
      if (range !== undefined) t.is(row?.allowed, range, `range of ${path}`);
    }
  }
  const invented = [...page.keys()].filter((path) => !expected.has(path));
  t.deepEqual(invented, [], "keys on the page that no schema has");
  t.true(expected.size > 0);
});
