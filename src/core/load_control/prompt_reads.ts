/**
 * Uncached prompt tokens that were sent to each backend server and whose response
 * has not begun. Such a prompt is processed in chunks between the steps of the
 * requests that run beside it, so it delays their tokens.
 */
import type { BackendServerId } from "../ids.ts";
import type { FleetLoad } from "./fleet_load.ts";

/** The prompts on their way that one router has sent to each server. */
export class PromptReads {
  readonly #own = new Map<BackendServerId, number>();

  /** Counts a prompt that is sent; returns a function that ends the count, once. */
  start(server: BackendServerId, tokens: number): () => void {
    if (tokens <= 0) return () => undefined;
    this.#add(server, tokens);
    let isEnded = false;
    return () => {
      if (isEnded) return;
      isEnded = true;
      this.#add(server, -tokens);
    };
  }

  /** Returns this router's uncached tokens on their way at a server. */
  tokensAt(server: BackendServerId): number {
    return this.#own.get(server) ?? 0;
  }

  /** Returns the uncached tokens of all routers on their way at a server. */
  fleetTokensAt(server: BackendServerId, load: FleetLoad): number {
    return this.tokensAt(server) + load.remotePromptTokens(server);
  }

  #add(server: BackendServerId, tokens: number): void {
    const sum = (this.#own.get(server) ?? 0) + tokens;
    if (sum > 0) this.#own.set(server, sum);
    else this.#own.delete(server);
  }
}

/** Creates a `PromptReads` without prompts. */
export function createPromptReads(): PromptReads {
  return new PromptReads();
}
