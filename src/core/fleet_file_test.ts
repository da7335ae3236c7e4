import test from "ava";
import fc from "fast-check";
import { safeParseFleet, writeFleet } from "./fleet_file.ts";
import {
  safeParseOperatorSettings,
  safeParseSettings,
} from "./settings_file.ts";

const HASH = "a".repeat(64);
const VALID = `
[fleet]
name = kamikawa
retry_budget_ratio = 0.0000001
[data_centre sapporo]
region = hokkaido
[model guide]
version = 3
[adapter visitors]
model = guide
version = 1
[service rack-ledger]
idempotent_calls = GET /slots/*, GET /racks
[backend_server engine-1]
kind = engine
address = 127.0.0.1:9001
data_centre = sapporo
[backend_server ledger-1]
kind = service
service = rack-ledger
address = 127.0.0.1:9101
data_centre = sapporo
[placement guide]
model = guide
adapters = visitors
backend_servers = engine-1
replicas = 1
[workspace temple]
key_hash = ${HASH}
models = guide
services = rack-ledger
[workspace constructor]
key_hash = ${"c".repeat(64)}
[operator duty]
key_hash = ${"b".repeat(64)}
`;

function issuesOf(text: string): string[] {
  return safeParseFleet(text).match(
    () => [],
    (errors) =>
      errors.map((error) => `${error.path.join("/")}: ${error.detail}`),
  );
}

test("guards against a fleet that changes when it is formatted and parsed again", (t) => {
  const fleet = safeParseFleet(VALID)._unsafeUnwrap();
  t.deepEqual(safeParseFleet(writeFleet(fleet))._unsafeUnwrap(), fleet);
  t.deepEqual(fleet.services["rack-ledger"]?.idempotentCalls, [
    "GET /slots/*",
    "GET /racks",
  ]);
  t.is(fleet.models["constructor"], undefined);
});

const INVALID_FILES: readonly (readonly [string, string, RegExp])[] = [
  [
    "unknown key",
    VALID.replace("region", "regoin"),
    /data_centre sapporo\/regoin: unknown key; allowed: region/,
  ],
  [
    "missing required key",
    VALID.replace("region", "regoin"),
    /data_centre sapporo\/region: missing/,
  ],
  [
    "unknown section",
    `${VALID}\n[modle x]\n`,
    /modle x: unknown section; allowed: \[fleet\]/,
  ],
  [
    "dot in a section name",
    `${VALID}\n[model a.b]\nversion = 1\n`,
    /model a\.b: section name: expected/,
  ],
  [
    "section named __proto__",
    `${VALID}\n[__proto__]\nx = 1\n`,
    /__proto__: unknown section/,
  ],
  [
    "key named __proto__",
    `${VALID}\n__proto__ = 1\n`,
    /operator duty\/__proto__: unknown key/,
  ],
  ["duplicate section", `${VALID}\n[fleet]\n`, /fleet: duplicate section/],
  [
    "duplicate key",
    VALID.replace("version = 3", "version = 3\nversion = 4"),
    /model guide\/version: duplicate key/,
  ],
  [
    "line without a value",
    `${VALID}\nnonsense\n`,
    /line \d+: expected \[section\] or key = value/,
  ],
  [
    "number with an exponent",
    VALID.replace("replicas = 1", "replicas = 1e3"),
    /placement guide\/replicas: expected a whole number from 1 to 10000; found "1e3"/,
  ],
  [
    "port out of range",
    VALID.replace("127.0.0.1:9001", "127.0.0.1:90010"),
    /engine-1\/address: expected an IP address/,
  ],
  [
    "duplicate address",
    VALID.replace("127.0.0.1:9101", "127.0.0.1:9001"),
    /ledger-1\/address: must differ/,
  ],
  [
    "duplicate workspace key",
    VALID.replace("c".repeat(64), HASH),
    /workspace constructor\/key_hash: must differ/,
  ],
  [
    "reference to an unknown model",
    VALID.replace("models = guide", "models = gudie"),
    /workspace temple\/models: there is no section \[model gudie\]; allowed: guide/,
  ],
  [
    "reference to an unknown service",
    VALID.replace("services = rack-ledger", "services = x"),
    /workspace temple\/services: there is no section/,
  ],
  [
    "reference to an unknown data centre",
    VALID.replace("data_centre = sapporo", "data_centre = otaru"),
    /engine-1\/data_centre: there is no/,
  ],
  [
    "reference to an unknown adapter",
    VALID.replace("adapters = visitors", "adapters = x"),
    /placement guide\/adapters: there is no/,
  ],
  [
    "reference to an unknown backend server",
    VALID.replace("backend_servers = engine-1", "backend_servers = engine-2"),
    /placement guide\/backend_servers: there is no/,
  ],
  [
    "service in a placement",
    VALID.replace("backend_servers = engine-1", "backend_servers = ledger-1"),
    /must have kind = engine/,
  ],
  [
    "more replicas than backend servers",
    VALID.replace("replicas = 1", "replicas = 2"),
    /replicas: .* allowed: 1 to 1/,
  ],
  [
    "serving floor above replicas",
    VALID.replace("replicas = 1", "replicas = 1\nserving_floor = 2"),
    /serving_floor: must not exceed replicas/,
  ],
];

