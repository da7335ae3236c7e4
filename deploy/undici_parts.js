/** Exports only the parts of undici in use; loading the rest slows the start. */
import request from "../node_modules/undici/lib/api/api-request.js";
import Dispatcher from "../node_modules/undici/lib/dispatcher/dispatcher.js";

export { default as buildConnector } from "../node_modules/undici/lib/core/connect.js";
export { default as errors } from "../node_modules/undici/lib/core/errors.js";
export { default as Client } from "../node_modules/undici/lib/dispatcher/client.js";
export { default as Pool } from "../node_modules/undici/lib/dispatcher/pool.js";

Object.assign(Dispatcher.prototype, { request });
