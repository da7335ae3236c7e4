/** The command line: parses arguments, prints results and chooses exit codes. */
import { type CAC, cac } from "cac";
import { toErrorLine } from "./command_output.ts";
import {
  CommandFailure,
  EXIT_CODES,
  readInputFile,
  toExitCode,
  unwrapOrFail,
  UsageError,
} from "./command_failure.ts";
import { explainRequest, toExplanationText } from "./core/log_explanation.ts";
import { createError } from "./core/errors.ts";
import { safeParseSettings } from "./core/settings_file.ts";
import type { Settings } from "./core/settings_schema.ts";
import { hashKey } from "./operator_client.ts";
import {
  type CommandFlags,
  DEFAULT_WAIT_SECONDS,
  OperatorCommands,
} from "./operator_commands.ts";

/** Arguments and output functions of the process. */
export interface CommandLineOptions {
  /** Arguments after the program's name. */
  readonly arguments: readonly string[];
  readonly writeOutput: (text: string) => void;
  readonly writeError: (text: string) => void;
  /** Runs a router until it stops; absent in builds without the daemon. */
  readonly runRouter?: (settings: Settings) => Promise<void>;
}

class _CommandLine {
  readonly #options: CommandLineOptions;
  readonly #operator: OperatorCommands;

  constructor(options: CommandLineOptions) {
    this.#options = options;
    this.#operator = new OperatorCommands((flags, value, text) =>
      this.#print(flags, value, text)
    );
  }

  async run(): Promise<number> {
    const cli = this.#createParser();
    const { arguments: argumentList } = this.#options;
    try {
      cli.parse(["node", "sapphirecart", ...argumentList], { run: false });
      if (cli.options.help) return EXIT_CODES.done;
      if (!cli.matchedCommand) {
        const [command] = argumentList;
        if (command === undefined) cli.outputHelp();
        throw new UsageError(
          command === undefined
            ? "a command is required"
            : `unknown command ${command}; see --help`,
        );
      }
      await cli.runMatchedCommand();
      return this.#operator.exitCode;
    } catch (cause) {
      return this.#reportFailure(cause, argumentList.includes("--json"));
    }
  }

  #reportFailure(cause: unknown, json: boolean): number {
    const { writeError, writeOutput } = this.#options;
    if (cause instanceof CommandFailure) {
      const { errors, file } = cause;
      if (json) writeOutput(JSON.stringify({ errors }));
      else for (const error of errors) writeError(toErrorLine(error, file));
      return toExitCode(errors);
    }
    const isUsageError = cause instanceof UsageError ||
      (cause as Error).name === "CACError";
    writeError((cause as Error).message);
    return isUsageError ? EXIT_CODES.usage : EXIT_CODES.failed;
  }

  #print(flags: CommandFlags, value: unknown, text: string): void {
    this.#options.writeOutput(flags.json ? JSON.stringify(value) : text);
  }

  #createParser(): CAC {
    const cli = cac("sapphirecart");
    cli.usage(
      "COMMAND [options]\n\nRuns the routers of a fleet and changes the fleet's configuration.\nA fleet file describes the complete desired state; `apply` puts it in force.\n\nExit codes: 0 done, 1 rejected or failed, 2 wrong usage, 3 another change won,\n4 accepted but not in force on every router yet.",
    );
    cli.option("--json", "Print one JSON value instead of text");
    cli.command(
      "check <file>",
      "Validate a fleet file and list all errors; changes nothing",
    )
      .action((file: string, flags: CommandFlags) =>
        this.#operator.check(file, flags)
      );
    _addSettingsOption(
      cli.command(
        "apply <file>",
        "Put a fleet file in force atomically and wait for the routers",
      ),
    )
      .option(
        "--wait <seconds>",
        "Maximum time to wait until it is in force on every router; 0 to not wait",
        { default: DEFAULT_WAIT_SECONDS },
      )
      .option(
        "--generation <number>",
        "Generation to use after the platform's store went back to an earlier state",
      )
      .action((file: string, flags: CommandFlags) =>
        this.#operator.apply(file, flags)
      );
    _addSettingsOption(
      cli.command(
        "diff <file>",
        "Show what applying a fleet file would change",
      ),
    )
      .action((file: string, flags: CommandFlags) =>
        this.#operator.diff(file, flags)
      );
    _addSettingsOption(
      cli.command("status", "Show the generation and alarms of every router"),
    )
      .option("--gateways <addresses>", "Show gateways, by status addresses")
      .action((flags: CommandFlags) => this.#operator.status(flags));
    _addSettingsOption(
      cli.command(
        "dump <address>",
        "Print the state of one router; ADDRESS is its caller address",
      ),
    )
      .action((address: string, flags: CommandFlags) =>
        this.#operator.dump(address, flags)
      );
    _addSettingsOption(
      cli.command(
        "drain <name>",
        "Take a host or a backend server out of service without interrupting requests",
      ),
    )
      .option("--undo", "Put it back into service")
      .action((name: string, flags: CommandFlags) =>
        this.#operator.drain(name, flags)
      );
    cli.command(
      "hash-key <key>",
      "Print the hash of a key, for key_hash in a fleet file",
    )
      .action((key: string | number, flags: CommandFlags) =>
        this.#print(
          flags,
          { key_hash: hashKey(String(key)) },
          hashKey(String(key)),
        )
      );
    cli.command(
      "explain <id> [...files]",
      "Trace one request through the log files of routers",
    )
      .action((id: string | number, files: string[], flags: CommandFlags) =>
        this.#explain(String(id), files, flags)
      );
    cli.command(
      "router <settings>",
      "Run one router with a settings file until it is stopped",
    )
      .action((file: string) => this.#router(file));
    cli.help((sections) => {
      const body = cli.matchedCommand?.description;
      if (body) sections.splice(1, 0, { body });
    });
    return cli;
  }

  async #explain(
    id: string,
    files: readonly string[],
    flags: CommandFlags,
  ): Promise<void> {
    if (files.length === 0) throw new UsageError("explain needs a log file");
    const texts: string[] = [];
    for (const file of files) {
      for (const text of (await readInputFile(file)).split("\n")) {
        texts.push(text);
      }
    }
    const explanation = explainRequest(texts, id);
    if (explanation.skipped > 0) {
      this.#options.writeError(
        `${explanation.skipped} lines could not be read`,
      );
    }
    if (explanation.lines.length > 0) {
      return this.#print(flags, explanation, toExplanationText(explanation));
    }
    throw new CommandFailure([
      createError("not_found", `no log line mentions request ${id}`),
    ]);
  }

  async #router(file: string): Promise<void> {
    const settings = unwrapOrFail(
      safeParseSettings(await readInputFile(file)),
      file,
    );
    const { runRouter } = this.#options;
    if (!runRouter) throw new Error("this build has no router daemon");
    await runRouter(settings);
  }
}

function _addSettingsOption(
  command: ReturnType<CAC["command"]>,
): ReturnType<CAC["command"]> {
  return command.option(
    "--settings <file>",
    "The operator's settings: platform address and key, operator key, routers",
  );
}

/** Runs one command and returns its exit code. */
export function runCommandLine(options: CommandLineOptions): Promise<number> {
  return new _CommandLine(options).run();
}
