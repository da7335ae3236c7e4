/** What was disturbed when, so that promises with a time bound are judged fairly. */

/** What a disturbance concerns: one router by host, or `store`, `backends` or `fleet`. */
export type DisturbanceScope = string;

interface _Disturbance {
  readonly scope: DisturbanceScope;
  /** Stops, reloads and changes of the configuration are planned. */
  readonly isPlanned: boolean;
  readonly from: number;
  until: number;
}

/** The disturbances of one run; times are in milliseconds of the run. */
export class Disturbances {
  readonly #all: _Disturbance[] = [];

  /** Records the begin of a disturbance; call the result at its end. */
  begin(scope: DisturbanceScope, isPlanned: boolean, now: number) {
    const disturbance = { scope, isPlanned, from: now, until: Infinity };
    this.#all.push(disturbance);
    return (end: number) => {
      disturbance.until = end;
    };
  }

  /** Whether none of the scopes was disturbed by anything unplanned. */
  isCalm(scopes: readonly DisturbanceScope[], from: number, until: number) {
    return !this.#find(scopes, from, until, false);
  }

  /** Whether none of the scopes was disturbed, planned work included. */
  isUndisturbed(
    scopes: readonly DisturbanceScope[],
    from: number,
    until: number,
  ): boolean {
    return !this.#find(scopes, from, until, true);
  }

  #find(
    scopes: readonly DisturbanceScope[],
    from: number,
    until: number,
    withPlanned: boolean,
  ): boolean {
    return this.#all.some((disturbance) =>
      scopes.includes(disturbance.scope) &&
      (withPlanned || !disturbance.isPlanned) &&
      disturbance.from < until && disturbance.until > from
    );
  }
}
