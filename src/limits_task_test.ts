import test from "ava";
import { ok } from "neverthrow";
import {
  brandId,
  type DataCentreId,
  type HostId,
  type IncarnationId,
  type SocketAddress,
  type WorkspaceId,
} from "./core/ids.ts";
import { createLimitsTask, type LimitsTask } from "./limits_task.ts";
import { type Member, MembershipView } from "./membership_view.ts";
import type { PeerHandler, PeerNetwork } from "./peer_network.ts";
import { createManualTimerService } from "./timer_service.ts";

const LIMITS = { requestsPerSecond: 100, concurrency: 30, addresses: 3 };

class FixedMembership extends MembershipView {
  readonly #self: Member;
  readonly #members: readonly Member[];

  constructor(self: Member, members: readonly Member[]) {
    super();
    this.#self = self;
    this.#members = members;
  }

  override self(): Member {
    return this.#self;
  }

  override liveMembers(): readonly Member[] {
    return this.#members;
  }

  override onChange(): void {}
}

test("guards against message counts that grow with workspaces, or shares whose sum exceeds the limit", async (t) => {
  const timers = createManualTimerService();
  const members = [0, 1, 2].map((index) => ({
    host: brandId<HostId>(`host-${index}`),
    dataCentre: brandId<DataCentreId>("asahikawa"),
    address: brandId<SocketAddress>(`127.0.0.1:${index}`),
    callerAddress: brandId<SocketAddress>(`127.0.0.1:${index}`),
    incarnation: brandId<IncarnationId>(`incarnation-${index}`),
    leaving: false,
  }));
  const handlers = new Map<string, PeerHandler>();
  let messages = 0;
  const tasks: LimitsTask[] = [];
  for (const member of members) {
    const network = {
      handle: (_kind: string, handler: PeerHandler) =>
        void handlers.set(member.address, handler),
      request: async (to: string, _kind: string, body: unknown) => {
        messages++;
        return ok(handlers.get(to)?.(body, member));
      },
    } as unknown as PeerNetwork;
    const view = new FixedMembership(member, members);
    const task = createLimitsTask({
      network,
      timers,
      view,
      limitsOf: () => LIMITS,
    });
    await task.start();
    tasks.push(task);
  }
  const workspaces = Array.from(
    { length: 40 },
    (_unused, index) => brandId<WorkspaceId>(`workspace-${index}`),
  );
  const rounds = 10;
  for (let round = 0; round < rounds; round++) {
    for (const task of tasks) {
      const now = timers.clock.monotonicMilliseconds();
      for (const workspace of workspaces) task.tryAcquire(workspace, now);
    }
    timers.advance(500);
    await new Promise((resolve) => setImmediate(resolve));
  }
  // Each of three routers sends each of the others at most one message a round.
  t.true(messages <= 3 * 2 * rounds, `${messages}`);
  t.true(messages > 0);
  const totals = new Map<string, number>();
  for (const task of tasks) {
    const { shares } = task.describe() as {
      shares: { workspace: string; rate: number; leased: boolean }[];
    };
    for (const { workspace, rate, leased } of shares) {
      t.true(leased);
      totals.set(workspace, (totals.get(workspace) ?? 0) + rate);
    }
  }
  t.is(totals.size, workspaces.length);
  for (const total of totals.values()) {
    t.true(total <= LIMITS.requestsPerSecond + 1e-6, `${total}`);
  }
});
