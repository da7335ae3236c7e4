/** The demo's callers: returning chats and non-idempotent calls, with checked responses. */
import { type Caller, createCaller } from "../src/caller.ts";
import type { CallFailure } from "../src/call_failure.ts";
import { createSeededRandom, type RandomSource } from "../src/core/random.ts";
import { answerText, type ChatMessage } from "../stand_ins/engine_text.ts";
import {
  STAND_IN_MODEL,
  STAND_IN_SERVICE,
  workspaceKey,
} from "../stand_ins/fleet_text.ts";

const SHARED_PROMPT_WORDS = 60;
const QUESTION_WORDS = 12;
const ANSWER_TOKENS = 24;
const MEAN_PAUSE_MILLISECONDS = 700;
const DEADLINE_MILLISECONDS = 20_000;

/** Outcomes of the requests as the callers saw them. */
export interface WorkloadCounts {
  requests: number;
  completed: number;
  notRun: number;
  unknown: number;
  /** Responses that were truncated, altered or of another request. */
  truncatedAnswers: number;
  promptTokens: number;
  cachedTokens: number;
  /** Items whose call failed as not run. */
  readonly notRunItems: string[];
  readonly completedItems: string[];
  /** Number of errors by kind and detail. */
  readonly errors: Map<string, number>;
}

/** Number of callers and the routers that they use. */
export interface WorkloadOptions {
  readonly routers: readonly string[];
  readonly workspaces: readonly string[];
  readonly chatsPerWorkspace: number;
  readonly callsPerWorkspace: number;
  readonly seed: number;
}

/** Callers that send requests until they are stopped. */
export interface Workload {
  readonly counts: WorkloadCounts;
  /** Waits until each caller has finished its current request, then closes it. */
  stop(): Promise<void>;
}

function _createWords(prefix: string, count: number): string {
  return Array.from({ length: count }, (_unused, index) => `${prefix}${index}`)
    .join(" ");
}

/** Returns the first message of a chat: the shared prompt of its workspace. */
export function openChat(workspace: string): ChatMessage[] {
  return [{
    role: "system",
    content: _createWords(`${workspace}-`, SHARED_PROMPT_WORDS),
  }];
}

/** Appends the question of a turn to a chat. */
export function askQuestion(
  messages: ChatMessage[],
  chat: string,
  turn: number,
): void {
  messages.push({
    role: "user",
    content: _createWords(`${chat}-${turn}-`, QUESTION_WORDS),
  });
}

/** Tokens that an engine generates in each turn. */
export const DEMO_ANSWER_TOKENS = ANSWER_TOKENS;

function _createCounts(): WorkloadCounts {
  return {
    requests: 0,
    completed: 0,
    notRun: 0,
    unknown: 0,
    truncatedAnswers: 0,
    promptTokens: 0,
    cachedTokens: 0,
    notRunItems: [],
    completedItems: [],
    errors: new Map(),
  };
}

/** Starts the callers. */
export function startWorkload(options: WorkloadOptions): Workload {
  const counts = _createCounts();
  const random = createSeededRandom(options.seed);
  const callers: Caller[] = [];
  let isStopping = false;

  function pause(chatRandom: RandomSource): Promise<void> {
    const milliseconds = -Math.log(1 - chatRandom.next()) *
      MEAN_PAUSE_MILLISECONDS;
    return new Promise((resolve) => setTimeout(resolve, milliseconds));
  }

  function countFailure({ kind, error }: CallFailure): void {
    if (kind === "not_run") counts.notRun++;
    else counts.unknown++;
    const name = `${kind}: ${error.kind} (${error.detail})`;
    counts.errors.set(name, (counts.errors.get(name) ?? 0) + 1);
  }

  async function runTurn(
    caller: Caller,
    chat: string,
    messages: ChatMessage[],
  ): Promise<void> {
    counts.requests++;
    let text = "";
    for await (
      const event of caller.chat({
        model: STAND_IN_MODEL,
        messages,
        chat,
        maximumTokens: ANSWER_TOKENS,
        deadlineMilliseconds: DEADLINE_MILLISECONDS,
      })
    ) {
      if (event.isErr()) return countFailure(event.error);
      text += event.value.text;
      counts.promptTokens += event.value.usage?.promptTokens ?? 0;
      counts.cachedTokens += event.value.usage?.cachedTokens ?? 0;
    }
    counts.completed++;
    if (text !== answerText(messages, ANSWER_TOKENS)) counts.truncatedAnswers++;
    messages.push({ role: "assistant", content: text });
  }

  async function runChat(
    caller: Caller,
    workspace: string,
    chat: string,
  ): Promise<void> {
    const chatRandom = createSeededRandom(random.integer(2 ** 31));
    const messages = openChat(workspace);
    for (let turn = 0; !isStopping; turn++) {
      await pause(chatRandom);
      askQuestion(messages, chat, turn);
      await runTurn(caller, chat, messages);
    }
  }

  /** Each call changes its own item, so that a duplicate run can be detected. */
  async function runCalls(
    caller: Caller,
    workspace: string,
    worker: number,
  ): Promise<void> {
    const chatRandom = createSeededRandom(random.integer(2 ** 31));
    for (let turn = 0; !isStopping; turn++) {
      await pause(chatRandom);
      counts.requests++;
      const item = `${workspace}-${worker}-${turn}`;
      const result = await caller.call({
        service: STAND_IN_SERVICE,
        method: "POST",
        path: `/slots/${item}/release`,
        deadlineMilliseconds: DEADLINE_MILLISECONDS,
      });
      if (result.isErr()) {
        countFailure(result.error);
        if (result.error.kind === "not_run") {
          counts.notRunItems.push(`slots/${item}`);
        }
      } else {
        counts.completed++;
        counts.completedItems.push(`slots/${item}`);
      }
    }
  }

  const callerLoops = options.workspaces.flatMap((workspace) => {
    const caller = createCaller({
      routers: options.routers,
      workspaceKey: workspaceKey(workspace),
      random: createSeededRandom(random.integer(2 ** 31)),
    });
    callers.push(caller);
    const chats = Array.from(
      { length: options.chatsPerWorkspace },
      (_unused, index) => runChat(caller, workspace, `chat-${index}`),
    );
    const calls = Array.from(
      { length: options.callsPerWorkspace },
      (_unused, index) => runCalls(caller, workspace, index),
    );
    return [...chats, ...calls];
  });

  return {
    counts,
    async stop() {
      isStopping = true;
      await Promise.all(callerLoops);
      await Promise.all(callers.map((caller) => caller.close()));
    },
  };
}
