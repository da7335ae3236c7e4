/**
 * Handles SIGHUP, which requests a reload of the settings, before all other
 * modules load. Its default action ends the process, and loading the modules is
 * slow on a weak host. The settings are read after this module has loaded, so a
 * signal that arrives before that needs no reload.
 */
import process from "node:process";

process.on("SIGHUP", () => undefined);
