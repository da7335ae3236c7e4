/** Formats the human-readable output of the command line. */
import type { ApplicationError } from "./core/errors.ts";
import type { SectionDifference } from "./core/fleet_differences.ts";
import type { RouterReport } from "./router_queries.ts";

/** Formats an error as one line: file, location, detail and kind. */
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

/** Formats a section that differs as lines of a diff. */
export function toDifferenceText(
  { change, keys, section }: SectionDifference,
): string {
  const sign = { added: "+", removed: "-", changed: "~" }[change];
  // Keys of added or removed sections have only one value.
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
