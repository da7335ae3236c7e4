/**
 * A fleet store in memory, for tests of gateways: the test writes configuration
 * and servers, and may make the store fail for all or for some of its clients.
 */
import { err, ok, type Result } from "neverthrow";
import { type ApplicationError, createError } from "../src/core/errors.ts";
import type { GatewayConfiguration } from "../src/core/gateway_configuration.ts";
import type { BackendServerId, HostId } from "../src/core/ids.ts";
import type {
  RegisteredServer,
  RegistrationChange,
  RegistrationList,
} from "../src/core/server_registry.ts";
import {
  FleetStore,
  type RegistrationChanges,
  type RouterRecord,
  type StoredConfiguration,
  type StoreResult,
} from "../src/fleet_store.ts";

import { Waiters } from "./waiters.ts";

interface _Change extends RegistrationChange {
  readonly revision: number;
}

/** The content that all clients of a store share. */
export class MemoryFleet {
  revision = 1;
  configuration: GatewayConfiguration | undefined;
  configurationRevision = 0;
  readonly servers = new Map<BackendServerId, RegisteredServer>();
  readonly routers = new Map<HostId, RouterRecord>();
  readonly changes: _Change[] = [];
  /** Changes up to this revision are forgotten. */
  forgottenRevision = 0;
  readonly #waiters = new Waiters();

  setConfiguration(configuration: GatewayConfiguration): void {
    this.configuration = configuration;
    this.configurationRevision = ++this.revision;
    this.#waiters.wake();
  }

  setServer(server: RegisteredServer): void {
    this.servers.set(server.id, server);
    this.changes.push({ id: server.id, server, revision: ++this.revision });
    this.#waiters.wake();
  }

  removeServer(id: BackendServerId): void {
    this.servers.delete(id);
    this.changes.push({ id, server: undefined, revision: ++this.revision });
    this.#waiters.wake();
  }

  /** Resolves at the next change or after the time. */
  wait(milliseconds: number): Promise<void> {
    return this.#waiters.wait(milliseconds);
  }
}

/** One client's view of a fleet in memory. */
export class MemoryFleetStore extends FleetStore {
  readonly #fleet: MemoryFleet;
  #failure: ApplicationError | undefined;
  #isSilent = false;
  /** Watches of servers that wait now. */
  waitingServerWatches = 0;
  /** Watches of the configuration that wait now. */
  waitingConfigurationWatches = 0;

  constructor(fleet: MemoryFleet) {
    super();
    this.#fleet = fleet;
  }

  /** Makes calls of this client fail, or work again. */
  setFailing(isFailing: boolean): void {
    this.#failure = isFailing
      ? createError("platform_unavailable", "the store is away")
      : undefined;
  }

  /** Makes watches of this client wait for their whole time. */
  setSilent(isSilent: boolean): void {
    this.#isSilent = isSilent;
  }

  override async readConfiguration(): StoreResult<StoredConfiguration> {
    return this.#answer(() => ({
      revision: this.#fleet.revision,
      configuration: this.#fleet.configuration,
    }));
  }

  override async watchConfiguration(
    afterRevision: number,
    waitMilliseconds: number,
  ): StoreResult<StoredConfiguration> {
    this.waitingConfigurationWatches++;
    await this.#waitUntil(
      () => this.#fleet.configurationRevision > afterRevision,
      waitMilliseconds,
    );
    this.waitingConfigurationWatches--;
    return this.#answer(() => ({
      revision: this.#fleet.revision,
      configuration: this.#fleet.configurationRevision > afterRevision
        ? this.#fleet.configuration
        : undefined,
    }));
  }

  override async listServers(): StoreResult<RegistrationList> {
    return this.#answer(() => ({
      revision: this.#fleet.revision,
      servers: [...this.#fleet.servers.values()],
    }));
  }

  override async watchServers(
    afterRevision: number,
    waitMilliseconds: number,
  ): StoreResult<RegistrationChanges> {
    const since = () =>
      this.#fleet.changes.filter(({ revision }) => revision > afterRevision);
    if (afterRevision < this.#fleet.forgottenRevision) {
      return err(createError("platform_history_lost", "forgotten"));
    }
    this.waitingServerWatches++;
    await this.#waitUntil(() => since().length > 0, waitMilliseconds);
    this.waitingServerWatches--;
    return this.#answer(() => ({
      revision: this.#fleet.revision,
      changes: since(),
    }));
  }

  override async registerRouter(record: RouterRecord): StoreResult<void> {
    return this.#answer(() => {
      this.#fleet.routers.set(record.host, record);
    });
  }

  override async removeRouter(host: HostId): StoreResult<void> {
    return this.#answer(() => {
      this.#fleet.routers.delete(host);
    });
  }

  override async listRouters(): StoreResult<readonly RouterRecord[]> {
    return this.#answer(() => [...this.#fleet.routers.values()]);
  }

  override async close(): Promise<void> {}

  #answer<T>(read: () => T): Result<T, ApplicationError> {
    return this.#failure ? err(this.#failure) : ok(read());
  }

  async #waitUntil(
    isDue: () => boolean,
    waitMilliseconds: number,
  ): Promise<void> {
    const end = Date.now() + waitMilliseconds;
    while (!this.#failure && (this.#isSilent || !isDue())) {
      const left = end - Date.now();
      if (left <= 0) return;
      await this.#fleet.wait(left);
    }
  }
}
