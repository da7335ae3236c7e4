/** A simulated model engine over HTTP; see section 7 of docs/design.md. */
import fastify, {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from "fastify";
import { PRIORITIES, type Priority } from "../src/core/fleet_schema.ts";
import { createSeededRandom } from "../src/core/random.ts";
import { Batch, type BatchOptions, Stream } from "./engine_batch.ts";
import {
  blockChain,
  bytesOf,
  type ExportedChat,
  PrefixCache,
} from "./engine_cache.ts";
import {
  EngineModels,
  type EngineOrder,
  WeightStore,
} from "./engine_models.ts";
import { usageOf, writeChunk, writeEnd } from "./engine_events.ts";
import { answerTokens, type ChatMessage, promptTokens } from "./engine_text.ts";
import {
  addFaultRoute,
  addKeyCheck,
  createFaults,
  dropConnection,
  takeFault,
} from "./faults.ts";

/** Configures a stand-in engine. */
export interface EngineOptions extends BatchOptions {
  readonly host: string;
  readonly port: number;
  readonly seed: number;
  readonly key: string;
  readonly cacheTokens: number;
  readonly eventLagMilliseconds: number;
  readonly eventLossRatio: number;
  readonly loadLagMilliseconds: number;
  /** How long a stream can still be resumed after it has ended. */
  readonly retainMilliseconds: number;
  readonly checksFencing: boolean;
  readonly loadMilliseconds: number;
  readonly modelSlots: number;
  readonly weightStore: WeightStore;
  /** `model@version` entries that are serving when the engine starts. */
  readonly models: readonly string[];
}

/** Returns the default value of every option. */
export function defaultEngineOptions(): EngineOptions {
  return {
    host: "127.0.0.1",
    port: 0,
    seed: 1,
    key: "",
    prefillTokensPerSecond: 8_000,
    tokenMilliseconds: 20,
    batchSlope: 0.03,
    maximumBatch: 64,
    capacityTokens: 200_000,
    timeScale: 1,
    cacheTokens: 100_000,
    eventLagMilliseconds: 200,
    eventLossRatio: 0,
    loadLagMilliseconds: 200,
    retainMilliseconds: 30_000,
    checksFencing: false,
    loadMilliseconds: 1_000,
    modelSlots: 2,
    weightStore: new WeightStore(60),
    models: [],
  };
}

/** Handle to a running stand-in server. */
export interface RunningStandIn {
  readonly address: string;
  stop(): Promise<void>;
}

interface _ChatBody {
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly max_tokens?: number;
  readonly stream?: boolean;
  readonly priority?: Priority;
  readonly adapter?: string;
  readonly chat?: string;
}

interface _ExportBody {
  readonly chats?: readonly string[];
  readonly prefixes?: readonly string[];
  readonly maximum_bytes: number;
}

interface _LoadSample {
  readonly at: number;
  readonly tokens: number;
  readonly requests: number;
}

const DEFAULT_OUTPUT_TOKENS = 16;

class _Engine {
  readonly #options: EngineOptions;
  readonly #faults = createFaults();
  readonly #streams = new Map<string, Stream>();
  readonly #runs = new Map<string, number>();
  readonly #samples: _LoadSample[] = [{ at: 0, tokens: 0, requests: 0 }];
  readonly #cache: PrefixCache;
  readonly #batch: Batch;
  readonly #models: EngineModels;
  readonly #random;
  /** Prefix that keeps stream ids unique across restarts of the engine. */
  readonly #startedAt = Date.now().toString(36);
  #peakTokens = 0;
  #cachedTokens = 0;
  #promptTokens = 0;

  constructor(options: EngineOptions) {
    this.#options = options;
    this.#random = createSeededRandom(options.seed);
    this.#cache = new PrefixCache({ ...options, random: this.#random });
    this.#batch = new Batch(options);
    this.#batch.onChange = () => this.#recordLoadSample();
    this.#models = new EngineModels({
      ...options,
      isBusy: (model) =>
        this.#batch.active().some((stream) => stream.request.model === model),
    });
    for (const entry of options.models) {
      const [model = "", version = "1"] = entry.split("@");
      this.#models.items.push({ model, version, state: "serving" });
    }
  }

  addRoutes(app: FastifyInstance): void {
    addKeyCheck(app, this.#options.key);
    addFaultRoute(app, this.#faults, () => {
      this.#batch.stall(this.#faults.stall_milliseconds);
      this.#faults.stall_milliseconds = 0;
    });
    app.post(
      "/v1/chat/completions",
      (request, reply) => this.#complete(request, reply),
    );
    app.get(
      "/v1/streams/:id",
      (request, reply) => this.#resume(request, reply),
    );
    app.delete("/v1/streams/:id", async (request, reply) => {
      const stream = this.#findStream(request);
      if (stream) this.#batch.cancel(stream);
      return reply.code(stream ? 204 : 404).send();
    });
    app.get("/v1/load", async () => this.#load());
    app.get("/v1/cache/events", async (request) => {
      const { after } = request.query as { after?: string };
      return this.#cache.events(Number(after ?? 0));
    });
    app.post("/v1/cache/export", async (request, reply) => {
      const body = request.body as _ExportBody;
      const chats = body.chats ?? this.#cache.chatsOf(body.prefixes ?? []);
      const entries = this.#cache.export(chats, body.maximum_bytes);
      return reply.header("x-cache-bytes", bytesOf(entries)).send({ entries });
    });
    app.post("/v1/cache/import", async (request) => {
      const { entries } = request.body as { entries: ExportedChat[] };
      for (const { chat, blocks } of entries) this.#cache.store(chat, blocks);
      return { imported: entries.length };
    });
    app.get("/v1/state", async () => this.#models.describe());
    app.post("/v1/orders", async (request, reply) => {
      const reason = this.#models.obey(request.body as EngineOrder);
      if (reason === undefined) return { obeyed: true };
      return reply.code(409).send({ error: reason });
    });
    app.get("/counters", async () => this.#counters());
  }

  stop(): void {
    this.#batch.stop();
  }

  async #complete(request: FastifyRequest, reply: FastifyReply) {
    const body = request.body as _ChatBody;
    if (takeFault(this.#faults, "close_after_body")) {
      return dropConnection(request, reply);
    }
    const reason = this.#rejectionReason(body);
    if (reason !== undefined) return reply.code(503).send({ error: reason });
    const stream = this.#start(body, String(request.headers["x-request-id"]));
    if (takeFault(this.#faults, "drop_replies")) {
      await stream.ended();
      return dropConnection(request, reply);
    }
    if (body.stream) return this.#write(stream, 0, reply);
    await stream.ended();
    return reply.send({
      id: stream.request.id,
      object: "chat.completion",
      model: body.model,
      choices: [{
        index: 0,
        finish_reason: "stop",
        message: {
          role: "assistant",
          content: stream.request.answer.map((token) => `${token} `).join(""),
        },
      }],
      usage: usageOf(stream),
    });
  }

  /**
   * Returns why a request is rejected, if it is. An engine with no configured
   * models that has not executed an order serves every model.
   */
  #rejectionReason({ model, adapter, messages, priority }: _ChatBody) {
    if (!Array.isArray(messages)) return "malformed_request";
    if (priority && !PRIORITIES.includes(priority)) return "unknown_priority";
    const isOrdered = this.#models.describe().last_obeyed_fencing_number > 0;
    if (this.#options.models.length === 0 && !isOrdered) return undefined;
    if (!this.#models.isServing(model)) return "model_not_serving";
    if (adapter === undefined || this.#models.isServing(model, adapter)) {
      return undefined;
    }
    return "adapter_not_loaded";
  }

  #start(body: _ChatBody, requestId: string): Stream {
    this.#runs.set(requestId, (this.#runs.get(requestId) ?? 0) + 1);
    const prompt = promptTokens(body.messages);
    const root = `${body.model}/${body.adapter ?? ""}`;
    const chain = blockChain(root, prompt);
    const cachedTokens = this.#cache.lookUp(chain);
    const chat = body.chat ?? requestId;
    const answer = answerTokens(
      body.messages,
      body.max_tokens ?? DEFAULT_OUTPUT_TOKENS,
    );
    const stream = new Stream({
      id: `${this.#startedAt}-${this.#random.token()}`,
      requestId,
      model: body.model,
      priority: body.priority ?? "normal",
      promptTokens: prompt.length,
      cachedTokens,
      answer,
      onFinish: () =>
        this.#cache.store(
          chat,
          blockChain(root, [...prompt, "<assistant>", ...answer]),
        ),
    });
    this.#cachedTokens += cachedTokens;
    this.#promptTokens += prompt.length;
    this.#streams.set(stream.request.id, stream);
    this.#batch.add(stream);
    return stream;
  }

  #findStream(request: FastifyRequest): Stream | undefined {
    const cutoff = performance.now() - this.#options.retainMilliseconds;
    for (const [id, stream] of this.#streams) {
      const isExpired = stream.state !== "active" && stream.endedAt < cutoff;
      if (isExpired) this.#streams.delete(id);
    }
    return this.#streams.get((request.params as { id: string }).id);
  }

  async #resume(request: FastifyRequest, reply: FastifyReply) {
    const stream = this.#findStream(request);
    if (!stream || stream.state === "cancelled") {
      return reply.code(410).send({ error: "stream_gone" });
    }
    const { offset } = request.query as { offset?: string };
    return this.#write(stream, Number(offset ?? 0), reply);
  }

  /**
   * Sends a stream's tokens from an offset. Generation continues if the caller
   * disconnects.
   */
  async #write(stream: Stream, from: number, reply: FastifyReply) {
    reply.hijack();
    const raw = reply.raw;
    raw.writeHead(200, {
      "content-type": "text/event-stream",
      "x-stream-id": stream.request.id,
    });
    raw.flushHeaders();
    const truncateAt = takeFault(this.#faults, "truncate_streams")
      ? from + this.#faults.truncate_after_tokens
      : Infinity;
    let offset = from;
    while (!raw.destroyed) {
      if (offset >= truncateAt) break;
      if (offset < stream.produced) {
        writeChunk(raw, stream, ++offset);
      } else if (stream.state === "finished") {
        writeEnd(raw, stream);
        break;
      } else if (stream.state === "cancelled") break;
      else await stream.changed();
    }
    raw.end();
    return reply;
  }

  #recordLoadSample(): void {
    const tokens = this.#batch.tokensInFlight();
    const requests = this.#batch.active().length;
    this.#peakTokens = Math.max(this.#peakTokens, tokens);
    this.#samples.push({ at: performance.now(), tokens, requests });
    const cutoff = performance.now() - this.#options.loadLagMilliseconds;
    while (this.#samples[1] && this.#samples[1].at <= cutoff) {
      this.#samples.shift();
    }
  }

  #load(): unknown {
    const cutoff = performance.now() - this.#options.loadLagMilliseconds;
    const sample = this.#samples.findLast(({ at }) => at <= cutoff);
    return {
      tokens_in_flight: sample?.tokens ?? 0,
      requests_in_flight: sample?.requests ?? 0,
      capacity_tokens: this.#options.capacityTokens,
      age_milliseconds: this.#options.loadLagMilliseconds,
    };
  }

  #counters(): unknown {
    return {
      runs: Object.fromEntries(this.#runs),
      doubles: [...this.#runs.values()].filter((count) => count > 1).length,
      tokens_in_flight: this.#batch.tokensInFlight(),
      peak_tokens_in_flight: this.#peakTokens,
      requests_in_flight: this.#batch.active().length,
      prompt_tokens: this.#promptTokens,
      cached_tokens: this.#cachedTokens,
      cache_tokens_held: this.#cache.tokens,
      older_orders_obeyed: this.#models.staleExecuted,
      load_times: this.#options.weightStore.loadTimes,
    };
  }
}

/** Starts a stand-in engine and resolves once it listens. */
export async function startEngine(
  options: Partial<EngineOptions> = {},
): Promise<RunningStandIn> {
  const merged = { ...defaultEngineOptions(), ...options };
  const app = fastify({
    forceCloseConnections: true,
    bodyLimit: 64 * 1024 ** 2,
  });
  const engine = new _Engine(merged);
  engine.addRoutes(app);
  const url = await app.listen({ host: merged.host, port: merged.port });
  return {
    address: url.replace("http://", ""),
    async stop() {
      engine.stop();
      await app.close();
    },
  };
}
