/** The text that the command line prints for people. */
import type { ApplicationError } from "./core/errors.ts";
import type { RouterLine, SectionDifference } from "./operator_client.ts";

/** Writes an error with its file, section and key. */
export function toErrorLine(
  { kind, path, detail }: ApplicationError,
  file?: string,
): string {
  const [section, ...keys] = path;
  const isFile = kind === "invalid_fleet_file" || kind === "invalid_settings";
  const where = isFile && section !== undefined
    ? [`[${section}]`, ...keys]
    : path;
  return [
    ...file === undefined ? [] : [`${file}:`],
    ...where,
    `${detail} (${kind})`,
  ].join(" ");
}

/** Writes a differing section with its keys. */
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

/** Writes one router's line of a status report. */
export function toStatusText(
  { address, dataCentre, host, status }: RouterLine,
): string {
  if (!status) return `${host}  ${dataCentre}  ${address}  does not answer`;
  const notes = [...status.stale ? ["stale"] : [], ...status.alarms].join(", ");
  return `${host}  ${dataCentre}  ${address}  generation ${status.generation}  ${
    notes || "ok"
  }`;
}
