/**
 * Replaces Node.js's assertions in the bundle. To write the message of a failed one,
 * Node.js reads and parses the script around it, which in a bundle of long lines takes
 * seconds in which the event loop stands still. A peer's bytes can make one fail.
 */
const { AssertionError } = require("node:assert/strict");

/** Throws the message, or an error that names the assertion, if the value is falsy. */
module.exports = function assert(value, message) {
  if (value) return;
  if (message instanceof Error) throw message;
  throw new AssertionError({
    message: message ?? "the assertion failed",
    actual: value,
    expected: true,
    operator: "==",
    stackStartFn: assert,
  });
};
