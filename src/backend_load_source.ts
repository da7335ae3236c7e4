/** Reads over HTTP the load of the engines that this router owns. */
import { err } from "neverthrow";
import type { BackendClient } from "./backend_client.ts";
import type { ConfigurationView } from "./configuration_view.ts";
import { createError } from "./core/errors.ts";
import {
  type BackendServerId,
  brandId,
  type SocketAddress,
} from "./core/ids.ts";
import { LoadSource } from "./load_source.ts";

class _BackendLoadSource extends LoadSource {
  readonly #configuration: ConfigurationView;
  readonly #backends: BackendClient;

  constructor(configuration: ConfigurationView, backends: BackendClient) {
    super();
    this.#configuration = configuration;
    this.#backends = backends;
  }

  override async readLoad(backendServer: BackendServerId) {
    const fleet = this.#configuration.current()?.fleet;
    const server = fleet?.backendServers[backendServer];
    if (!server) return err(createError("not_found", backendServer));
    return this.#backends.readLoad(brandId<SocketAddress>(server.address));
  }
}

/** Creates a load source that reads through a backend client. */
export function createBackendLoadSource(
  configuration: ConfigurationView,
  backends: BackendClient,
): LoadSource {
  return new _BackendLoadSource(configuration, backends);
}
