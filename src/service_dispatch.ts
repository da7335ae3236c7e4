/**
 * Sends calls to plain services. A call is retried on another server only if it
 * is idempotent or certainly was not run, and only within the retry budget.
 */
import { err, ok, type Result } from "neverthrow";
import type { AdmissionClient, Slot } from "./admission_client.ts";
import type { BackendClient, BackendResponse } from "./backend_client.ts";
import { findSlot } from "./slot_search.ts";
import type { ConfigurationView } from "./configuration_view.ts";
import { type ApplicationError, createError } from "./core/errors.ts";
import {
  type BackendServerId,
  brandId,
  type SocketAddress,
} from "./core/ids.ts";
import type { RetryBudget } from "./core/retry_budget.ts";
import type { Metrics } from "./metrics.ts";
import { readForwardedHeaders } from "./request_headers.ts";
import type { RoutingContext } from "./routing_context.ts";
import {
  isIdempotentCall,
  type ServiceCall,
  type ServiceResponse,
} from "./service_call.ts";
import type { TimerService } from "./timer_service.ts";

/** Every call counts as one unit of a service's concurrency limit. */
const CALL_WEIGHT = 1;

/** Options of the service dispatch. */
export interface ServiceDispatchOptions {
  readonly configuration: ConfigurationView;
  readonly routing: RoutingContext;
  readonly admission: AdmissionClient;
  readonly backends: BackendClient;
  readonly retries: RetryBudget;
  readonly timers: TimerService;
  readonly metrics: Metrics;
  /** Called when a backend server could not be reached. */
  readonly onUnreachable: (backendServer: BackendServerId) => void;
}

/** Sends calls to plain services. */
export interface ServiceDispatch {
  isIdempotent(call: ServiceCall): boolean;
  run(call: ServiceCall): Promise<Result<ServiceResponse, ApplicationError>>;
}

function _toServiceResponse(
  response: BackendResponse,
  slot: Slot,
): ServiceResponse {
  return {
    status: response.status,
    headers: readForwardedHeaders(response.headers),
    body: response.body,
    backendServer: slot.backendServer,
  };
}

/** Creates the service dispatch of one router. */
export function createServiceDispatch(
  options: ServiceDispatchOptions,
): ServiceDispatch {
  const { admission, backends, retries, routing, timers } = options;

  function now(): number {
    return timers.clock.monotonicMilliseconds();
  }

  function isIdempotent(call: ServiceCall): boolean {
    const services = options.configuration.current()?.fleet.services ?? {};
    const calls = services[call.service]?.idempotentCalls ?? [];
    return isIdempotentCall(calls, call.method, call.path);
  }

  function candidatesOf(call: ServiceCall, failed: ReadonlySet<string>) {
    const routingRequest = {
      workspace: call.workspace,
      target: { kind: "service", service: call.service } as const,
      promptTokens: 0,
      outputTokens: CALL_WEIGHT,
    };
    return routing.rank(routingRequest, [])
      .filter(({ backendServer }) => !failed.has(backendServer))
      .map(({ backendServer }) => ({ backendServer, loadTokens: CALL_WEIGHT }));
  }

  async function send(
    call: ServiceCall,
    slot: Slot,
    idempotent: boolean,
  ): Promise<Result<ServiceResponse, ApplicationError>> {
    const fleet = options.configuration.current()?.fleet;
    const server = fleet?.backendServers[slot.backendServer];
    if (!server) {
      return err(createError("no_backend_server", slot.backendServer));
    }
    const result = await backends.call({
      address: brandId<SocketAddress>(server.address),
      method: call.method,
      path: call.path,
      headers: { ...call.headers, "x-request-id": call.id },
      body: call.body,
      idempotent,
      deadline: call.deadlineMilliseconds,
    });
    return result.map((response) => _toServiceResponse(response, slot));
  }

  async function run(
    call: ServiceCall,
  ): Promise<Result<ServiceResponse, ApplicationError>> {
    const { service, workspace } = call;
    if (!routing.index()?.eligible(workspace, { kind: "service", service })) {
      return err(createError("forbidden", `service ${service}`, ["service"]));
    }
    const idempotent = isIdempotent(call);
    const failed = new Set<string>();
    retries.recordRequest(now());
    for (;;) {
      const fleet = options.configuration.current()?.fleet.fleet;
      const slot = await findSlot(admission, timers, {
        workspace,
        priority: call.priority,
        deadlineMilliseconds: Math.min(
          call.deadlineMilliseconds,
          now() + (fleet?.queueWaitMilliseconds ?? 0),
        ),
        mayQueue: true,
        candidates: () => candidatesOf(call, failed),
      });
      if (slot.isErr()) return err(slot.error);
      const result = await send(call, slot.value, idempotent);
      admission.release(slot.value);
      if (result.isOk()) return ok(result.value);
      const { kind } = result.error;
      failed.add(slot.value.backendServer);
      if (kind === "backend_unreachable") {
        options.onUnreachable(slot.value.backendServer);
      }
      if (now() >= call.deadlineMilliseconds) return err(result.error);
      if (!retries.mayRetry(kind, idempotent, now())) return err(result.error);
      options.metrics.retries.inc({ reason: kind });
      await timers.sleep(
        retries.delayMilliseconds(failed.size),
        "service retry",
      );
    }
  }

  return { isIdempotent, run };
}