for (const [name, text, expected] of INVALID_FILES) {
  test(`guards against accepting an invalid fleet file: ${name}`, (t) => {
    t.true(
      issuesOf(text).some((issue) => expected.test(issue)),
      issuesOf(text).join("\n"),
    );
  });
}

test("guards against reporting only the first of several issues", (t) => {
  const text = VALID.replace("region", "regoin").replace(
    "replicas = 1",
    "replicas = 9",
  );
  t.is(issuesOf(text).length, 3);
});

test("guards against accepting settings with a short fleet key or an unknown key", (t) => {
  const text =
    "[router]\nhost = a\ndata_centre = b\nport = 1\n[security]\nfleet_key = short\n";
  const issues = safeParseSettings(text)._unsafeUnwrapErr().map((error) =>
    error.path.join("/")
  );
  t.deepEqual(issues, ["router/port", "security/fleet_key"]);
  const settings = safeParseSettings(
    text.replace("port = 1", "").replace("short", "x".repeat(16)),
  )._unsafeUnwrap();
  t.is(settings.platform.address, "127.0.0.1:9080");
  t.is(
    safeParseOperatorSettings("[operator]\nrouters = 127.0.0.1:1, 127.0.0.1:2")
      ._unsafeUnwrap().operator.routers.length,
    2,
  );
});

test("guards against arbitrary input that makes a parser throw or pollutes a prototype", (t) => {
  const piece = fc.oneof(
    fc.string({ unit: "binary", maxLength: 20 }),
    fc.constantFrom(
      "[",
      "]",
      "=",
      "\n",
      "__proto__",
      "'",
      '"',
      "'{}'",
      "\\",
      ";",
      "[fleet]\n",
      "[model x]\n",
      "version=",
      "[backend_server toString]\n",
      "[__proto__.x]\n",
    ),
    fc.constantFrom(...VALID.split("\n")).map((line) => `${line}\n`),
  );
  const text = fc.array(piece, { maxLength: 60 }).map((pieces) =>
    pieces.join("")
  );
  fc.assert(
    fc.property(text, (input) => {
      const parsed = safeParseFleet(input);
      safeParseSettings(input);
      safeParseOperatorSettings(input);
      if (parsed.isOk()) {
        t.deepEqual(
          safeParseFleet(writeFleet(parsed.value))._unsafeUnwrap(),
          parsed.value,
        );
      }
    }),
    { numRuns: 3_000, seed: 1 },
  );
  t.is(Object.getOwnPropertyDescriptor(Object.prototype, "x"), undefined);
});
