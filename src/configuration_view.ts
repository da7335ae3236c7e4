/** The interface through which tasks read the configuration in force. */
import type { ConfigurationSnapshot } from "./core/fleet_schema.ts";

/** Read access to the configuration in force on this router. */
export abstract class ConfigurationView {
  /** Returns undefined until the first configuration is in force. */
  abstract current(): ConfigurationSnapshot | undefined;
  /** Calls the listener when a later configuration comes into force. */
  abstract onChange(listener: (snapshot: ConfigurationSnapshot) => void): void;
}
