import test from "ava";
import { err, ok, type Result } from "neverthrow";
import { ChatHomeTask } from "./chat_home_task.ts";
import { type ApplicationError, createError } from "./core/errors.ts";
import { type BackendServerId, brandId, type ChatId } from "./core/ids.ts";
import type { WorkspaceId } from "./core/ids.ts";
import { type Member, MembershipView } from "./membership_view.ts";
import {
  type PeerHandler,
  type PeerIdentity,
  type PeerMessageKind,
} from "./peer_network.ts";
import { createManualTimerService } from "./timer_service.ts";
import { StandInPeerNetwork } from "../stand_ins/stand_in_peer_network.ts";

const SERVER = brandId<BackendServerId>("engine-1");
const ANY_PEER = {} as PeerIdentity;

/** Calls other routers' handlers directly; requests to `cut` addresses fail. */
class _LocalNetwork extends StandInPeerNetwork {
  readonly #address: string;
  readonly #fleet: Map<string, Map<PeerMessageKind, PeerHandler>>;
  readonly #cut: ReadonlySet<string>;

  constructor(
    address: string,
    fleet: Map<string, Map<PeerMessageKind, PeerHandler>>,
    cut: ReadonlySet<string>,
  ) {
    super();
    this.#address = address;
    this.#fleet = fleet.set(address, new Map());
    this.#cut = cut;
  }
  override async start() {
    return brandId<Member["address"]>(this.#address);
  }
  override send(to: string, kind: PeerMessageKind, body: unknown) {
    void this.request(to, kind, body);
  }
  override async request(
    to: string,
    kind: PeerMessageKind,
    body: unknown,
  ): Promise<Result<unknown, ApplicationError>> {
    const handler = this.#fleet.get(to)?.get(kind);
    if (!handler || this.#cut.has(to)) {
      return err(createError("peer_unreachable", to));
    }
    return ok(await handler(structuredClone(body), ANY_PEER));
  }
  override handle(kind: PeerMessageKind, handler: PeerHandler) {
    this.#fleet.get(this.#address)?.set(kind, handler);
  }
}

class _SharedMembership extends MembershipView {
  readonly #members: readonly Member[];
  readonly #self: Member;
  readonly #listeners: (() => void)[];
  constructor(
    members: readonly Member[],
    self: Member,
    listeners: (() => void)[],
  ) {
    super();
    this.#members = members;
    this.#self = self;
    this.#listeners = listeners;
  }
  override self() {
    return this.#self;
  }
  override liveMembers() {
    return this.#members;
  }
  override onChange(listener: () => void) {
    this.#listeners.push(listener);
  }
}

async function startRouters(size: number) {
  const timers = createManualTimerService();
  const handlers = new Map<string, Map<PeerMessageKind, PeerHandler>>();
  const cut = new Set<string>();
  const listeners: (() => void)[] = [];
  const members = Array.from({ length: size }, (_unused, index): Member => ({
    host: brandId(`host-${index}`),
    dataCentre: brandId("d"),
    address: brandId(`peer-${index}`),
    callerAddress: brandId(`caller-${index}`),
    incarnation: brandId(`i-${index}`),
    leaving: false,
  }));
  const tasks = members.map((member) =>
    new ChatHomeTask({
      network: new _LocalNetwork(member.address, handlers, cut),
      membership: new _SharedMembership(members, member, listeners),
      clock: timers.clock,
    })
  );
  for (const task of tasks) await task.start();
  function leave(index: number): void {
    members[index] = { ...(members[index] as Member), leaving: true };
    for (const listener of listeners) listener();
  }
  return { tasks: tasks as [ChatHomeTask, ChatHomeTask], cut, handlers, leave };
}

const WORKSPACE = brandId<WorkspaceId>("w");
const CHATS = Array.from(
  { length: 2_000 },
  (_unused, index) => brandId<ChatId>(`chat-${index}`),
);

async function countStored(task: ChatHomeTask, workspace = WORKSPACE) {
  const found = await Promise.all(
    CHATS.map((chat) => task.lookup(workspace, chat)),
  );
  return found.filter((servers) => servers[0]?.cachedTokens === 100).length;
}

test("guards against entries lost on a planned stop, and chats visible to another workspace", async (t) => {
  const { tasks, cut, leave } = await startRouters(5);
  for (const chat of CHATS) tasks[0].remember(WORKSPACE, chat, SERVER, 100);
  t.is(await countStored(tasks[1]), CHATS.length);
  t.is(await countStored(tasks[1], brandId<WorkspaceId>("other")), 0);
  leave(0);
  await tasks[0].stop();
  cut.add("peer-0");
  t.true(tasks[0].counters().entriesHandedOver > 200);
  t.is(tasks[0].counters().entriesLost, 0);
  t.is(await countStored(tasks[1]), CHATS.length);
});

test("guards against a lookup failing because the chat's home is unreachable or sends a malformed reply", async (t) => {
  const { tasks, cut, handlers } = await startRouters(2);
  for (const chat of CHATS) tasks[0].remember(WORKSPACE, chat, SERVER, 100);
  handlers.get("peer-1")?.set("chat.lookup", () => [{ cachedTokens: -1 }]);
  const local = await countStored(tasks[0]);
  t.true(local > 800 && local < 1_200, `${local}`);
  cut.add("peer-1");
  t.is(await countStored(tasks[0]), local);
  t.is(tasks[0].counters().failedLookups, 2 * (CHATS.length - local));
});

test("guards against malformed peer messages changing the table, and evicted chats being kept", async (t) => {
  const { tasks, handlers } = await startRouters(1);
  const chat = CHATS[0] as ChatId;
  const remember = handlers.get("peer-0")?.get("chat.remember");
  const servers = Array.from({ length: 4 }, () => ({}));
  for (
    const body of [undefined, "x", [{ workspace: 1 }], [{ chat, servers }]]
  ) {
    await remember?.(body, ANY_PEER);
  }
  t.is(tasks[0].counters().malformedMessages, 4);
  tasks[0].remember(WORKSPACE, chat, SERVER, 100);
  t.is((await tasks[0].lookup(WORKSPACE, chat)).length, 1);
  tasks[0].remember(WORKSPACE, chat, SERVER, 0);
  t.deepEqual(await tasks[0].lookup(WORKSPACE, chat), []);
});
