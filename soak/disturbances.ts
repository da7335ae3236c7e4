/** Records disturbances, which suspend the guarantees that have a time bound. */

/** What a disturbance affects: a router by its host, `store`, `backends` or `fleet`. */
export type DisturbanceScope = string;

interface _Disturbance {
  readonly scope: DisturbanceScope;
  /** True for stops, reloads, server replacements and configuration changes. */
  readonly isPlanned: boolean;
  readonly from: number;
  until: number;
}

/** The disturbances of one soak run; times are milliseconds since its start. */
export class Disturbances {
  readonly #all: _Disturbance[] = [];

  /** Records the start of a disturbance; the returned function records its end. */
  begin(scope: DisturbanceScope, isPlanned: boolean, now: number) {
    const disturbance = { scope, isPlanned, from: now, until: Infinity };
    this.#all.push(disturbance);
    return (end: number) => {
      disturbance.until = end;
    };
  }

  /** Whether no unplanned disturbance affected any of the scopes. */
  isStable(scopes: readonly DisturbanceScope[], from: number, until: number) {
    return !this.#hasOverlap(scopes, from, until, false);
  }

  /** Whether no disturbance, planned or not, affected any of the scopes. */
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
    return this.#all.some((disturbance) =>
      scopes.includes(disturbance.scope) &&
      (includePlanned || !disturbance.isPlanned) &&
      disturbance.from < until && disturbance.until > from
    );
  }
}
