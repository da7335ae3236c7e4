/** Runs a gateway with one backend server and an in-memory store, for the bench. */
import { cac } from "cac";
import { createGateway } from "../src/gateway.ts";
import { testConfiguration, testRoute } from "../stand_ins/gateway_fleet.ts";
import {
  MemoryFleet,
  MemoryFleetStore,
} from "../stand_ins/memory_fleet_store.ts";
import { findFreeAddresses } from "../stand_ins/free_ports.ts";
import { testServer } from "../stand_ins/registered_servers.ts";

const SLOTS = 1_000;
const GRACE_MILLISECONDS = 4_000;

const { options } = cac("gateway")
  .option("--backend <address>", "Backend server")
  .parse();
const fleet = new MemoryFleet();
fleet.setConfiguration(
  testConfiguration(1, [
    testRoute("calls"),
    testRoute("events", { kind: "event_stream", timeoutMilliseconds: 60_000 }),
  ]),
);
fleet.setServer(
  testServer("server-1", { address: String(options["backend"]), slots: SLOTS }),
);
const [callers, entry, status, peers] = await findFreeAddresses(4) as [
  string,
  string,
  string,
  string,
];
const gateway = createGateway({
  host: "entry-1",
  dataCentre: "north",
  addresses: { callers, entry, status, peers },
  seeds: [peers],
  fleetKey: "a-fleet-key-for-benches",
  store: new MemoryFleetStore(fleet),
  retries: { ratio: 0.2, fleetAllowance: 100 },
  loadBound: { factor: 2, slack: 3 },
  graceMilliseconds: GRACE_MILLISECONDS,
});
await gateway.start();
process.stdout.write(`listening on ${callers}\n`);
