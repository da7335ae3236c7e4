/** Formats the human-readable output of the command line. */
import type { ApplicationError } from "./core/errors.ts";
import type { RouterReport, SectionDifference } from "./operator_client.ts";

/** Formats an error with its file, section and key. */
export function toErrorLine(
  { kind, path, detail }: ApplicationError,
  file?: string,
): string {
  const [section, ...keys] = path;
  const isFileError = kind === "invalid_fleet_file" ||
    kind === "invalid_settings";
  const location = isFileError && section !== undefined
    ? [`[${section}]`, ...keys]
    : path;
  return [
    ...file === undefined ? [] : [`${file}:`],
    ...location,
    `${detail} (${kind})`,
  ].join(" ");
}

/** Formats a section that differs, with its keys. */
export function toDifferenceText(
  { change, keys, section }: SectionDifference,
): string {
  const sign = { added: "+", removed: "-", changed: "~" }[change];
  const lines = keys.map(([key, before, after]) =>
    change === "changed"
      ? `    ${key}: ${before ?? "(unset)"} -> ${after ?? "(unset)"}`
      : `    ${key} = ${before ?? after ?? ""}`
  );
  return [`${sign} [${section}]`, ...lines].join("\n");
}

/** Formats one router as a line of a status report. */
export function toStatusText(
  { address, dataCentre, host, status }: RouterReport,
): string {
  if (!status) return `${host}  ${dataCentre}  ${address}  does not respond`;
  const conditions = [...status.stale ? ["stale"] : [], ...status.alarms].join(
    ", ",
  );
  return `${host}  ${dataCentre}  ${address}  generation ${status.generation}  ${
    conditions || "ok"
  }`;
}
