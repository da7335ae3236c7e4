/** The configuration in force, as the configuration task publishes it. */
import { ConfigurationView } from "./configuration_view.ts";
import type { ConfigurationSnapshot } from "./core/fleet_schema.ts";

/** A view that is updated by `publish`. */
export class PublishedConfiguration extends ConfigurationView {
  readonly #listeners: ((snapshot: ConfigurationSnapshot) => void)[] = [];
  #snapshot: ConfigurationSnapshot | undefined;

  override current(): ConfigurationSnapshot | undefined {
    return this.#snapshot;
  }

  override onChange(listener: (snapshot: ConfigurationSnapshot) => void): void {
    this.#listeners.push(listener);
  }

  publish(snapshot: ConfigurationSnapshot): void {
    this.#snapshot = snapshot;
    for (const listener of this.#listeners) listener(snapshot);
  }
}
