/**
 * The fleet file: INI text to a checked fleet and back. Every fault is listed
 * with its section, its key and what is allowed.
 */
import { stringify } from "ini";
import { err, ok, type Result } from "neverthrow";
import { type ApplicationError, createError } from "./errors.ts";
import { findReferenceFaults } from "./fleet_references.ts";
import { type Fleet, fleetSchema } from "./fleet_schema.ts";
import {
  type IniFault,
  type IniSection,
  readIniDocument,
} from "./ini_document.ts";
import { checkSection, toSectionText } from "./section_schema.ts";
import { nameText } from "./text_schema.ts";

/** Records of the fleet, by the word that opens their sections. */
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

type _Word = keyof typeof SECTION_RECORDS;
type _Record = Record<string, unknown>;

const WORDS = Object.keys(SECTION_RECORDS) as _Word[];
const ALLOWED_SECTIONS = `[fleet], ${
  WORDS.map((word) => `[${word} NAME]`).join(", ")
}`;
const _name = nameText();

/** A fleet without any named section. Records have no prototype, so no name is special. */
export function createEmptyFleet(): Fleet {
  const fleet: Record<string, unknown> = {
    fleet: fleetSchema.shape.fleet.parse({}),
  };
  for (const word of WORDS) fleet[SECTION_RECORDS[word]] = Object.create(null);
  return fleet as Fleet;
}

function _isWord(word: string): word is _Word {
  return Object.hasOwn(SECTION_RECORDS, word);
}

function _readNamedSection(
  section: IniSection,
  fleet: Fleet,
  faults: IniFault[],
): void {
  const [word = "", name = "", ...rest] = section.title.split(" ");
  if (!_isWord(word) || rest.length > 0) {
    faults.push({
      path: [section.title],
      detail: `unknown section; allowed: ${ALLOWED_SECTIONS}`,
    });
    return;
  }
  const named = _name.safeParse(name);
  if (!named.success) {
    const detail = named.error.issues[0]?.message ?? "not a name";
    faults.push({ path: [section.title], detail: `section name: ${detail}` });
  }
  const record = SECTION_RECORDS[word];
  const schema = fleetSchema.shape[record].valueType;
  const value = checkSection(section, schema, faults);
  if (value && named.success) (fleet[record] as _Record)[name] = value;
}

/** Adds sections to a fleet; what is wrong with them is added to the faults. */
export function readSections(
  sections: Iterable<IniSection>,
  fleet: Fleet,
  faults: IniFault[],
): void {
  for (const section of sections) {
    if (section.title !== "fleet") {
      _readNamedSection(section, fleet, faults);
      continue;
    }
    const value = checkSection(section, fleetSchema.shape.fleet, faults);
    if (value) fleet.fleet = value;
  }
}

/** Parses a fleet file. Never throws; all faults are returned together. */
export function safeParseFleet(
  text: string,
): Result<Fleet, ApplicationError[]> {
  const document = readIniDocument(text);
  const faults = [...document.faults];
  const fleet = createEmptyFleet();
  readSections(document.sections, fleet, faults);
  const titles = new Set(document.sections.map((section) => section.title));
  faults.push(...findReferenceFaults(fleet, titles));
  if (faults.length === 0) return ok(fleet);
  return err(
    faults.map(({ path, detail }) =>
      createError("invalid_fleet_file", detail, path)
    ),
  );
}

/** Returns the fleet's sections as text, by title. */
export function toFleetSections(
  fleet: Fleet,
): Map<string, Record<string, string>> {
  const sections = new Map([["fleet", toSectionText(fleet.fleet)]]);
  for (const word of WORDS) {
    const record: Readonly<Record<string, _Record>> =
      fleet[SECTION_RECORDS[word]];
    for (const [name, value] of Object.entries(record)) {
      sections.set(`${word} ${name}`, toSectionText(value));
    }
  }
  return sections;
}

/** Writes a fleet as INI text that `safeParseFleet` reads back unchanged. */
export function writeFleet(fleet: Fleet): string {
  return stringify(Object.fromEntries(toFleetSections(fleet)), {
    whitespace: true,
    platform: "linux",
  });
}
