/**
 * The state of backend servers as routers report it: whether they are up and
 * which versions they serve. Reports are timestamped and the latest of a server
 * wins, so two routers may observe the same server at once.
 */
import type { BackendServerId } from "./ids.ts";
import { hash64 } from "./hash64.ts";
import { BackendStateView } from "./routing.ts";

/** One observation of a backend server. */
export interface BackendStateReport {
  readonly backendServer: BackendServerId;
  /** Wall time of the observation, in milliseconds. */
  readonly observedAt: number;
  readonly isUp: boolean;
  /** Versions that the server serves, in the form `model@version`, sorted. */
  readonly versions: readonly string[];
}

/** Holds the latest report of each backend server. */
export class BackendStates extends BackendStateView {
  readonly #reports = new Map<BackendServerId, BackendStateReport>();
  readonly #leaving = new Set<BackendServerId>();

  /** Stores the report if it is newer. Returns true if the state changed. */
  merge(report: BackendStateReport): boolean {
    const previous = this.#reports.get(report.backendServer);
    if (previous && previous.observedAt >= report.observedAt) return false;
    this.#reports.set(report.backendServer, report);
    return previous === undefined || previous.isUp !== report.isUp ||
      previous.versions.join() !== report.versions.join();
  }

  /**
   * True for a server without a report, because it can still reject the request
   * itself. Assuming that it is down would make every router refuse requests
   * after its start.
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

  /** Sets whether the host of a server is listed as leaving. */
  setLeaving(backendServer: BackendServerId, isLeaving: boolean): void {
    if (isLeaving) this.#leaving.add(backendServer);
    else this.#leaving.delete(backendServer);
  }

  /** Removes the reports of servers that are no longer configured. */
  retain(isKept: (backendServer: BackendServerId) => boolean): void {
    for (const id of this.#reports.keys()) {
      if (!isKept(id)) this.#reports.delete(id);
    }
  }

  reports(): BackendStateReport[] {
    return [...this.#reports.values()];
  }

  /** Returns a digest of all reports that ignores their timestamps. */
  digest(): string {
    const lines = this.reports()
      .map(({ backendServer, isUp, versions }) =>
        `${backendServer} ${isUp} ${versions.join()}`
      );
    return hash64(lines.sort().join("\n"));
  }
}
