import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { mkdtemp, readdir, readFile, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test, { type ExecutionContext } from "ava";
import {
  createPlatformStandIn,
  type PlatformStandIn,
} from "../stand_ins/platform.ts";
import { EXIT_CODES } from "./command_failure.ts";
import { runCommandLine } from "./command_line.ts";
import { safeParseFleet } from "./core/fleet_file.ts";
import {
  safeParseOperatorSettings,
  safeParseSettings,
} from "./core/settings_file.ts";

interface Run {
  readonly code: number;
  readonly output: string;
  readonly errors: string;
}

async function run(...argumentList: string[]): Promise<Run> {
  const output: string[] = [];
  const errors: string[] = [];
  const code = await runCommandLine({
    arguments: argumentList,
    writeOutput: (text) => output.push(text),
    writeError: (text) => errors.push(text),
  });
  return { code, output: output.join("\n"), errors: errors.join("\n") };
}

interface Setup {
  readonly platform: PlatformStandIn;
  readonly settings: string;
  readonly createFile: (text: string) => Promise<string>;
  /** The generation that each router reports, by host. */
  readonly generations: Map<string, number>;
}

/** Starts two fake routers whose status reports a generation set by the test. */
async function setUp(t: ExecutionContext): Promise<Setup> {
  const platform = await createPlatformStandIn({ key: "p" });
  const generations = new Map([["host-1", 0], ["host-2", 0]]);
  const addresses = new Map<string, string>();
  const servers: Server[] = [];
  for (const host of generations.keys()) {
    const server = createServer((request, response) => {
      if (request.headers.authorization !== "Bearer o") {
        return void response.writeHead(401).end();
      }
      const members = [...addresses].map(([name, address]) => ({
        host: name,
        data_centre: "dc",
        caller_address: address,
        state: "alive",
      }));
      response.end(
        JSON.stringify({
          host,
          data_centre: "dc",
          incarnation: "i",
          generation: generations.get(host),
          digest: "",
          stale: false,
          alarms: [],
          members,
        }),
      );
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    addresses.set(host, `127.0.0.1:${(server.address() as AddressInfo).port}`);
    servers.push(server);
  }
  t.teardown(async () => {
    for (const server of servers) server.close();
    await platform.close();
  });
  const directory = await mkdtemp(join(tmpdir(), "sapphirecart-"));
  let files = 0;
  async function createFile(text: string): Promise<string> {
    const path = join(directory, `file-${++files}.ini`);
    await writeFile(path, text);
    return path;
  }
  const settings = await createFile(
    `[platform]\naddress = ${platform.address}\nkey = p\n[operator]\nkey = o\nrouters = ${
      [...addresses.values()].join(", ")
    }\n`,
  );
  return { platform, settings, createFile, generations };
}

test("guards against exit codes that do not distinguish accepted, in force and rejected", async (t) => {
  const { platform, settings, createFile, generations } = await setUp(t);
  const file = await createFile("[fleet]\nname = one\n");
  const waiting = await run(
    "apply",
    file,
    "--settings",
    settings,
    "--wait",
    "0.3",
    "--json",
  );
  t.is(waiting.code, EXIT_CODES.notInForceYet, waiting.errors);
  t.deepEqual(JSON.parse(waiting.output), {
    generation: 1,
    changed: true,
    in_force: 0,
    routers: 2,
  });
  for (const host of generations.keys()) generations.set(host, 1);
  const done = await run("apply", file, "--settings", settings);
  t.is(done.code, EXIT_CODES.done, done.errors);
  t.regex(
    done.output,
    /generation 1 already has this configuration; in force on 2 of 2 routers/,
  );
  generations.set("host-2", 9);
  const other = await createFile("[fleet]\nname = two\n");
  const rejected = await run("apply", other, "--settings", settings);
  t.is(rejected.code, EXIT_CODES.failed);
  t.regex(rejected.errors, /store went back/);
  platform.setFaults({ outage: true });
  t.is(
    (await run("apply", other, "--settings", settings)).code,
    EXIT_CODES.failed,
  );
});

test("guards against success being reported for an apply that lost to a concurrent one", async (t) => {
  const { settings, createFile } = await setUp(t);
  const files = [
    await createFile("[fleet]\nname = one\n"),
    await createFile("[fleet]\nname = two\n"),
  ];
  const runs = await Promise.all(
    files.map((file) =>
      run("apply", file, "--settings", settings, "--wait", "0")
    ),
  );
  t.deepEqual(runs.map(({ code }) => code).sort(), [
    EXIT_CODES.conflict,
    EXIT_CODES.notInForceYet,
  ]);
  t.regex(
    runs.map(({ errors }) => errors).join(""),
    /\S+ won with generation 1/,
  );
});

test("guards against diff, drain and status reporting a wrong state of the fleet", async (t) => {
  const { settings, createFile, generations } = await setUp(t);
  const server =
    "[data_centre dc]\nregion = r\n[backend_server engine-1]\nkind = engine\naddress = 127.0.0.1:1\ndata_centre = dc\n";
  await run(
    "apply",
    await createFile(server),
    "--settings",
    settings,
    "--wait",
    "0",
  );
  const changed = await createFile(server.replace("= r\n", "= s\n"));
  t.is(
    (await run("diff", changed, "--settings", settings)).output,
    "~ [data_centre dc]\n    region: r -> s",
  );
  const drained = await run(
    "drain",
    "engine-1",
    "--settings",
    settings,
    "--json",
  );
  t.deepEqual(JSON.parse(drained.output), {
    generation: 2,
    changed: true,
    drains: { hosts: [], backendServers: ["engine-1"] },
  });
  t.is(
    (await run("drain", "host-1", "--settings", settings)).code,
    EXIT_CODES.done,
  );
  const undone = await run(
    "drain",
    "engine-1",
    "--undo",
    "--settings",
    settings,
    "--json",
  );
  t.deepEqual((JSON.parse(undone.output) as { drains: unknown }).drains, {
    hosts: ["host-1"],
    backendServers: [],
  });
  t.is(
    (await run("drain", "nobody", "--settings", settings)).code,
    EXIT_CODES.failed,
  );
  generations.set("host-1", 4);
  t.regex(
    (await run("status", "--settings", settings)).output,
    /host-1 {2}dc {2}\S+ {2}generation 4 {2}ok/,
  );
});

test("guards against usage errors and invalid files sharing an exit code or exiting with 0", async (t) => {
  for (
    const argumentList of [[], ["unknown"], ["check"], [
      "check",
      "no-such-file",
    ], [
      "status",
    ], ["check", "x", "--nonsense"]]
  ) {
    t.is(
      (await run(...argumentList)).code,
      EXIT_CODES.usage,
      argumentList.join(" "),
    );
  }
  const { createFile } = await setUp(t);
  const invalid = await run(
    "check",
    await createFile("[model a]\nverison = 1\n"),
  );
  t.is(invalid.code, EXIT_CODES.failed);
  t.regex(
    invalid.errors,
    /file-\d+\.ini: \[model a\] verison unknown key; allowed: version/,
  );
  t.is(
    (await run("hash-key", "abc")).output,
    "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
  );
});

test("guards against explain succeeding for an unknown request or an unreadable file", async (t) => {
  const { createFile } = await setUp(t);
  const file = await createFile(
    `${
      JSON.stringify({
        time: 5,
        host: "entry-1",
        request: "r1",
        outcome: "overloaded",
        msg: "request.rejected",
      })
    }\n{"cut`,
  );
  const known = await run("explain", "r1", file);
  t.is(known.code, EXIT_CODES.done);
  t.regex(known.output, /entry-1 {2}request.rejected {2}outcome=overloaded/);
  t.is(known.errors, "1 lines could not be read");
  t.is((await run("explain", "r2", file)).code, EXIT_CODES.failed);
  t.is((await run("explain", "r1")).code, EXIT_CODES.usage);
  t.is((await run("explain", "r1", "no-such-file")).code, EXIT_CODES.usage);
});

for (const site of ["kamikawa", "carbon_andino"]) {
  test(`guards against example files that check rejects: ${site}`, async (t) => {
    const directory = join("examples", site);
    t.is(
      (await run("check", join(directory, "fleet.ini"))).code,
      EXIT_CODES.done,
    );
    const fleet = safeParseFleet(
      await readFile(join(directory, "fleet.ini"), "utf8"),
    )._unsafeUnwrap();
    t.is(Object.keys(fleet.workspaces).length, 10);
    t.true(
      safeParseOperatorSettings(
        await readFile(join(directory, "operator.ini"), "utf8"),
      ).isOk(),
    );
    const addresses = new Set(
      Object.values(fleet.backendServers).map((server) => server.address),
    );
    const routers = (await readdir(directory)).filter((name) =>
      name.startsWith("router-")
    );
    for (const name of routers) {
      const { router } = safeParseSettings(
        await readFile(join(directory, name), "utf8"),
      )._unsafeUnwrap();
      t.truthy(fleet.dataCentres[router.dataCentre]);
      addresses.add(router.callerAddress).add(router.peerAddress);
    }
    t.is(routers.length, 13);
    t.is(addresses.size, 26 + Object.keys(fleet.backendServers).length);
  });
}
