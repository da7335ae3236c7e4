/**
 * What routers know of backend servers: whether they are up and which versions
 * they serve. Reports carry a time, and the newest report of a server wins, so
 * two observers at once do no harm.
 */
import type { BackendServerId } from "./ids.ts";
import { hash64 } from "./rendezvous.ts";
import { BackendStateView } from "./routing.ts";

/** One report about a backend server. */
export interface BackendStateReport {
  readonly backendServer: BackendServerId;
  /** Wall time of the observation, in milliseconds. */
  readonly observedAt: number;
  readonly isUp: boolean;
  /** Versions that the server serves, such as `model@version`, sorted. */
  readonly versions: readonly string[];
}

/** The newest report of each backend server. */
export class BackendStates extends BackendStateView {
  readonly #reports = new Map<BackendServerId, BackendStateReport>();
  readonly #leaving = new Set<BackendServerId>();

  /** Stores the report if it is newer; returns true if it says something new. */
  merge(report: BackendStateReport): boolean {
    const known = this.#reports.get(report.backendServer);
    if (known && known.observedAt >= report.observedAt) return false;
    this.#reports.set(report.backendServer, report);
    return known === undefined || known.isUp !== report.isUp ||
      known.versions.join() !== report.versions.join();
  }

  /**
   * A server nobody has reported on counts as serving: it then answers for
   * itself, while the opposite would refuse work after every router start.
   */
  override isServing(
    backendServer: BackendServerId,
    versions: readonly string[],
  ): boolean {
    if (this.#leaving.has(backendServer)) return false;
    const report = this.#reports.get(backendServer);
    if (!report) return true;
    return report.isUp &&
      versions.every((version) => report.versions.includes(version));
  }

  /** Marks a server whose host is listed as leaving. */
  setLeaving(backendServer: BackendServerId, isLeaving: boolean): void {
    if (isLeaving) this.#leaving.add(backendServer);
    else this.#leaving.delete(backendServer);
  }

  /** Drops servers that are no longer configured. */
  retain(isKept: (backendServer: BackendServerId) => boolean): void {
    for (const id of this.#reports.keys()) {
      if (!isKept(id)) this.#reports.delete(id);
    }
  }

  reports(): BackendStateReport[] {
    return [...this.#reports.values()];
  }

  /** A digest of what is known, without the times of observation. */
  digest(): string {
    const lines = this.reports()
      .map(({ backendServer, isUp, versions }) =>
        `${backendServer} ${isUp} ${versions.join()}`
      );
    return hash64(lines.sort().join("\n"));
  }
}
