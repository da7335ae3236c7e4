/**
 * Catches the signal that tells of changed settings from the first moment on.
 * Its default action ends the process, and reading the modules takes a while on
 * a weak host. The settings are read after this module, so nothing is missed.
 */
import process from "node:process";

process.on("SIGHUP", () => undefined);
