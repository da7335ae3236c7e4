/** What an in-memory store holds, shared by all its clients in a test. */
import type { EvacuationEvent } from "../src/core/evacuations.ts";
import type { GatewayConfiguration } from "../src/core/gateway_configuration.ts";
import type { BackendServerId, DataCentreId, HostId } from "../src/core/ids.ts";
import type { RegisteredServer } from "../src/core/server_registry.ts";
import type { RegistrationChange } from "../src/core/server_registrations.ts";
import type { RouterRecord } from "../src/fleet_store.ts";
import {
  eraOf,
  revisionInEra,
  toStoreRevision,
} from "../src/core/store_revision.ts";
import { Waiters } from "./waiters.ts";

interface _Change extends RegistrationChange {
  readonly revision: number;
}

interface _EvacuationEvent extends EvacuationEvent {
  readonly revision: number;
}

/** What a store held at a moment. */
export interface MemoryFleetCopy {
  readonly revision: number;
  readonly configuration: GatewayConfiguration | undefined;
  readonly servers: ReadonlyMap<BackendServerId, RegisteredServer>;
  readonly routers: ReadonlyMap<HostId, RouterRecord>;
  readonly evacuated: ReadonlySet<DataCentreId>;
}

function _replaceAll<Key, Value>(
  target: Map<Key, Value>,
  source: ReadonlyMap<Key, Value>,
): void {
  target.clear();
  for (const [key, value] of source) target.set(key, value);
}

/** The stored data, shared by all clients. */
export class MemoryFleet {
  /** Orders by the store's era first. */
  revision = 1;
  configuration: GatewayConfiguration | undefined;
  configurationRevision = 0;
  /** Revisions of all versions; a watch reads each of them. */
  readonly configurationRevisions: number[] = [];
  readonly servers = new Map<BackendServerId, RegisteredServer>();
  readonly routers = new Map<HostId, RouterRecord>();
  readonly changes: _Change[] = [];
  evacuated: ReadonlySet<DataCentreId> = new Set();
  readonly evacuationEvents: _EvacuationEvent[] = [];
  /** Watches cannot read changes up to this revision. */
  compactedRevision = 0;
  readonly #waiters = new Waiters();

  setConfiguration(configuration: GatewayConfiguration): void {
    this.configuration = configuration;
    this.configurationRevision = ++this.revision;
    this.configurationRevisions.push(this.revision);
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

  /** Writes or removes the entry of a data centre, as an operator does. */
  setEvacuated(dataCentre: DataCentreId, isEvacuated: boolean): void {
    const others = [...this.evacuated].filter((id) => id !== dataCentre);
    this.evacuated = new Set(isEvacuated ? [...others, dataCentre] : others);
    this.evacuationEvents.push({
      dataCentre,
      isEvacuated,
      revision: ++this.revision,
    });
    this.#waiters.wake();
  }

  /** Discards all events, so that clients must list again before they watch. */
  discardHistory(): void {
    this.compactedRevision = ++this.revision;
    this.#waiters.wake();
  }

  /** Copies what is stored, for a later `restore`. */
  takeCopy(): MemoryFleetCopy {
    return {
      revision: this.revision,
      configuration: this.configuration,
      servers: new Map(this.servers),
      routers: new Map(this.routers),
      evacuated: this.evacuated,
    };
  }

  /** Returns to a copy: what was stored since is lost, and revisions go back. */
  restore(copy: MemoryFleetCopy): void {
    this.revision = toStoreRevision({
      era: eraOf(this.revision) + 1,
      revision: revisionInEra(copy.revision),
    });
    this.configuration = copy.configuration;
    this.configurationRevision = this.revision;
    this.configurationRevisions.length = 0;
    this.changes.length = 0;
    this.evacuated = copy.evacuated;
    this.evacuationEvents.length = 0;
    this.compactedRevision = 0;
    _replaceAll(this.servers, copy.servers);
    _replaceAll(this.routers, copy.routers);
    this.#waiters.wake();
  }

  /** Resolves at the next change or after the timeout. */
  wait(milliseconds: number): Promise<void> {
    return this.#waiters.wait(milliseconds);
  }

  /** Ends all waits, for example after a timeout in simulated time. */
  wake(): void {
    this.#waiters.wake();
  }
}
