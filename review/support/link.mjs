/**
 * A link between two processes. It can have a delay, and its open connections can fall
 * silent for good, without a reset, while new ones work (DEPLOY.md, "How these days are
 * played").
 */
import { connect, createServer } from "node:net";

export class Link {
  #target;
  #pairs = new Set();
  #delayMilliseconds;
  #server = createServer(
    { allowHalfOpen: true },
    (client) => this.#join(client),
  );

  /** The delay is one way. */
  constructor({ delayMilliseconds = 0 } = {}) {
    this.#delayMilliseconds = delayMilliseconds;
  }

  async start(target) {
    const [host, port] = target.split(":");
    this.#target = { host, port: Number(port), allowHalfOpen: true };
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return `127.0.0.1:${this.#server.address().port}`;
  }

  /** Makes all open connections silent; returns how many there were. */
  silence() {
    for (const pair of this.#pairs) pair.isSilent = true;
    return this.#pairs.size;
  }

  stop() {
    this.#server.close();
    for (const { client, target } of this.#pairs) {
      client.destroy();
      target.destroy();
    }
  }

  #join(client) {
    const target = connect(this.#target);
    const pair = { client, target, isSilent: false };
    this.#pairs.add(pair);
    this.#forward(pair, client, target);
    this.#forward(pair, target, client);
  }

  #forward(pair, from, to) {
    from.setNoDelay(true);
    from.on("data", (bytes) => {
      if (!pair.isSilent) this.#later(() => to.write(bytes));
    });
    from.on("end", () => {
      if (!pair.isSilent) this.#later(() => to.end());
    });
    from.on("error", () => {
      if (!pair.isSilent) to.destroy();
    });
    from.on("close", () => {
      // The other end of a silent connection hears nothing of it.
      if (pair.isSilent) return;
      this.#pairs.delete(pair);
      this.#later(() => to.destroy());
    });
  }

  /** Timers of one length run in the order in which they were set. */
  #later(action) {
    if (this.#delayMilliseconds === 0) action();
    else setTimeout(action, this.#delayMilliseconds);
  }
}
