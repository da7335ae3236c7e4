/**
 * In-process fleet for benchmarks of production tasks: an in-memory network
 * that encodes every frame and counts messages and bytes per router, with
 * manually advanced time.
 */
import { setImmediate } from "node:timers/promises";
import { err, ok } from "neverthrow";
import { ConfigurationView } from "../src/configuration_view.ts";
import { createError } from "../src/core/errors.ts";
import type { ConfigurationSnapshot } from "../src/core/fleet_schema.ts";
import { brandId, type SocketAddress } from "../src/core/ids.ts";
import {
  createFrameReader,
  encodeFrame,
  FRAME_VERSION,
} from "../src/frame_codec.ts";
import { type Member, MembershipView } from "../src/membership_view.ts";
import type { PeerHandler, PeerNetwork } from "../src/peer_network.ts";
import { createManualTimerService } from "../src/timer_service.ts";
import { StandInPeerNetwork } from "../stand_ins/stand_in_peer_network.ts";

/** TCP and IP headers per message, including an acknowledgement. */
export const MESSAGE_OVERHEAD_BYTES = 60;
const STEP_MILLISECONDS = 50;

/** Messages and bytes that one router sent and received. */
export interface Traffic {
  messagesSent: number;
  messagesReceived: number;
  bytesSent: number;
  bytesReceived: number;
}

/** Returns the sum of bytes sent and received. */
export function totalBytes({ bytesSent, bytesReceived }: Traffic): number {
  return bytesSent + bytesReceived;
}

/** Returns the sum of messages sent and received. */
export function totalMessages(
  { messagesSent, messagesReceived }: Traffic,
): number {
  return messagesSent + messagesReceived;
}

/** Configuration view that always returns the same snapshot. */
export class FixedConfiguration extends ConfigurationView {
  readonly #snapshot: ConfigurationSnapshot;

  constructor(snapshot: ConfigurationSnapshot) {
    super();
    this.#snapshot = snapshot;
  }

  override current(): ConfigurationSnapshot {
    return this.#snapshot;
  }

  override onChange(): void {}
}

/** Fleet of routers in one process that share a network and a clock. */
export class MemoryFleet {
  readonly timers = createManualTimerService();
  readonly members: readonly Member[];
  readonly traffic: readonly Traffic[];
  readonly handlers = new Map<
    SocketAddress,
    { readonly index: number; readonly byKind: Map<string, PeerHandler> }
  >();

  constructor(size: number, dataCentres: number) {
    this.members = Array.from({ length: size }, (_unused, index) => ({
      host: brandId(`host-${index}`),
      dataCentre: brandId(`data-centre-${index % dataCentres}`),
      address: brandId(`10.0.${index >> 8}.${index & 255}:7080`),
      callerAddress: brandId(`10.0.${index >> 8}.${index & 255}:8080`),
      incarnation: brandId(`host-${index}.0123456789abcdef`),
      leaving: false,
    }));
    this.traffic = this.members.map(() => ({
      messagesSent: 0,
      messagesReceived: 0,
      bytesSent: 0,
      bytesReceived: 0,
    }));
  }

  view(index: number): MembershipView {
    return new _View(this, index);
  }

  network(index: number): PeerNetwork {
    return new _Network(this, index);
  }

  /** Advances time in small steps and runs pending promises after each. */
  async run(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      this.timers.advance(STEP_MILLISECONDS);
      await setImmediate();
    }
  }

  /** Resets the traffic counters of all routers. */
  resetTraffic(): void {
    for (const traffic of this.traffic) {
      Object.assign(traffic, {
        messagesSent: 0,
        messagesReceived: 0,
        bytesSent: 0,
        bytesReceived: 0,
      });
    }
  }

  /** Encodes and decodes a body and counts it at its sender and receiver. */
  transfer(
    from: number,
    to: number,
    kind: string,
    isReply: boolean,
    body: unknown,
  ) {
    const bytes = encodeFrame({
      v: FRAME_VERSION,
      k: kind,
      i: 1_000,
      r: isReply,
      g: 1_000,
      b: body,
    })._unsafeUnwrap();
    const size = bytes.length + MESSAGE_OVERHEAD_BYTES;
    const [sender, receiver] = [this.traffic[from], this.traffic[to]];
    if (sender && receiver) {
      sender.messagesSent++;
      sender.bytesSent += size;
      receiver.messagesReceived++;
      receiver.bytesReceived += size;
    }
    return createFrameReader().push(bytes)._unsafeUnwrap()[0]?.b;
  }
}

class _View extends MembershipView {
  readonly #fleet: MemoryFleet;
  readonly #index: number;

  constructor(fleet: MemoryFleet, index: number) {
    super();
    this.#fleet = fleet;
    this.#index = index;
  }

  override self(): Member {
    return this.#fleet.members[this.#index] as Member;
  }

  override liveMembers(): readonly Member[] {
    return this.#fleet.members;
  }

  override onChange(): void {}
}

class _Network extends StandInPeerNetwork {
  readonly #fleet: MemoryFleet;
  readonly #index: number;
  readonly #self: Member;
  readonly #byKind = new Map<string, PeerHandler>();

  constructor(fleet: MemoryFleet, index: number) {
    super();
    this.#fleet = fleet;
    this.#index = index;
    this.#self = fleet.members[index] as Member;
    fleet.handlers.set(this.#self.address, { index, byKind: this.#byKind });
  }

  override start() {
    return Promise.resolve(this.#self.address);
  }

  override send(to: SocketAddress, kind: string, body: unknown): void {
    const target = this.#fleet.handlers.get(to);
    if (!target) return;
    const received = this.#fleet.transfer(
      this.#index,
      target.index,
      kind,
      false,
      body,
    );
    void target.byKind.get(kind)?.(received, this.#self);
  }

  override async request(to: SocketAddress, kind: string, body: unknown) {
    const target = this.#fleet.handlers.get(to);
    const handler = target?.byKind.get(kind);
    if (!target || !handler) return err(createError("peer_unreachable", to));
    const fleet = this.#fleet;
    const received = fleet.transfer(
      this.#index,
      target.index,
      kind,
      false,
      body,
    );
    const reply = await handler(received, this.#self);
    return ok(fleet.transfer(target.index, this.#index, kind, true, reply));
  }

  override handle(kind: string, handler: PeerHandler): void {
    this.#byKind.set(kind, handler);
  }

  override counters() {
    return this.#fleet.traffic[this.#index] as Traffic;
  }
}
