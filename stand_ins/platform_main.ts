/** Command line of the platform stand-in; `/control/...` sets its faults. */
import { cac } from "cac";
import { createPlatformStandIn } from "./platform.ts";

async function run(
  options: { port: number; key?: string; hostLagMilliseconds?: number },
): Promise<void> {
  const standIn = await createPlatformStandIn({
    port: options.port,
    key: options.key === undefined ? "" : String(options.key),
    ...(options.hostLagMilliseconds === undefined
      ? {}
      : { hostLagMilliseconds: options.hostLagMilliseconds }),
  });
  process.stdout.write(`${JSON.stringify({ address: standIn.address })}\n`);
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(
      signal,
      () => void standIn.close().then(() => process.exit(0)),
    );
  }
}

const command = cac("platform");
command.command(
  "",
  "Starts a stand-in for the platform on the loopback address",
)
  .option("--port <port>", "Port to listen on; 0 picks a free one", {
    default: 0,
  })
  .option("--key <key>", "Bearer key that callers must send")
  .option(
    "--host-lag-milliseconds <milliseconds>",
    "Lag of the host list",
  )
  .action(run);
command.help();
command.parse();
