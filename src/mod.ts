/**
 * The public API of the library. It offers everything that the daemons do;
 * sockets, clock, randomness, the platform and the backend servers can be
 * replaced by implementing the abstract classes exported here.
 */
export {
  createKeyAuthenticator,
  hashKey,
  type KeyAuthenticator,
} from "./key_authenticator.ts";
export { BackendClient } from "./backend_client.ts";
export {
  createHttpBackendClient,
  type HttpBackendClientOptions,
} from "./http_backend_client.ts";
export {
  type CallFailure,
  type NotRun,
  type OutcomeUnknown,
} from "./call_failure.ts";
export {
  type Caller,
  type CallerOptions,
  type CallOptions,
  type CallResponse,
  createCaller,
} from "./caller.ts";
export {
  type ChatEvent,
  type ChatMessage,
  type ChatOptions,
} from "./caller_chat.ts";
export {
  type CallerInterfaceOptions,
  createCallerInterface,
} from "./caller_interface.ts";
export { CallerServices } from "./caller_services.ts";
export { ConfigurationView } from "./configuration_view.ts";
export {
  applyFleet,
  type ApplyOptions,
  type ApplyOutcome,
} from "./core/configuration_apply.ts";
export {
  type ApplicationError,
  createError,
  ERROR_RESPONSES,
  type ErrorKind,
  type ErrorResponse,
  errorResponseFor,
  type RunState,
  toErrorBody,
} from "./core/errors.ts";
export { safeParseFleet } from "./core/fleet_file.ts";
export {
  type GatewayConfiguration,
  gatewayConfigurationSchema,
} from "./core/gateway_configuration.ts";
export {
  type RegisteredServer,
  registeredServerSchema,
} from "./core/server_registrations.ts";
export {
  DefaultEntryFormat,
  EntryFormat,
  type EntryRequest,
  type EntryResponse,
} from "./entry_format.ts";
export {
  FleetStore,
  type RouterRecord,
  type StoreResult,
} from "./fleet_store.ts";
export { createGateway } from "./gateway.ts";
export { type LoadStatements } from "./core/load_control/load_statements.ts";
export {
  type Gateway,
  type GatewayAddresses,
  type GatewayOptions,
  type GatewayTuning,
} from "./gateway_options.ts";
export {
  createGatewayProtocol,
  DEFAULT_HEADER_NAMES,
  type GatewayHeaderNames,
  type GatewayProtocol,
} from "./gateway_protocol.ts";
export {
  type ConfigurationSnapshot,
  type Fleet,
  type Priority,
} from "./core/fleet_schema.ts";
export {
  type BackendServerId,
  type Branded,
  brandId,
  type ChatId,
  type DataCentreId,
  type HostId,
  type IncarnationId,
  type RequestId,
  type SocketAddress,
  type WorkspaceId,
} from "./core/ids.ts";
export { createSeededRandom, RandomSource } from "./core/random.ts";
export { safeParseSettings } from "./core/settings_file.ts";
export { type Settings } from "./core/settings_schema.ts";
export { createHttpPlatformClient } from "./http_platform_client.ts";
export { type Member, MembershipView } from "./membership_view.ts";
export {
  type PeerIdentity,
  type PeerMessageKind,
  PeerNetwork,
} from "./peer_network.ts";
export { PlatformClient, type StoredObject } from "./platform_client.ts";
export { createRouter, type Router, type RouterOptions } from "./router.ts";
export { runRouter } from "./router_daemon.ts";
export { Task } from "./task.ts";
export {
  createTcpPeerNetwork,
  type TcpPeerNetworkOptions,
} from "./tcp_peer_network.ts";
export {
  Clock,
  createManualTimerService,
  createSystemTimerService,
  TimerService,
} from "./timer_service.ts";
