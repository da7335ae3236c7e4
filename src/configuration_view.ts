/** The interface to the configuration that is in force on this router. */
import type { ConfigurationSnapshot } from "./core/fleet_schema.ts";

/** The configuration in force. */
export abstract class ConfigurationView {
  /** Returns the configuration in force; undefined before the first one. */
  abstract current(): ConfigurationSnapshot | undefined;
  /** Calls the listener with every newly adopted configuration. */
  abstract onChange(listener: (snapshot: ConfigurationSnapshot) => void): void;
}
