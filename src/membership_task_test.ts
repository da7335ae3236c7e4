import test from "ava";
import {
  brandId,
  type DataCentreId,
  type HostId,
  type IncarnationId,
  type SocketAddress,
} from "./core/ids.ts";
import { createSeededRandom } from "./core/random.ts";
import {
  createMembershipTask,
  type MembershipTask,
} from "./membership_task.ts";
import type { PeerNetwork } from "./peer_network.ts";
import { createTcpPeerNetwork } from "./tcp_peer_network.ts";
import {
  createSystemTimerService,
  type TimerService,
} from "./timer_service.ts";

interface Router {
  readonly network: PeerNetwork;
  readonly timers: TimerService;
  readonly task: MembershipTask;
  readonly address: SocketAddress;
}

async function startRouter(
  index: number,
  seeds: readonly SocketAddress[],
): Promise<Router> {
  const identity = {
    host: brandId<HostId>(`host-${index}`),
    dataCentre: brandId<DataCentreId>(`data-centre-${index % 2}`),
    incarnation: brandId<IncarnationId>(`incarnation-${index}`),
  };
  const network = createTcpPeerNetwork({
    host: "127.0.0.1",
    port: 0,
    fleetKey: "a fleet key for tests",
    identity,
  });
  const timers = createSystemTimerService();
  const address = await network.start();
  const callerAddress = brandId<SocketAddress>("127.0.0.1:1");
  const task = createMembershipTask({
    network,
    timers,
    random: createSeededRandom(index + 1),
    self: { ...identity, address, callerAddress },
    seeds,
  });
  await task.start();
  return { network, timers, task, address };
}

async function waitUntil(
  condition: () => boolean,
  limit: number,
): Promise<boolean> {
  const end = performance.now() + limit;
  while (performance.now() < end) {
    if (condition()) return true;
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  return condition();
}

function liveCounts(routers: readonly Router[]): string {
  return routers.map(({ task }) => task.view.liveMembers().length).join();
}

function allSee(routers: readonly Router[], count: number): Promise<boolean> {
  return waitUntil(
    () => routers.every(({ task }) => task.view.liveMembers().length === count),
    5_000,
  );
}

test("guards against routers on TCP sockets that fail to join, to see a leaving router or to remove a killed one within 5 s", async (t) => {
  const first = await startRouter(0, []);
  const others = await Promise.all(
    [1, 2, 3, 4].map((index) => startRouter(index, [first.address])),
  );
  const routers = [first, ...others];
  t.true(await allSee(routers, 5), liveCounts(routers));

  const killed = routers.splice(4, 1)[0] as Router;
  killed.timers.stop();
  await killed.network.stop();
  t.true(await allSee(routers, 4), liveCounts(routers));

  let changes = 0;
  first.task.view.onChange(() => changes++);
  const leaver = routers[3] as Router;
  leaver.task.leave();
  t.true(
    await waitUntil(
      () => first.task.view.liveMembers().some(({ leaving }) => leaving),
      2_000,
    ),
  );
  t.is(liveCounts([first]), "4");
  t.true(changes > 0);
  await leaver.task.stop();
  await leaver.network.stop();
  routers.pop();
  t.true(await allSee(routers, 3), liveCounts(routers));

  for (const { task } of routers) await task.stop();
  for (const { network, timers } of routers) {
    timers.stop();
    await network.stop();
  }
});
