/**
 * An in-memory fleet store for gateway tests. A test sets the configuration and
 * servers, and can make the store fail for individual clients.
 */
import { err, ok, type Result } from "neverthrow";
import { type ApplicationError, createError } from "../src/core/errors.ts";
import type { HostId } from "../src/core/ids.ts";
import type { RegistrationList } from "../src/core/server_registrations.ts";
import {
  type EvacuationEvents,
  type EvacuationList,
  FleetStore,
  type RegistrationChanges,
  type RouterRecord,
  type StoredConfiguration,
  type StoreOperation,
  type StoreResult,
} from "../src/fleet_store.ts";

import { decideEra, eraOf } from "../src/core/store_revision.ts";
import type { TimerService } from "../src/timer_service.ts";
import type { MemoryFleet } from "./memory_fleet.ts";

export { MemoryFleet, type MemoryFleetCopy } from "./memory_fleet.ts";

/** How much later than its wait a silenced watch is given up. */
const SILENCE_GRACE_MILLISECONDS = 1_000;
const SILENT = createError("platform_silent", "the store did not respond");

/** A client of an in-memory fleet. */
export class MemoryFleetStore extends FleetStore {
  readonly #fleet: MemoryFleet;
  readonly #timers: TimerService | undefined;
  #failure: ApplicationError | undefined;
  #blocksWatches = false;
  /** Counts the replacements of this client's connections. */
  #connections = 0;
  /** Connections up to this count are silent. */
  #silentConnections = -1;
  /** Time until lists respond, in milliseconds; needs a timer service. */
  listDelayMilliseconds = 0;
  /** Number of configurations that this client has read. */
  configurationCopies = 0;
  /** Number of pending server watches. */
  waitingServerWatches = 0;
  /** Number of pending configuration watches. */
  waitingConfigurationWatches = 0;
  /** Number of pending watches of evacuations. */
  waitingEvacuationWatches = 0;
  /** Number of calls for evacuations. */
  evacuationCalls = 0;

  /** With a timer service, watches time out in its time. */
  constructor(fleet: MemoryFleet, timers?: TimerService) {
    super();
    this.#fleet = fleet;
    this.#timers = timers;
  }

  /** Makes all calls of this client fail or succeed again. */
  setFailing(isFailing: boolean): void {
    this.#failure = isFailing
      ? createError("platform_unavailable", "the store is unavailable")
      : undefined;
  }

  /** Makes watches of this client ignore changes until they time out. */
  setWatchesBlocked(isBlocked: boolean): void {
    this.#blocksWatches = isBlocked;
  }

  /** Makes the open connections silent; new ones work. */
  silence(): void {
    this.#silentConnections = this.#connections;
  }

  /** Makes all connections silent, new ones too, or lets new ones work again. */
  setSilent(isSilent: boolean): void {
    this.#silentConnections = isSilent
      ? Number.POSITIVE_INFINITY
      : this.#connections - 1;
  }

