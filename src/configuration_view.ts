/** What every task knows about the configuration in force. */
import type { ConfigurationSnapshot } from "./core/fleet_schema.ts";

/** The configuration that this router has in force. */
export abstract class ConfigurationView {
  /** Undefined until the first configuration is in force. */
  abstract current(): ConfigurationSnapshot | undefined;
  abstract onChange(
    listener: (snapshot: ConfigurationSnapshot) => void,
  ): void;
}
