/** The interface through which owners read the load of their backend servers. */
import type { Result } from "neverthrow";
import type { LoadReading } from "./core/admission.ts";
import type { ApplicationError } from "./core/errors.ts";
import type { BackendServerId } from "./core/ids.ts";

/** Reads the load that a backend server reports. */
export abstract class LoadSource {
  abstract readLoad(
    backendServer: BackendServerId,
  ): Promise<Result<LoadReading, ApplicationError>>;
}
