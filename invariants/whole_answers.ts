/**
 * Checks that chat responses are complete while engines truncate, stall and drop
 * streams and a router is killed under many concurrent chats. Each caller must
 * get its own complete response, without missing or duplicate tokens, or a typed
 * error.
 */
import { type Caller, createCaller } from "../src/caller.ts";
import { createSeededRandom, type RandomSource } from "../src/core/random.ts";
import { type ChatMessage, outputTokens } from "../stand_ins/engine_text.ts";
import {
  type FleetProcesses,
  startFleetProcesses,
} from "../stand_ins/fleet_processes.ts";
import { STAND_IN_MODEL, workspaceKey } from "../stand_ins/fleet_text.ts";
import type {
  Invariant,
  InvariantOptions,
  InvariantOutcome,
} from "./invariant.ts";
import { sleep } from "./router_status.ts";

const WORKSPACE = "temple";
const ROUTERS = 4;
const DEFAULT_ROUNDS = 3;
const CHATS_PER_ROUND = 40;
const CHAT_SPREAD_MILLISECONDS = 1_500;
const MINIMUM_TOKENS = 20;
const TOKEN_COUNT_SPREAD = 60;
const DEADLINE_MILLISECONDS = 15_000;
const FAULT_PERIOD_MILLISECONDS = 300;
/**
 * Faults per round that close a connection without a response. Each costs a retry,
 * and routers limit retries to a tenth of their requests.
 */
const CLOSING_FAULTS_PER_ROUND = 2;
/** Minimum ratio of complete responses, so that a run of mostly errors fails. */
const WHOLE_TARGET_RATIO = 0.9;

/** The result of a chat at its caller: tokens, or a typed error. */
interface ChatResult {
  readonly tokens: readonly string[];
  readonly error: string | undefined;
}

type SendChat = (
  fleet: FleetProcesses,
  messages: readonly ChatMessage[],
  chat: string,
  count: number,
) => Promise<ChatResult>;

interface ChatCounts {
  chats: number;
  whole: number;
  errors: number;
  readonly errorKinds: Record<string, number>;
  readonly faults: string[];
}

function splitTokens(text: string): string[] {
  return text.split(" ").filter((token) => token !== "");
}

/** Describes how a response differs from the expected tokens; undefined if equal. */
function findDifference(
  tokens: readonly string[],
  expected: readonly string[],
): string | undefined {
  const differing = expected.findIndex((token, index) =>
    tokens[index] !== token
  );
  if (differing < 0 && tokens.length === expected.length) return undefined;
  const position = differing < 0 ? expected.length : differing;
  const token = tokens[position];
  return `${tokens.length} of ${expected.length} tokens, first difference at ${position} (${token})`;
}

async function setEngineFaults(address: string, faults: object): Promise<void> {
  await fetch(`http://${address}/faults`, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(faults),
  });
}

/** Sets random faults at random engines until the round is over. */
async function injectEngineFaults(
  fleet: FleetProcesses,
  random: RandomSource,
  isOver: () => boolean,
): Promise<void> {
  let closed = 0;
  while (!isOver()) {
    const engine = fleet.engines[random.integer(fleet.engines.length)];
    const choice = random.integer(4);
    const faults = [
      {
        truncate_streams: 1 + random.integer(4),
        truncate_after_tokens: random.integer(MINIMUM_TOKENS),
      },
      { stall_milliseconds: 200 + random.integer(600) },
      { drop_replies: 1 },
      { close_after_body: 1 },
    ][choice] ?? {};
    const isAllowed = choice < 2 || ++closed <= CLOSING_FAULTS_PER_ROUND;
    if (engine && isAllowed) await setEngineFaults(engine.address, faults);
    await sleep(FAULT_PERIOD_MILLISECONDS);
  }
}

async function runRound(
  fleet: FleetProcesses,
  sendChat: SendChat,
  round: number,
  random: RandomSource,
  counts: ChatCounts,
): Promise<void> {
  let isOver = false;
  const injecting = injectEngineFaults(fleet, random, () => isOver);
  const chats = Array.from(
    { length: CHATS_PER_ROUND },
    async (_unused, index) => {
      const count = MINIMUM_TOKENS + random.integer(TOKEN_COUNT_SPREAD);
      const chat = `${round}-${index}`;
      const messages = [{ role: "user", content: `question of chat ${chat}` }];
      await sleep(random.integer(CHAT_SPREAD_MILLISECONDS));
      const result = await sendChat(fleet, messages, chat, count);
      counts.chats++;
      if (result.error !== undefined) {
        counts.errors++;
        counts.errorKinds[result.error] =
          (counts.errorKinds[result.error] ?? 0) + 1;
        return;
      }
      const difference = findDifference(
        result.tokens,
        outputTokens(messages, count),
      );
      if (difference === undefined) counts.whole++;
      else counts.faults.push(`chat ${chat}: ${difference}`);
    },
  );
  const killed = random.integer(ROUTERS);
  await sleep(CHAT_SPREAD_MILLISECONDS / 2);
  await fleet.routers[killed]?.kill();
  await Promise.all(chats);
  isOver = true;
  await injecting;
  await fleet.restartRouter(killed);
}

