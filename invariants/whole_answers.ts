/**
 * Whole answers: engines cut, stall and drop streams, and a router is killed in
 * the middle of them, while many chats run in parallel. Each caller gets its own
 * complete answer or a typed error, and no token is missing or doubled.
 */
import { type Caller, createCaller } from "../src/caller.ts";
import { createSeededRandom, type RandomSource } from "../src/core/random.ts";
import { answerTokens, type ChatMessage } from "../stand_ins/engine_text.ts";
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
const TOKEN_SPREAD = 60;
const DEADLINE_MILLISECONDS = 15_000;
const FAULT_PERIOD_MILLISECONDS = 300;
/**
 * Connections that engines close without an answer in a round. Each costs a
 * retry, and routers retry no more than a tenth of their requests.
 */
const CLOSED_PER_ROUND = 2;
/** Share of chats that must end with a whole answer, so that errors are no way out. */
const WHOLE_TARGET = 0.9;

/** What a caller holds at the end of a chat: tokens, or a typed error. */
interface ChatEnd {
  readonly tokens: readonly string[];
  readonly error: string | undefined;
}

type Ask = (
  fleet: FleetProcesses,
  messages: readonly ChatMessage[],
  chat: string,
  count: number,
) => Promise<ChatEnd>;

interface Tally {
  chats: number;
  whole: number;
  errors: number;
  readonly errorKinds: Record<string, number>;
  readonly faults: string[];
}

function splitTokens(text: string): string[] {
  return text.split(" ").filter((token) => token !== "");
}

/** Names what is wrong with an answer; undefined for a whole one. */
function findDamage(
  tokens: readonly string[],
  expected: readonly string[],
): string | undefined {
  const place = expected.findIndex((token, index) => tokens[index] !== token);
  if (place < 0 && tokens.length === expected.length) return undefined;
  const token = tokens[place < 0 ? expected.length : place];
  return `${tokens.length} of ${expected.length} tokens, differs at ${place} (${token})`;
}

async function setEngineFaults(address: string, faults: object): Promise<void> {
  await fetch(`http://${address}/faults`, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(faults),
  });
}

/** Sets faults of random engines until it is stopped. */
async function disturbEngines(
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
    const isAllowed = choice < 2 || ++closed <= CLOSED_PER_ROUND;
    if (engine && isAllowed) await setEngineFaults(engine.address, faults);
    await sleep(FAULT_PERIOD_MILLISECONDS);
  }
}

async function runRound(
  fleet: FleetProcesses,
  ask: Ask,
  round: number,
  random: RandomSource,
  tally: Tally,
): Promise<void> {
  let over = false;
  const disturbing = disturbEngines(fleet, random, () => over);
  const chats = Array.from(
    { length: CHATS_PER_ROUND },
    async (_unused, index) => {
      const count = MINIMUM_TOKENS + random.integer(TOKEN_SPREAD);
      const chat = `${round}-${index}`;
      const messages = [{ role: "user", content: `question of chat ${chat}` }];
      await sleep(random.integer(CHAT_SPREAD_MILLISECONDS));
      const end = await ask(fleet, messages, chat, count);
      tally.chats++;
      if (end.error !== undefined) {
        tally.errors++;
        tally.errorKinds[end.error] = (tally.errorKinds[end.error] ?? 0) + 1;
        return;
      }
      const damage = findDamage(end.tokens, answerTokens(messages, count));
      if (damage === undefined) tally.whole++;
      else tally.faults.push(`chat ${chat}: ${damage}`);
    },
  );
  const victim = random.integer(ROUTERS);
  await sleep(CHAT_SPREAD_MILLISECONDS / 2);
  await fleet.routers[victim]?.kill();
  await Promise.all(chats);
  over = true;
  await disturbing;
  await fleet.restartRouter(victim);
}

async function runRounds(
  { seed, rounds }: InvariantOptions,
  createAsk: (fleet: FleetProcesses) => {
    ask: Ask;
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
  const { ask, close } = createAsk(fleet);
  const tally: Tally = {
    chats: 0,
    whole: 0,
    errors: 0,
    errorKinds: {},
    faults: [],
  };
  try {
    for (let round = 0; round < (rounds ?? DEFAULT_ROUNDS); round++) {
      const random = createSeededRandom(seed * 1_000 + round);
      await runRound(fleet, ask, round, random, tally);
    }
    if (tally.whole < WHOLE_TARGET * tally.chats) {
      tally.faults.push(`only ${tally.whole} of ${tally.chats} were answered`);
    }
    const { faults, errorKinds, ...figures } = tally;
    return { faults, figures: { ...figures, ...errorKinds } };
  } finally {
    await close();
    await fleet.stop();
  }
}

async function askCaller(
  caller: Caller,
  ...[, messages, chat, count]: Parameters<Ask>
): Promise<ChatEnd> {
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
  // A stream that ends with neither its end mark nor an error counts as an answer.
  return {
    tokens: splitTokens(isDone ? text : `${text} <no end>`),
    error: undefined,
  };
}

/** Takes the end of the connection as the end of the answer. */
async function askNaively(
  ...[fleet, messages, chat, count]: Parameters<Ask>
): Promise<ChatEnd> {
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

/** Streams under faults, with the caller library and with a naive caller. */
export const WHOLE_ANSWERS_INVARIANTS: readonly Invariant[] = [
  {
    name: "whole_answers",
    promise:
      "every caller gets its own complete answer or a typed error, no token missing or doubled",
    isNaive: false,
    run: (options: InvariantOptions) =>
      runRounds(options, (fleet) => {
        const caller = createCaller({
          routers: fleet.routerAddresses,
          workspaceKey: workspaceKey(WORKSPACE),
          random: createSeededRandom(options.seed),
        });
        return {
          ask: (...parameters) => askCaller(caller, ...parameters),
          close: () => caller.close(),
        };
      }),
  },
  {
    name: "whole_answers_naive",
    promise:
      "the same check with callers that take the end of a connection as the end of the answer",
    isNaive: true,
    run: (options: InvariantOptions) =>
      runRounds(options, () => ({
        ask: askNaively,
        close: async () => undefined,
      })),
  },
];
