/** Read access to the configuration in force, for the rest of the router. */
import type { ConfigurationSnapshot } from "./core/fleet_schema.ts";

/** The configuration in force on this router. */
export abstract class ConfigurationView {
  /** Returns undefined until the first configuration is in force. */
  abstract current(): ConfigurationSnapshot | undefined;
  abstract onChange(listener: (snapshot: ConfigurationSnapshot) => void): void;
}