  override async readConfiguration(): StoreResult<StoredConfiguration> {
    await this.#delayList();
    return this.#respond("list", () => ({
      revision: this.#fleet.revision,
      configuration: this.#countCopies(1, this.#fleet.configuration),
      supersededVersions: 0,
    }));
  }

  override async watchConfiguration(
    afterRevision: number,
    waitMilliseconds: number,
  ): StoreResult<StoredConfiguration> {
    if (this.#isRestoredSince(afterRevision)) return this.#loseHistory();
    this.waitingConfigurationWatches++;
    const hasResponse = await this.#waitUntil(
      () => this.#fleet.configurationRevision > afterRevision,
      waitMilliseconds,
    );
    this.waitingConfigurationWatches--;
    if (!hasResponse) return this.#failSilently();
    if (this.#isRestoredSince(afterRevision)) return this.#loseHistory();
    const { length: versions } = this.#fleet.configurationRevisions
      .filter((revision) => revision > afterRevision);
    return this.#respond("watch", () => ({
      revision: this.#fleet.revision,
      configuration: versions > 0
        ? this.#countCopies(versions, this.#fleet.configuration)
        : undefined,
      supersededVersions: Math.max(0, versions - 1),
    }));
  }

  override async listServers(): StoreResult<RegistrationList> {
    await this.#delayList();
    return this.#respond("list", () => ({
      revision: this.#fleet.revision,
      servers: [...this.#fleet.servers.values()],
    }));
  }

  override async watchServers(
    afterRevision: number,
    waitMilliseconds: number,
  ): StoreResult<RegistrationChanges> {
    const newerChanges = () =>
      this.#fleet.changes.filter(({ revision }) => revision > afterRevision);
    const isCompacted = afterRevision < this.#fleet.compactedRevision;
    if (isCompacted || this.#isRestoredSince(afterRevision)) {
      return this.#loseHistory();
    }
    this.waitingServerWatches++;
    const hasResponse = await this.#waitUntil(
      () => newerChanges().length > 0,
      waitMilliseconds,
    );
    this.waitingServerWatches--;
    if (!hasResponse) return this.#failSilently();
    if (this.#isRestoredSince(afterRevision)) return this.#loseHistory();
    return this.#respond("watch", () => ({
      revision: this.#fleet.revision,
      changes: newerChanges(),
    }));
  }

  override async listEvacuations(): StoreResult<EvacuationList> {
    this.evacuationCalls++;
    await this.#delayList();
    return this.#respond("list", () => ({
      revision: this.#fleet.revision,
      dataCentres: [...this.#fleet.evacuated],
    }));
  }

  override async watchEvacuations(
    afterRevision: number,
    waitMilliseconds: number,
  ): StoreResult<EvacuationEvents> {
    this.evacuationCalls++;
    const newerEvents = () =>
      this.#fleet.evacuationEvents.filter(({ revision }) =>
        revision > afterRevision
      );
    const isLost = () =>
      afterRevision < this.#fleet.compactedRevision ||
      this.#isRestoredSince(afterRevision);
    if (isLost()) return this.#loseHistory();
    this.waitingEvacuationWatches++;
    const hasResponse = await this.#waitUntil(
      () => newerEvents().length > 0 || isLost(),
      waitMilliseconds,
    );
    this.waitingEvacuationWatches--;
    if (!hasResponse) return this.#failSilently();
    if (isLost()) return this.#loseHistory();
    return this.#respond("watch", () => ({
      revision: this.#fleet.revision,
      events: newerEvents(),
    }));
  }

  override async registerRouter(record: RouterRecord): StoreResult<void> {
    return this.#respond("create", () => {
      this.#fleet.routers.set(record.host, record);
    });
  }

  override async removeRouter(host: HostId): StoreResult<void> {
    return this.#respond("remove", () => {
      this.#fleet.routers.delete(host);
    });
  }

  override async listRouters(): StoreResult<readonly RouterRecord[]> {
    return this.#respond("list", () => [...this.#fleet.routers.values()]);
  }

  override async close(): Promise<void> {}

  #respond<T>(
    operation: StoreOperation,
    read: () => T,
  ): Result<T, ApplicationError> {
    this.onCall(operation, this.#failure?.kind ?? "ok");
    return this.#failure ? err(this.#failure) : ok(read());
  }

  #isRestoredSince(afterRevision: number): boolean {
    return decideEra(afterRevision, eraOf(this.#fleet.revision)) === "restored";
  }

  #loseHistory<T>(): Result<T, ApplicationError> {
    if (this.#failure) return err(this.#failure);
    this.onCall("watch", "platform_history_lost");
    return err(createError("platform_history_lost", "forgotten"));
  }

  #countCopies<T>(copies: number, configuration: T): T {
    if (configuration !== undefined) this.configurationCopies += copies;
    return configuration;
  }

  async #delayList(): Promise<void> {
    if (this.listDelayMilliseconds === 0) return;
    await this.#timers?.sleep(this.listDelayMilliseconds, "list delay");
  }

  #now(): number {
    return this.#timers?.clock.monotonicMilliseconds() ?? Date.now();
  }

  /** Gives up all connections, as a client does when one is silent. */
  #failSilently<T>(): Result<T, ApplicationError> {
    this.onCall("watch", SILENT.kind);
    return err(SILENT);
  }

  /** Waits on a connection; false if it has fallen silent. */
  async #waitUntil(
    isReady: () => boolean,
    waitMilliseconds: number,
  ): Promise<boolean> {
    const connections = this.#connections;
    const end = this.#now() + waitMilliseconds;
    const timeouts = [0, SILENCE_GRACE_MILLISECONDS].map((grace) =>
      this.#timers?.after(
        waitMilliseconds + grace,
        "watch timeout",
        () => this.#fleet.wake(),
      )
    );
    while (!this.#failure && connections === this.#connections) {
      const isSilent = connections <= this.#silentConnections;
      if (!isSilent && !this.#blocksWatches && isReady()) break;
      const grace = isSilent ? SILENCE_GRACE_MILLISECONDS : 0;
      const remaining = end + grace - this.#now();
      if (remaining <= 0) break;
      await this.#fleet.wait(remaining);
    }
    for (const timeout of timeouts) timeout?.cancel();
    if (this.#failure || connections > this.#silentConnections) return true;
    if (connections === this.#connections) this.#replaceConnections();
    return false;
  }

  /** Ends the other calls that wait on silent connections. */
  #replaceConnections(): void {
    this.#connections++;
    this.#fleet.wake();
  }
}
