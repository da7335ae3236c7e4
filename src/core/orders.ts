/** An order to an engine. */

/** What an order asks for. */
export type OrderKind = "load" | "unload" | "change_role";

/** The model version or adapter that an order concerns. */
export interface OrderTarget {
  readonly model: string;
  /** Version of the adapter if one is named, else of the model. */
  readonly version: string;
  readonly adapter?: string;
  readonly role?: "serving" | "standby";
}

/** An order as the engine receives it. */
export interface EngineOrder {
  readonly kind: OrderKind;
  readonly target: OrderTarget;
  /** Epoch of the lease under which the order was given. */
  readonly fencingNumber: number;
  /** Unix time after which the engine must not obey. */
  readonly notAfterMilliseconds: number;
}