async function runRounds(
  { seed, rounds }: InvariantOptions,
  createChatSender: (fleet: FleetProcesses) => {
    sendChat: SendChat;
    close: () => Promise<void>;
  },
): Promise<InvariantOutcome> {
  const fleet = await startFleetProcesses({
    dataCentres: ["north", "south"],
    routers: ROUTERS,
    engines: 3,
    services: 1,
    workspaces: [WORKSPACE],
    keepMilliseconds: 1_000,
  });
  const { sendChat, close } = createChatSender(fleet);
  const counts: ChatCounts = {
    chats: 0,
    whole: 0,
    errors: 0,
    errorKinds: {},
    faults: [],
  };
  try {
    for (let round = 0; round < (rounds ?? DEFAULT_ROUNDS); round++) {
      const random = createSeededRandom(seed * 1_000 + round);
      await runRound(fleet, sendChat, round, random, counts);
    }
    if (counts.whole < WHOLE_TARGET_RATIO * counts.chats) {
      counts.faults.push(
        `only ${counts.whole} of ${counts.chats} got a complete response`,
      );
    }
    const { faults, errorKinds, ...figures } = counts;
    return { faults, figures: { ...figures, ...errorKinds } };
  } finally {
    await close();
    await fleet.stop();
  }
}

async function chatWithCaller(
  caller: Caller,
  ...[, messages, chat, count]: Parameters<SendChat>
): Promise<ChatResult> {
  let text = "";
  let isDone = false;
  for await (
    const event of caller.chat({
      model: STAND_IN_MODEL,
      messages,
      chat,
      maximumTokens: count,
      deadlineMilliseconds: DEADLINE_MILLISECONDS,
    })
  ) {
    if (event.isErr()) {
      return {
        tokens: [],
        error: `${event.error.error.kind} (${event.error.error.detail})`,
      };
    }
    text += event.value.text;
    isDone = event.value.done;
  }
  // A stream without an end mark or an error counts as a response, but not as whole.
  return {
    tokens: splitTokens(isDone ? text : `${text} <no end>`),
    error: undefined,
  };
}

/** Sends a chat and takes the end of the connection as the end of the response. */
async function chatNaively(
  ...[fleet, messages, chat, count]: Parameters<SendChat>
): Promise<ChatResult> {
  const router = fleet.routerAddresses[Number(chat.split("-")[1]) % ROUTERS];
  let text = "";
  try {
    const response = await fetch(
      `http://${router}/v1/chat/completions`,
      {
        method: "POST",
        headers: { authorization: `Bearer ${workspaceKey(WORKSPACE)}` },
        body: JSON.stringify({
          model: STAND_IN_MODEL,
          messages,
          max_tokens: count,
          stream: true,
        }),
      },
    );
    if (!response.ok || !response.body) {
      return { tokens: [], error: `status ${response.status}` };
    }
    const decoder = new TextDecoder();
    for await (const bytes of response.body) {
      text += decoder.decode(bytes as Uint8Array, { stream: true });
    }
  } catch {
    if (text === "") return { tokens: [], error: "connection lost" };
  }
  const contents = [...text.matchAll(/"content":"([^"]*)"/g)];
  return {
    tokens: contents.flatMap(([, token]) => splitTokens(token ?? "")),
    error: undefined,
  };
}

/** Streams under faults, with the caller library and with a naive client. */
export const WHOLE_ANSWERS_INVARIANTS: readonly Invariant[] = [
  {
    name: "whole_answers",
    guarantee:
      "every caller gets its own complete response or a typed error, with no missing or duplicate token",
    isNegativeControl: false,
    run: (options: InvariantOptions) =>
      runRounds(options, (fleet) => {
        const caller = createCaller({
          routers: fleet.routerAddresses,
          workspaceKey: workspaceKey(WORKSPACE),
          random: createSeededRandom(options.seed),
        });
        return {
          sendChat: (...parameters) => chatWithCaller(caller, ...parameters),
          close: () => caller.close(),
        };
      }),
  },
  {
    name: "whole_answers_naive",
    guarantee:
      "the same check with callers that take the end of a connection as the end of the response",
    isNegativeControl: true,
    run: (options: InvariantOptions) =>
      runRounds(options, () => ({
        sendChat: chatNaively,
        close: async () => undefined,
      })),
  },
];
