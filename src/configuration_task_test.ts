import test, { type ExecutionContext } from "ava";
import { PlatformStore } from "../stand_ins/platform_store.ts";
import { createStoreClient } from "../stand_ins/store_client.ts";
import {
  type ConfigurationTask,
  createConfigurationTask,
} from "./configuration_task.ts";
import { applyFleet, changeDrains } from "./core/configuration_apply.ts";
import { safeParseFleet } from "./core/fleet_file.ts";
import { brandId, type SocketAddress } from "./core/ids.ts";
import { createSeededRandom } from "./core/random.ts";
import { type Member, MembershipView } from "./membership_view.ts";
import type { PeerIdentity, PeerNetwork } from "./peer_network.ts";
import type { PlatformClient } from "./platform_client.ts";
import { createTcpPeerNetwork } from "./tcp_peer_network.ts";
import { createSystemTimerService } from "./timer_service.ts";

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

interface Router {
  readonly task: ConfigurationTask;
  readonly client: PlatformClient;
  readonly network: PeerNetwork;
}

class TestFleet {
  readonly store = new PlatformStore();
  readonly members: Member[] = [];
  readonly timers = createSystemTimerService();
  #applies = 0;

  async addRouter(t: ExecutionContext, dataCentre: string): Promise<Router> {
    const host = `host-${this.members.length}`;
    const identity: Omit<PeerIdentity, "address"> = {
      host: brandId(host),
      dataCentre: brandId(dataCentre),
      incarnation: brandId(host),
    };
    const network = createTcpPeerNetwork({
      host: "127.0.0.1",
      port: 0,
      fleetKey: "a fleet key of 16",
      identity,
    });
    const address = await network.start();
    const member: Member = {
      ...identity,
      address,
      callerAddress: brandId<SocketAddress>(""),
      leaving: false,
    };
    this.members.push(member);
    const client = createStoreClient(this.store);
    const membership = new FixedMembership(member, this.members);
    const random = createSeededRandom(this.members.length);
    const task = createConfigurationTask({
      network,
      platform: client,
      membership,
      timers: this.timers,
      random,
    });
    t.teardown(async () => {
      await task.stop();
      await network.stop();
    });
    return { task, client, network };
  }

  async apply(name: string): Promise<void> {
    const fleet = safeParseFleet(`[fleet]\nname = ${name}\n`)._unsafeUnwrap();
    const applied = await applyFleet(fleet, this.options());
    applied._unsafeUnwrap();
  }

  options() {
    const client = createStoreClient(this.store);
    const applyId = `apply-${++this.#applies}`;
    return {
      client,
      applyId,
      wallMilliseconds: Date.now,
      sleep: (ms: number) => this.timers.sleep(ms, "apply"),
    };
  }

  async until(
    condition: () => boolean,
    timeoutMilliseconds: number,
  ): Promise<boolean> {
    const deadline = Date.now() + timeoutMilliseconds;
    while (!condition() && Date.now() < deadline) {
      await this.timers.sleep(10, "test");
    }
    return condition();
  }
}

async function startFleet(
  t: ExecutionContext,
  perDataCentre: number,
): Promise<{ fleet: TestFleet; routers: Router[] }> {
  const fleet = new TestFleet();
  const routers: Router[] = [];
  for (let index = 0; index < perDataCentre * 2; index++) {
    routers.push(await fleet.addRouter(t, index % 2 ? "loja-a" : "loja-b"));
  }
  for (const { task } of routers) await task.start();
  return { fleet, routers };
}

function isInForce(routers: readonly Router[], generation: number): boolean {
  return routers.every(({ task }) =>
    task.view.current()?.generation === generation
  );
}

test("guards against a change that does not reach every router, or makes every router call the platform", async (t) => {
  const { fleet, routers } = await startFleet(t, 6);
  await fleet.apply("one");
  await Promise.all(routers.map(({ task }) => task.whenReady()));
  t.true(await fleet.until(() => isInForce(routers, 1), 2_000));
  const before = routers.map(({ client }) => ({ ...client.counters() }));
  await fleet.apply("two");
  t.true(await fleet.until(() => isInForce(routers, 2), 2_000));
  await changeDrains(
    (drains) => ({ ...drains, hosts: ["host-1"] }),
    fleet.options(),
  );
  t.true(await fleet.until(() => isInForce(routers, 3), 2_000));
  t.deepEqual(routers[7]?.task.view.current()?.drains.hosts, ["host-1"]);
  const calling = routers.filter(({ client }, index) =>
    client.counters().watches > (before[index]?.watches ?? 0) ||
    client.counters().reads > (before[index]?.reads ?? 0) + 2
  );
  t.true(calling.length <= 4, `${calling.length} routers called the platform`);
});

test("guards against a router that cannot start during a platform outage", async (t) => {
  const { fleet, routers } = await startFleet(t, 2);
  await fleet.apply("one");
  await Promise.all(routers.map(({ task }) => task.whenReady()));
  fleet.store.faults.outage = true;
  const late = await fleet.addRouter(t, "loja-a");
  await late.task.start();
  await late.task.whenReady();
  t.is(late.task.view.current()?.fleet.fleet.name, "one");
});

test("guards against a router that is ready without a configuration, or before it queried any source", async (t) => {
  const { fleet, routers } = await startFleet(t, 1);
  await fleet.timers.sleep(300, "test");
  t.false(routers.some(({ task }) => task.isReady()));
  await fleet.apply("one");
  t.true(
    await fleet.until(() => routers.every(({ task }) => task.isReady()), 2_000),
  );
});

test("guards against a change missed because a watch fails silently", async (t) => {
  const { fleet, routers } = await startFleet(t, 2);
  fleet.store.faults.silentWatches = true;
  await fleet.apply("one");
  t.true(await fleet.until(() => isInForce(routers, 1), 5_000));
  fleet.store.endWatches();
  await fleet.timers.sleep(300, "test");
  await fleet.apply("two");
  t.true(await fleet.until(() => isInForce(routers, 2), 5_500));
});

test("guards against adopting the configuration of a store that was rolled back", async (t) => {
  const { fleet, routers } = await startFleet(t, 2);
  await fleet.apply("one");
  await fleet.apply("two");
  t.true(await fleet.until(() => isInForce(routers, 2), 2_000));
  fleet.store.rollBack(1);
  function isAlarmRaised(): boolean {
    return routers.some(({ task }) =>
      task.alarms().includes("configuration_store_went_back")
    );
  }
  t.true(await fleet.until(isAlarmRaised, 8_000));
  t.true(isInForce(routers, 2));
  t.true(
    (await applyFleet(safeParseFleet("")._unsafeUnwrap(), fleet.options()))
      .isErr(),
  );
  await applyFleet(safeParseFleet("")._unsafeUnwrap(), {
    ...fleet.options(),
    generation: 3,
  });
  t.true(await fleet.until(() => isInForce(routers, 3), 2_000));
  t.true(await fleet.until(() => !isAlarmRaised(), 6_000));
});
