import test from "ava";
import { createCallerInterface } from "./caller_interface.ts";
import type { CallerServices } from "./caller_services.ts";
import type { KeyAuthenticator } from "./key_authenticator.ts";
import { createMetrics } from "./metrics.ts";

for (
  const { isStopping, kind, detail } of [
    { isStopping: true, kind: "stopping", detail: "shutting down" },
    { isStopping: false, kind: "not_ready", detail: "no configuration" },
  ]
) {
  test(`guards against a readiness check that does not say why a router is not ready: ${kind}`, async (t) => {
    const server = createCallerInterface({
      services: {
        isReady: () => false,
        isStopping: () => isStopping,
      } as unknown as CallerServices,
      keyAuthenticator: {} as KeyAuthenticator,
      metrics: createMetrics(),
      maximumBodyBytes: 1_024,
    });
    const response = await server.inject("/readyz");
    t.is(response.statusCode, 503);
    t.regex(response.body, new RegExp(`${kind}.*${detail}`));
    await server.close();
  });
}
