/** Schemas of the engine protocol, which validate the messages of engines. */
import { z } from "zod";

const _countSchema = z.number().int().nonnegative();

/** The response to `GET /v1/load`. */
export const engineLoadSchema = z.object({
  tokens_in_flight: _countSchema,
  requests_in_flight: _countSchema,
  capacity_tokens: _countSchema,
  age_milliseconds: z.number().nonnegative(),
}).transform((load) => ({
  tokensInFlight: load.tokens_in_flight,
  requestsInFlight: load.requests_in_flight,
  capacityTokens: load.capacity_tokens,
  ageMilliseconds: load.age_milliseconds,
}));

/** The response to `GET /v1/state`. */
export const engineStateSchema = z.object({
  items: z.array(z.object({
    model: z.string(),
    version: z.string(),
    adapter: z.string().optional(),
    state: z.enum(["loading", "standby", "serving"]),
  })),
  model_slots: _countSchema,
  fencing_number: _countSchema,
}).transform((state) => ({
  items: state.items,
  modelSlots: state.model_slots,
  fencingNumber: state.fencing_number,
}));

/**
 * The response to `GET /v1/cache/events`; a skipped sequence number means that
 * events were lost.
 */
export const cacheEventsSchema = z.object({
  latest: _countSchema,
  events: z.array(z.object({
    sequence: _countSchema,
    kind: z.enum(["stored", "removed"]),
    chat: z.string(),
    blocks: z.array(z.string()),
    tokens: _countSchema,
  })),
});

const _usageSchema = z.object({
  prompt_tokens: _countSchema,
  completion_tokens: _countSchema,
  prompt_tokens_details: z.object({ cached_tokens: _countSchema }).optional(),
}).transform((usage) => ({
  promptTokens: usage.prompt_tokens,
  completionTokens: usage.completion_tokens,
  cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
}));

/** One chunk of a streamed response. */
export const chatChunkSchema = z.object({
  id: z.string(),
  /** Tokens of the response up to and including this chunk. */
  offset: _countSchema,
  /** Tokens in this chunk; a chunk without text has none. */
  tokens: _countSchema.optional(),
  choices: z.array(z.object({
    delta: z.object({ content: z.string().nullish() }),
  })).min(1),
  usage: _usageSchema.nullish(),
});

/** The load of an engine and the age of that reading. */
export type EngineLoad = z.infer<typeof engineLoadSchema>;
/** The model versions and adapters on an engine and their states. */
export type EngineState = z.infer<typeof engineStateSchema>;
/** A model version or adapter on an engine. */
export type EngineItem = EngineState["items"][number];
/** Prefixes stored in and removed from an engine's cache. */
export type CacheEvents = z.infer<typeof cacheEventsSchema>;
/** Token counts of a finished response. */
export type ChatUsage = z.infer<typeof _usageSchema>;
