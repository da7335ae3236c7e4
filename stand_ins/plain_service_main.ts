/** Command line of the stand-in plain service. */
import { cac } from "cac";
import { startPlainService } from "./plain_service.ts";

const command = cac("plain_service");
command.option("--port <number>", "Port to listen on", { default: 0 });
command.option("--key <text>", "Bearer key to require", {
  default: "",
});
command.help();
const { options } = command.parse();

if (!options["help"]) {
  const service = await startPlainService({
    port: Number(options["port"]),
    key: String(options["key"]),
  });
  process.stdout.write(`listening on ${service.address}\n`);
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => void service.stop().then(() => process.exit(0)));
  }
}
