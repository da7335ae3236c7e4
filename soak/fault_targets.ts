/** What faults affect, and the operations that they use. */
import type { StoreStandIn } from "../platform/soak_fleet.ts";
import type { ColdService } from "./cold_service.ts";
import type { DisturbanceScope } from "./disturbances.ts";
import type { Evacuations } from "./evacuations.ts";
import type { ScheduledFault } from "./fault_schedule.ts";
import type { LoopbackProxy } from "./loopback_proxy.ts";
import type { SoakBackend } from "./soak_backends.ts";
import type { GreedyRequest } from "./soak_record.ts";
import type { SoakRouter } from "./soak_routers.ts";
import type { SuspendedCallersContext } from "./suspended_callers.ts";

/** Processes that faults affect, and operations that faults use. */
export interface FaultTargets {
  readonly routers: readonly SoakRouter[];
  readonly backends: readonly SoakBackend[];
  /** Absent in runs that play no kind that needs it. */
  readonly coldService: ColdService | undefined;
  readonly evacuations: Evacuations;
  readonly store: StoreStandIn;
  readonly storeProxy: LoopbackProxy;
  /** Time since the start of the run, in milliseconds. */
  readonly now: () => number;
  /** Records a disturbance; the returned function records its end. */
  readonly begin: (scope: DisturbanceScope, isPlanned: boolean) => () => void;
  readonly register: (backend: SoakBackend) => void;
  /** Registers a server once more, under a name of another writer. */
  readonly registerAs: (name: string, backend: SoakBackend) => void;
  readonly deregister: (id: string) => void;
  /** Records that an incarnation of a server was told to drain. */
  readonly recordDrain: (id: string) => void;
  readonly changeConfiguration: () => void;
  /** Writes again what servers and operators have written to the store. */
  readonly writeAgain: () => void;
  /** Keys that callers use. */
  readonly keys: () => readonly string[];
  readonly replaceKey: () => Promise<void>;
  readonly recordGreedy: (request: GreedyRequest) => void;
  readonly suspendedCallers: SuspendedCallersContext;
}

/** Injects a fault and resolves when the fault has ended. */
export type FaultAction = (
  fault: ScheduledFault,
  targets: FaultTargets,
) => Promise<void>;

/** Picks an item by a number that may exceed the number of items. */
export function pick<Item>(items: readonly Item[], number: number): Item {
  return items[number % items.length] as Item;
}
