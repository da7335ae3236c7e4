/** Interface of a configuration scheme; histories can run any scheme. */
import type {
  ConfigurationAction,
  ConfigurationContext,
  ConfigurationEvent,
} from "../src/core/configuration_events.ts";
import type { ConfigurationHead } from "../src/core/configuration_head.ts";
import {
  createConfigurationState,
  decideConfiguration,
} from "../src/core/configuration_state.ts";

/** Simulated router that follows a scheme. */
export interface ModelRouter {
  inForce(): ConfigurationHead | undefined;
  /** Highest generation that the router reports to operators. */
  highestGeneration(): number;
  chunkOf(digest: string): string | undefined;
  handle(
    event: ConfigurationEvent,
    context: ConfigurationContext,
  ): readonly ConfigurationAction[];
}

/** Configuration scheme: how routers adopt and how operators write heads. */
export interface ConfigurationRules {
  createRouter(nowMilliseconds: number): ModelRouter;
  /** Whether operators check the version on writes and resolve lost replies. */
  readonly isConditional: boolean;
}

class _Router implements ModelRouter {
  #state;

  constructor(nowMilliseconds: number) {
    this.#state = createConfigurationState(nowMilliseconds);
  }

  inForce(): ConfigurationHead | undefined {
    return this.#state.inForce;
  }

  highestGeneration(): number {
    return this.#state.highestGeneration;
  }

  chunkOf(digest: string): string | undefined {
    return this.#state.chunks.get(digest);
  }

  handle(
    event: ConfigurationEvent,
    context: ConfigurationContext,
  ): readonly ConfigurationAction[] {
    const { state, actions } = decideConfiguration(this.#state, event, context);
    this.#state = state;
    return actions;
  }
}

/** The production scheme, backed by `decideConfiguration`. */
export const CONFIGURATION_RULES: ConfigurationRules = {
  createRouter: (nowMilliseconds) => new _Router(nowMilliseconds),
  isConditional: true,
};
