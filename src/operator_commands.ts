/** The commands that read or change the configuration of a fleet. */
import { toDifferenceText, toStatusText } from "./command_output.ts";
import {
  EXIT_CODES,
  readInputFile,
  unwrapOrFail,
  UsageError,
} from "./command_failure.ts";
import { diffFleets } from "./core/fleet_differences.ts";
import { safeParseFleet } from "./core/fleet_file.ts";
import type { Fleet } from "./core/fleet_schema.ts";
import { safeParseOperatorSettings } from "./core/settings_file.ts";
import { describeGateways } from "./gateway_overview.ts";
import {
  createHttpPlatformClient,
  type HttpPlatformClient,
} from "./http_platform_client.ts";
import {
  createOperatorClient,
  type OperatorClient,
} from "./operator_client.ts";

export const DEFAULT_WAIT_SECONDS = 15;

/** The options of all commands. */
export interface CommandFlags {
  readonly settings?: string;
  readonly json?: boolean;
  readonly wait?: number;
  readonly generation?: number;
  readonly undo?: boolean;
  /** Status addresses of gateways, separated by commas. */
  readonly gateways?: string;
}

/** Prints a value as JSON or as text. */
export type PrintResult = (
  flags: CommandFlags,
  value: unknown,
  text: string,
) => void;

/** Runs the commands of an operator. */
export class OperatorCommands {
  readonly #print: PrintResult;
  /** The exit code if no command throws. */
  exitCode: number = EXIT_CODES.done;

  constructor(print: PrintResult) {
    this.#print = print;
  }

  async #readFleet(file: string): Promise<Fleet> {
    return unwrapOrFail(safeParseFleet(await readInputFile(file)), file);
  }

  async #withClient(
    flags: CommandFlags,
    use: (client: OperatorClient) => Promise<void>,
  ): Promise<void> {
    const file = flags.settings;
    if (file === undefined) {
      throw new UsageError(
        "--settings FILE is required: the operator's settings",
      );
    }
    const settings = unwrapOrFail(
      safeParseOperatorSettings(await readInputFile(file)),
      file,
    );
    const platform: HttpPlatformClient = createHttpPlatformClient(
      settings.platform,
    );
    try {
      await use(createOperatorClient({ settings, platform }));
    } finally {
      await platform.close();
    }
  }

  /** Validates a fleet file. */
  async check(file: string, flags: CommandFlags): Promise<void> {
    const fleet = await this.#readFleet(file);
    const counts = Object.entries(fleet).filter(([section]) =>
      section !== "fleet"
    ).map(([section, entries]) =>
      [section, Object.keys(entries).length] as const
    );
    this.#print(
      flags,
      { valid: true, counts: Object.fromEntries(counts) },
      `${file} is valid: ${
        counts.map(([section, count]) => `${count} ${section}`).join(", ")
      }`,
    );
  }

  /** Puts a fleet file in force and waits for the routers. */
  async apply(file: string, flags: CommandFlags): Promise<void> {
    const wait = Number(flags.wait ?? DEFAULT_WAIT_SECONDS);
    const { generation } = flags;
    if (!Number.isFinite(wait) || wait < 0) {
      throw new UsageError("--wait must be a number of seconds, 0 or more");
    }
    if (
      generation !== undefined &&
      !(Number.isSafeInteger(generation) && generation > 0)
    ) throw new UsageError("--generation must be a positive integer");
    const fleet = await this.#readFleet(file);
    await this.#withClient(flags, async (client) => {
      const { changed, head } = unwrapOrFail(
        await client.apply(
          fleet,
          generation === undefined ? {} : { generation },
        ),
      );
      const accepted = `generation ${head.generation} ${
        changed ? "is accepted" : "already has this configuration"
      }`;
      await this.#waitForRollout(client, flags, {
        accepted,
        generation: head.generation,
        changed,
        waitSeconds: wait,
      });
    });
  }

  async #waitForRollout(
    client: OperatorClient,
    flags: CommandFlags,
    { accepted, changed, generation, waitSeconds }: {
      accepted: string;
      changed: boolean;
      generation: number;
      waitSeconds: number;
    },
  ): Promise<void> {
    if (waitSeconds === 0) {
      this.exitCode = EXIT_CODES.notInForceYet;
      return this.#print(
        flags,
        { generation, changed },
        `${accepted}; not waiting for the routers`,
      );
    }
    const waited = await client.waitForRollout(generation, waitSeconds * 1_000);
    const report = waited.unwrapOr(undefined);
    const isDone = report !== undefined && report.inForce === report.routers;
    if (!isDone) this.exitCode = EXIT_CODES.notInForceYet;
    const rollout = report
      ? `in force on ${report.inForce} of ${report.routers} routers`
      : `no router could be reached: ${
        waited.isErr() ? waited.error.detail : ""
      }`;
    this.#print(flags, {
      generation,
      changed,
      in_force: report?.inForce ?? null,
      routers: report?.routers ?? null,
    }, `${accepted}; ${rollout}`);
  }

  /** Shows what a fleet file would change. */
  async diff(file: string, flags: CommandFlags): Promise<void> {
    const fleet = await this.#readFleet(file);
    await this.#withClient(flags, async (client) => {
      const differences = diffFleets(
        unwrapOrFail(await client.currentFleet()),
        fleet,
      );
      const text = differences.map(toDifferenceText).join("\n");
      this.#print(flags, { differences }, text || "no differences");
    });
  }

  /** Shows the state of every router. */
  async status(flags: CommandFlags): Promise<void> {
    if (flags.gateways !== undefined) {
      return this.#print(flags, ...await describeGateways(flags.gateways));
    }
    await this.#withClient(flags, async (client) => {
      const lines = unwrapOrFail(await client.listRouters());
      this.#print(flags, {
        routers: lines.map(({ address, dataCentre, host, status }) => ({
          host,
          data_centre: dataCentre,
          caller_address: address,
          status: status ?? null,
        })),
      }, lines.map(toStatusText).join("\n"));
    });
  }

  /** Prints the state of one router. */
  async dump(address: string, flags: CommandFlags): Promise<void> {
    await this.#withClient(flags, async (client) => {
      const dump = unwrapOrFail(await client.routerDump(address));
      this.#print(flags, dump, JSON.stringify(dump, undefined, 2));
    });
  }

  /** Takes a host or a backend server out of service, or puts it back. */
  async drain(name: string, flags: CommandFlags): Promise<void> {
    await this.#withClient(flags, async (client) => {
      const undo = flags.undo ?? false;
      const { changed, head } = unwrapOrFail(
        await client.drain(String(name), { undo }),
      );
      const newState = undo ? "is back in service" : "is being drained";
      this.#print(
        flags,
        { generation: head.generation, changed, drains: head.drains },
        `${name} ${newState} from generation ${head.generation}${
          changed ? "" : " (no change)"
        }`,
      );
    });
  }
}
