/** Runs the tests of untrusted clients, one at a time and apart from other tests. */
export default {
  files: ["dist/platform/untrusted_clients_test.js"],
  timeout: "60s",
  workerThreads: false,
  concurrency: 1,
};
