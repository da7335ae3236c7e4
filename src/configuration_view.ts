/** What the rest of a router may know about the configuration in force. */
import type { ConfigurationSnapshot } from "./core/fleet_schema.ts";

/** The configuration in force on this router. */
export abstract class ConfigurationView {
  /** Returns undefined until the first configuration was adopted. */
  abstract current(): ConfigurationSnapshot | undefined;
  abstract onChange(listener: (snapshot: ConfigurationSnapshot) => void): void;
}
