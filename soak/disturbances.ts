/** Records disturbances, which suspend the guarantees that have a time bound. */

/** Router host, or `store`, `backends` or `fleet`, that a disturbance affects. */
export type DisturbanceScope = string;

/** Returns the scope of a router whose process is suspended. */
export function suspensionScope(host: string): DisturbanceScope {
  return `suspended ${host}`;
}

interface _Disturbance {
  readonly scope: DisturbanceScope;
  /** True for stops, reloads, server replacements and configuration changes. */
  readonly isPlanned: boolean;
  readonly from: number;
  until: number;
}

/** The disturbances of one soak run; times are milliseconds since its start. */
export class Disturbances {
  readonly #disturbances: _Disturbance[] = [];

  /** Records the start of a disturbance; the returned function records its end. */
  begin(scope: DisturbanceScope, isPlanned: boolean, now: number) {
    const disturbance = { scope, isPlanned, from: now, until: Infinity };
    this.#disturbances.push(disturbance);
    return (end: number) => {
      disturbance.until = end;
    };
  }

  /** Whether no unplanned disturbance affected the scopes in a time range. */
  isStable(scopes: readonly DisturbanceScope[], from: number, until: number) {
    return !this.#hasOverlap(scopes, from, until, false);
  }

  /** Earliest time, not before `from`, at which the scopes were stable for a while. */
  stableFrom(
    scopes: readonly DisturbanceScope[],
    from: number,
    milliseconds: number,
  ): number {
    const unplanned = this.#disturbances.filter((disturbance) =>
      !disturbance.isPlanned && scopes.includes(disturbance.scope)
    ).sort((left, right) => left.from - right.from);
    let stable = from;
    for (const { from: begins, until } of unplanned) {
      const overlaps = begins < stable && until > stable - milliseconds;
      if (overlaps) stable = until + milliseconds;
    }
    return stable;
  }

  /** Whether no disturbance at all affected the scopes in a time range. */
  isUndisturbed(
    scopes: readonly DisturbanceScope[],
    from: number,
    until: number,
  ): boolean {
    return !this.#hasOverlap(scopes, from, until, true);
  }

  #hasOverlap(
    scopes: readonly DisturbanceScope[],
    from: number,
    until: number,
    includePlanned: boolean,
  ): boolean {
    return this.#disturbances.some((disturbance) =>
      scopes.includes(disturbance.scope) &&
      (includePlanned || !disturbance.isPlanned) &&
      disturbance.from < until && disturbance.until > from
    );
  }
}
