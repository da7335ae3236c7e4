/**
 * Parses the INI settings files of routers and of the operator's command line.
 * Every issue is reported with its section, its key and the allowed values.
 */
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import { type ApplicationError, createError } from "./errors.ts";
import {
  type IniIssue,
  type IniSection,
  parseIniDocument,
} from "./ini_document.ts";
import { parseSection, type SectionSchema } from "./section_schema.ts";
import {
  type OperatorSettings,
  operatorSettingsSchema,
  type Settings,
  settingsSchema,
} from "./settings_schema.ts";

type _SectionSchemas = Readonly<Record<string, SectionSchema>>;

function _parseSettings(
  text: string,
  schemas: _SectionSchemas,
): Result<Record<string, unknown>, ApplicationError[]> {
  const document = parseIniDocument(text);
  const issues: IniIssue[] = [...document.issues];
  const found = new Map<string, IniSection>();
  const allowed = Object.keys(schemas).map((title) => `[${title}]`).join(", ");
  for (const section of document.sections) {
    if (Object.hasOwn(schemas, section.title)) {
      found.set(section.title, section);
      continue;
    }
    issues.push({
      path: [section.title],
      detail: `unknown section; allowed: ${allowed}`,
    });
  }
  const settings: Record<string, unknown> = {};
  for (const [title, schema] of Object.entries(schemas)) {
    const section = found.get(title) ?? { title, entries: new Map() };
    settings[title] = parseSection(section, schema, issues);
  }
  if (issues.length === 0) return ok(settings);
  return err(
    issues.map(({ path, detail }) =>
      createError("invalid_settings", detail, path)
    ),
  );
}

/** Returns the object schema of a section that has a default. */
function _withoutDefault<Schema extends SectionSchema>(
  section: z.ZodDefault<Schema>,
): Schema {
  return section.unwrap();
}

/** Parses a router's settings file. Never throws; returns all issues. */
export function safeParseSettings(
  text: string,
): Result<Settings, ApplicationError[]> {
  const { router, platform, security } = settingsSchema.shape;
  const schemas = { router, platform: _withoutDefault(platform), security };
  return _parseSettings(text, schemas) as Result<Settings, ApplicationError[]>;
}

/** Parses an operator's settings file. Never throws; returns all issues. */
export function safeParseOperatorSettings(
  text: string,
): Result<OperatorSettings, ApplicationError[]> {
  return _parseSettings(text, operatorSettingsSchema.shape) as Result<
    OperatorSettings,
    ApplicationError[]
  >;
}
