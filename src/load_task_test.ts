import test from "ava";
import { err } from "neverthrow";
import { ConfigurationView } from "./configuration_view.ts";
import { createError } from "./core/errors.ts";
import {
  brandId,
  type DataCentreId,
  type HostId,
  type IncarnationId,
  type SocketAddress,
} from "./core/ids.ts";
import { pickByRendezvous } from "./core/rendezvous.ts";
import { aggregatorKey } from "./core/summary_tree.ts";
import { LOAD_PERIOD_MILLISECONDS, LoadTask } from "./load_task.ts";
import { type Member, MembershipView } from "./membership_view.ts";
import type { PeerHandler } from "./peer_network.ts";
import { createManualTimerService } from "./timer_service.ts";
import { StandInPeerNetwork } from "../stand_ins/stand_in_peer_network.ts";

const EAST = brandId<DataCentreId>("east");

function createMember(index: number, dataCentre: string): Member {
  return {
    host: brandId<HostId>(`host-${index}`),
    dataCentre: brandId<DataCentreId>(dataCentre),
    address: brandId<SocketAddress>(`127.0.0.1:${7_000 + index}`),
    callerAddress: brandId<SocketAddress>(`127.0.0.1:${8_000 + index}`),
    incarnation: brandId<IncarnationId>(`incarnation-${index}`),
    leaving: false,
  };
}

const SELF = createMember(0, "west");
const EAST_MEMBERS = [createMember(1, "east"), createMember(2, "east")];

class _FixedMembership extends MembershipView {
  override self(): Member {
    return SELF;
  }
  override liveMembers(): readonly Member[] {
    return [SELF, ...EAST_MEMBERS];
  }
  override onChange(): void {}
}

class _NoConfiguration extends ConfigurationView {
  override current(): undefined {}
  override onChange(): void {}
}

interface _Sent {
  readonly to: SocketAddress;
  readonly body: unknown;
}

class _RecordingNetwork extends StandInPeerNetwork {
  readonly handlers = new Map<string, PeerHandler>();
  sent: _Sent[] = [];

  override start() {
    return Promise.resolve(SELF.address);
  }
  override send(to: SocketAddress, _kind: string, body: unknown): void {
    this.sent.push({ to, body });
  }
  override request(to: SocketAddress) {
    return Promise.resolve(err(createError("peer_unreachable", to)));
  }
  override handle(kind: string, handler: PeerHandler): void {
    this.handlers.set(kind, handler);
  }
}

test("guards against a new aggregator not receiving the loads of data centres that do not know it yet", async (t) => {
  const network = new _RecordingNetwork();
  const timers = createManualTimerService();
  const task = new LoadTask({
    members: new _FixedMembership(),
    configuration: new _NoConfiguration(),
    network,
    timers,
  });
  await task.start();
  timers.advance(LOAD_PERIOD_MILLISECONDS);
  const known = pickByRendezvous(
    aggregatorKey(EAST),
    EAST_MEMBERS,
    (member) => member.host,
  );
  for (const member of EAST_MEMBERS) {
    network.sent = [];
    const exchange = { dataCentre: EAST, pools: [], loads: new Uint8Array() };
    // Aggregators that do not know each other must not reply endlessly.
    for (let received = 0; received < 3; received++) {
      await network.handlers.get("load.report")?.(exchange, member);
    }
    const recipients = network.sent.map(({ to }) => to);
    t.deepEqual(recipients, member === known ? [] : [member.address]);
  }
  await task.stop();
});
