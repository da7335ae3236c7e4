/**
 * Settings files: INI text to the settings of a router or of an operator's
 * command line. Every fault is listed with its section, key and what is allowed.
 */
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import { type ApplicationError, createError } from "./errors.ts";
import {
  type IniFault,
  type IniSection,
  readIniDocument,
} from "./ini_document.ts";
import { checkSection, type SectionSchema } from "./section_schema.ts";
import {
  type OperatorSettings,
  operatorSettingsSchema,
  type Settings,
  settingsSchema,
} from "./settings_schema.ts";

type _Sections = Readonly<Record<string, SectionSchema>>;

function _readSettings(
  text: string,
  schemas: _Sections,
): Result<Record<string, unknown>, ApplicationError[]> {
  const document = readIniDocument(text);
  const faults: IniFault[] = [...document.faults];
  const found = new Map<string, IniSection>();
  const allowed = Object.keys(schemas).map((word) => `[${word}]`).join(", ");
  for (const section of document.sections) {
    if (Object.hasOwn(schemas, section.title)) {
      found.set(section.title, section);
      continue;
    }
    faults.push({
      path: [section.title],
      detail: `unknown section; allowed: ${allowed}`,
    });
  }
  const settings: Record<string, unknown> = {};
  for (const [title, schema] of Object.entries(schemas)) {
    const section = found.get(title) ?? { title, entries: new Map() };
    settings[title] = checkSection(section, schema, faults);
  }
  if (faults.length === 0) return ok(settings);
  return err(
    faults.map(({ path, detail }) =>
      createError("invalid_settings", detail, path)
    ),
  );
}

/** Takes the object schema out of a section that has a default. */
function _withoutDefault<Schema extends SectionSchema>(
  section: z.ZodDefault<Schema>,
): Schema {
  return section.unwrap();
}

/** Parses a router's settings file. Never throws. */
export function safeParseSettings(
  text: string,
): Result<Settings, ApplicationError[]> {
  const { router, platform, security } = settingsSchema.shape;
  const schemas = { router, platform: _withoutDefault(platform), security };
  return _readSettings(text, schemas) as Result<Settings, ApplicationError[]>;
}

/** Parses an operator's settings file. Never throws. */
export function safeParseOperatorSettings(
  text: string,
): Result<OperatorSettings, ApplicationError[]> {
  return _readSettings(text, operatorSettingsSchema.shape) as Result<
    OperatorSettings,
    ApplicationError[]
  >;
}
