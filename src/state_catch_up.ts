/**
 * Passes changes of registrations on to peers, and fetches the state from a
 * peer when this router stays behind it: its own watch may be dead, or the
 * store may refuse it.
 */
import { z } from "zod";
import type { SocketAddress } from "./core/ids.ts";
import { hash32 } from "./core/rendezvous.ts";
import {
  type RegistryChanges,
  registryChangesSchema,
} from "./core/server_registry.ts";
import type { DecisionLog } from "./decision_log.ts";
import type { GatewayPeer } from "./gateway_peer.ts";
import {
  gatewayStateSchema,
  type GatewayStateTask,
} from "./gateway_state_task.ts";
import type {
  PeerIdentity,
  PeerMessageKind,
  PeerNetwork,
} from "./peer_network.ts";

/** Being behind a peer for this long means that no change is on its way. */
const BEHIND_MILLISECONDS = 300;
const STATE_TIMEOUT_MILLISECONDS = 1_000;
/** Routers that watch the registry in the store, out of all routers. */
const WATCHERS = 4;
/** A watching router that was silent for this long is replaced. */
const WATCHER_SILENCE_MILLISECONDS = 1_000;

/** What catching up needs. */
export interface StateCatchUpOptions {
  readonly network: PeerNetwork;
  readonly state: GatewayStateTask;
  readonly log: DecisionLog;
  readonly host: string;
  /** All peers that are known. */
  readonly peers: () => Iterable<GatewayPeer>;
  /** Addresses of peers that are heard. */
  readonly liveAddresses: () => readonly SocketAddress[];
  readonly now: () => number;
}

/** Keeps routers level with each other. */
export class StateCatchUp {
  readonly #options: StateCatchUpOptions;
  #isFetching = false;
  #isStopped = false;

  constructor(options: StateCatchUpOptions) {
    this.#options = options;
    const { network, state } = options;
    state.registryTask.setWatchDecision(() => this.#shouldWatch());
    state.registryTask.onChange((changes) => this.#pass(changes));
    network.handle("gateway.state", () => state.state());
    network.handle(
      "gateway.registry",
      (body, from) => this.#receive(body, from),
    );
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Fetches from a peer that is ahead for longer than changes travel. */
  check(): void {
    const now = this.#options.now();
    const { state } = this.#options;
    for (const peer of this.#options.peers()) {
      if (!this.#isAhead(peer)) {
        peer.behindSince = undefined;
        continue;
      }
      peer.behindSince ??= now;
      const isLate = now - peer.behindSince >= BEHIND_MILLISECONDS;
      if (isLate || !state.isKnown()) void this.#fetch(peer);
    }
  }

  #isAhead({ report }: GatewayPeer): boolean {
    if (!report) return false;
    const { state } = this.#options;
    const own = state.versions();
    return report.configurationVersion > own.configurationVersion ||
      (report.registryRevision > own.registryRevision &&
        report.registryDigest !== state.registry.digest);
  }

  /** Whether too few routers with a lower rank watch the registry. */
  #shouldWatch(): boolean {
    const now = this.#options.now();
    const ownRank = hash32(this.#options.host);
    let watchers = 0;
    for (const { report, identity, heardAt } of this.#options.peers()) {
      if (!report?.isWatching || !identity) continue;
      if (now - heardAt > WATCHER_SILENCE_MILLISECONDS) continue;
      if (hash32(identity.host) < ownRank) watchers++;
    }
    return watchers < WATCHERS;
  }

  #pass(changes: RegistryChanges): void {
    const { network, state, liveAddresses } = this.#options;
    if (!state.registryTask.isWatching) return;
    for (const address of liveAddresses()) {
      network.send(address, "gateway.registry", changes);
    }
  }

  #receive(body: unknown, from: PeerIdentity): void {
    if (this.#isStopped) return;
    const changes = registryChangesSchema.safeParse(body);
    if (!changes.success) {
      return this.#ignore(from.host, "gateway.registry", "malformed");
    }
    const { state } = this.#options;
    if (state.registryTask.receive(changes.data, from.host)) return;
    for (const peer of this.#options.peers()) {
      if (peer.address === from.address) void this.#fetch(peer);
    }
  }

  async #fetch(peer: GatewayPeer): Promise<void> {
    if (this.#isFetching) return;
    this.#isFetching = true;
    const { network, state } = this.#options;
    const answer = await network.request(
      peer.address,
      "gateway.state",
      {},
      STATE_TIMEOUT_MILLISECONDS,
    );
    this.#isFetching = false;
    peer.behindSince = undefined;
    if (this.#isStopped) return;
    const host = peer.identity?.host ?? peer.address;
    if (answer.isErr()) {
      return this.#ignore(host, "gateway.state", answer.error.detail);
    }
    const parsed = gatewayStateSchema.safeParse(answer.value);
    if (parsed.success) state.adopt(parsed.data, host);
    else this.#ignore(host, "gateway.state", z.prettifyError(parsed.error));
  }

  #ignore(peer: string, kind: PeerMessageKind, detail: string): void {
    this.#options.log.write("peer.message_ignored", { peer, kind, detail });
  }
}
