/**
 * Handles SIGHUP, which requests a reload of the settings, before other modules
 * load: its default action ends the process, and loading is slow on a weak
 * host. The settings are read after this module has loaded, so an earlier
 * signal needs no reload.
 */
import process from "node:process";

process.on("SIGHUP", () => undefined);
