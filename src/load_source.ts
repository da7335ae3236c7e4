/** The interface through which owners read the load of their backend servers. */
import type { Result } from "neverthrow";
import type { LoadReading } from "./core/load_estimate.ts";
import type { ApplicationError } from "./core/errors.ts";
import type { BackendServerId } from "./core/ids.ts";

/** A source of the load that backend servers report. */
export abstract class LoadSource {
  abstract readLoad(
    backendServer: BackendServerId,
  ): Promise<Result<LoadReading, ApplicationError>>;
}
