/**
 * Naive configuration scheme as a baseline: the last writer wins, and a router
 * adopts any head it reads, even if it lacks some of the chunks.
 */
import type {
  ConfigurationAction,
  ConfigurationContext,
  ConfigurationEvent,
} from "../src/core/configuration_events.ts";
import {
  type ConfigurationHead,
  sha256,
} from "../src/core/configuration_head.ts";
import { createEmptyFleet } from "../src/core/fleet_file.ts";
import type { ConfigurationRules, ModelRouter } from "./configuration_rules.ts";

class _NaiveRouter implements ModelRouter {
  readonly #chunks = new Map<string, string>();
  #head: ConfigurationHead | undefined;

  inForce(): ConfigurationHead | undefined {
    return this.#head;
  }

  highestGeneration(): number {
    return this.#head?.generation ?? 0;
  }

  chunkOf(digest: string): string | undefined {
    return this.#chunks.get(digest);
  }

  handle(
    event: ConfigurationEvent,
    _context: ConfigurationContext,
  ): readonly ConfigurationAction[] {
    switch (event.kind) {
      case "head_read":
      case "head_fetched":
        return this.#adopt(event.head);
      case "announced":
        return [{
          kind: "fetch_head",
          source: { kind: "peer", address: event.from },
        }];
      case "chunks_arrived":
        for (const text of event.texts) this.#chunks.set(sha256(text), text);
        return [];
      default:
        return [];
    }
  }

  #adopt(head: ConfigurationHead | undefined): readonly ConfigurationAction[] {
    if (!head || head.digest === this.#head?.digest) return [];
    this.#head = head;
    return [
      { kind: "adopt", head, fleet: createEmptyFleet() },
      { kind: "announce", head },
      {
        kind: "fetch_chunks",
        source: { kind: "platform" },
        digests: head.chunks,
      },
    ];
  }
}

/** The naive scheme. */
export const NAIVE_CONFIGURATION_RULES: ConfigurationRules = {
  createRouter: () => new _NaiveRouter(),
  isConditional: false,
};
