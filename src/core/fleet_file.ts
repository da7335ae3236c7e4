/**
 * Parses INI text into a validated fleet and writes it back. Every issue is
 * reported with its section, its key and the allowed values.
 */
import { stringify } from "ini";
import { err, ok, type Result } from "neverthrow";
import { type ApplicationError, createError } from "./errors.ts";
import { findReferenceIssues } from "./fleet_references.ts";
import { type Fleet, fleetSchema } from "./fleet_schema.ts";
import {
  type IniIssue,
  type IniSection,
  parseIniDocument,
} from "./ini_document.ts";
import { parseSection, toSectionText } from "./section_schema.ts";
import { nameText } from "./text_schema.ts";

/** Fields of `Fleet` by section kind, the first word of a section title. */
export const SECTION_RECORDS = {
  data_centre: "dataCentres",
  model: "models",
  adapter: "adapters",
  backend_server: "backendServers",
  service: "services",
  placement: "placements",
  workspace: "workspaces",
  operator: "operators",
} as const satisfies Record<string, keyof Fleet>;

type _SectionKind = keyof typeof SECTION_RECORDS;
type _Record = Record<string, unknown>;

const KINDS = Object.keys(SECTION_RECORDS) as _SectionKind[];
const ALLOWED_SECTIONS = `[fleet], ${
  KINDS.map((kind) => `[${kind} NAME]`).join(", ")
}`;
const _nameSchema = nameText();

/**
 * Creates a fleet without named sections. Its records have no prototype, so that
 * names such as `constructor` are safe.
 */
export function createEmptyFleet(): Fleet {
  const fleet: Record<string, unknown> = {
    fleet: fleetSchema.shape.fleet.parse({}),
  };
  for (const kind of KINDS) fleet[SECTION_RECORDS[kind]] = Object.create(null);
  return fleet as Fleet;
}

function _isSectionKind(kind: string): kind is _SectionKind {
  return Object.hasOwn(SECTION_RECORDS, kind);
}

function _parseNamedSection(
  section: IniSection,
  fleet: Fleet,
  issues: IniIssue[],
): void {
  const [kind = "", name = "", ...rest] = section.title.split(" ");
  if (!_isSectionKind(kind) || rest.length > 0) {
    issues.push({
      path: [section.title],
      detail: `unknown section; allowed: ${ALLOWED_SECTIONS}`,
    });
    return;
  }
  const parsedName = _nameSchema.safeParse(name);
  if (!parsedName.success) {
    const detail = parsedName.error.issues[0]?.message ?? "invalid name";
    issues.push({ path: [section.title], detail: `section name: ${detail}` });
  }
  const record = SECTION_RECORDS[kind];
  const schema = fleetSchema.shape[record].valueType;
  const value = parseSection(section, schema, issues);
  if (value && parsedName.success) (fleet[record] as _Record)[name] = value;
}

/** Parses sections into a fleet and appends any issues to `issues`. */
export function parseSections(
  sections: Iterable<IniSection>,
  fleet: Fleet,
  issues: IniIssue[],
): void {
  for (const section of sections) {
    if (section.title !== "fleet") {
      _parseNamedSection(section, fleet, issues);
      continue;
    }
    const value = parseSection(section, fleetSchema.shape.fleet, issues);
    if (value) fleet.fleet = value;
  }
}

/** Parses a fleet file. Never throws; returns all issues at once. */
export function safeParseFleet(
  text: string,
): Result<Fleet, ApplicationError[]> {
  const document = parseIniDocument(text);
  const issues = [...document.issues];
  const fleet = createEmptyFleet();
  parseSections(document.sections, fleet, issues);
  const titles = new Set(document.sections.map((section) => section.title));
  issues.push(...findReferenceIssues(fleet, titles));
  if (issues.length === 0) return ok(fleet);
  return err(
    issues.map(({ path, detail }) =>
      createError("invalid_fleet_file", detail, path)
    ),
  );
}

/** Returns the fleet's sections as text values, by section title. */
export function toFleetSections(
  fleet: Fleet,
): Map<string, Record<string, string>> {
  const sections = new Map([["fleet", toSectionText(fleet.fleet)]]);
  for (const kind of KINDS) {
    const record: Readonly<Record<string, _Record>> =
      fleet[SECTION_RECORDS[kind]];
    for (const [name, value] of Object.entries(record)) {
      sections.set(`${kind} ${name}`, toSectionText(value));
    }
  }
  return sections;
}

/** Formats a fleet as INI text that `safeParseFleet` parses to an equal fleet. */
export function writeFleet(fleet: Fleet): string {
  return stringify(Object.fromEntries(toFleetSections(fleet)), {
    whitespace: true,
    platform: "linux",
  });
}
