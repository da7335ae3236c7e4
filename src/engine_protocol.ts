/** The messages of the engine protocol, checked where they enter the router. */
import { z } from "zod";

const _count = z.number().int().nonnegative();

/** The answer of `GET /v1/load`. */
export const engineLoadSchema = z.object({
  tokens_in_flight: _count,
  requests_in_flight: _count,
  capacity_tokens: _count,
  age_milliseconds: z.number().nonnegative(),
}).transform((load) => ({
  tokensInFlight: load.tokens_in_flight,
  requestsInFlight: load.requests_in_flight,
  capacityTokens: load.capacity_tokens,
  ageMilliseconds: load.age_milliseconds,
}));

/** The answer of `GET /v1/state`. */
export const engineStateSchema = z.object({
  items: z.array(z.object({
    model: z.string(),
    version: z.string(),
    adapter: z.string().optional(),
    state: z.enum(["loading", "standby", "serving"]),
  })),
  model_slots: _count,
  fencing_number: _count,
}).transform((state) => ({
  items: state.items,
  modelSlots: state.model_slots,
  fencingNumber: state.fencing_number,
}));

/** The answer of `GET /v1/cache/events`; a skipped sequence number is a gap. */
export const cacheEventsSchema = z.object({
  latest: _count,
  events: z.array(z.object({
    sequence: _count,
    kind: z.enum(["stored", "removed"]),
    chat: z.string(),
    blocks: z.array(z.string()),
    tokens: _count,
  })),
});

const _usage = z.object({
  prompt_tokens: _count,
  completion_tokens: _count,
  prompt_tokens_details: z.object({ cached_tokens: _count }).optional(),
}).transform((usage) => ({
  promptTokens: usage.prompt_tokens,
  completionTokens: usage.completion_tokens,
  cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
}));

/** One chunk of a streamed answer. */
export const chatChunkSchema = z.object({
  id: z.string(),
  /** Tokens of the answer up to and including this chunk. */
  offset: _count,
  /** Tokens in this chunk; a chunk without text has none. */
  tokens: _count.optional(),
  choices: z.array(z.object({
    delta: z.object({ content: z.string().nullish() }),
  })).min(1),
  usage: _usage.nullish(),
});

/** How busy an engine is, with the age of the figure. */
export type EngineLoad = z.infer<typeof engineLoadSchema>;
/** What an engine holds and serves. */
export type EngineState = z.infer<typeof engineStateSchema>;
/** A model version or an adapter that an engine holds. */
export type EngineItem = EngineState["items"][number];
/** What an engine's prefix cache gained and lost. */
export type CacheEvents = z.infer<typeof cacheEventsSchema>;
/** The tokens of a finished answer. */
export type ChatUsage = z.infer<typeof _usage>;
