/** The sections in which two fleets differ. */
import { toFleetSections } from "./fleet_file.ts";
import type { Fleet } from "./fleet_schema.ts";

/** A section that differs between the fleet in force and a fleet file. */
export interface SectionDifference {
  readonly section: string;
  readonly change: "added" | "removed" | "changed";
  /** Key, value in force and value in the file. */
  readonly keys:
    readonly (readonly [string, string | undefined, string | undefined])[];
}

/** Lists the sections in which two fleets differ. */
export function diffFleets(
  before: Fleet | undefined,
  after: Fleet,
): SectionDifference[] {
  const old = before
    ? toFleetSections(before)
    : new Map<string, Record<string, string>>();
  const next = toFleetSections(after);
  const differences: SectionDifference[] = [];
  for (const section of [...new Set([...old.keys(), ...next.keys()])].sort()) {
    const [left, right] = [old.get(section), next.get(section)];
    const names = [
      ...new Set([...Object.keys(left ?? {}), ...Object.keys(right ?? {})]),
    ].sort();
    const keys = names.filter((name) => left?.[name] !== right?.[name]).map((
      name,
    ) => [name, left?.[name], right?.[name]] as const);
    if (left && right && keys.length === 0) continue;
    const change = !left ? "added" : right ? "changed" : "removed";
    differences.push({ section, change, keys });
  }
  return differences;
}
