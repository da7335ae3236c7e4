/**
 * Tells peers which data centres are evacuated. A message is repeated alongside
 * reports until the peer has shown that it knows the same, since messages may be
 * lost. Each received message that is no answer is answered with what this router
 * knows, so a message reaches a peer that is newer and one that is older.
 */
import { z } from "zod";
import { evacuationKeyOf } from "./core/evacuations.ts";
import { brandId, type DataCentreId } from "./core/ids.ts";
import { listSchema } from "./core/list_schema.ts";
import type { EvacuationTask } from "./evacuation_task.ts";
import type { GatewayPeer } from "./gateway_peer.ts";
import type { PeerIdentity, PeerNetwork } from "./peer_network.ts";

/** Time until the first repetition; it doubles with each. */
const FIRST_REPEAT_MILLISECONDS = 400;
/** Peers of an earlier release never answer, so repetitions become rare. */
const MAXIMUM_REPEAT_MILLISECONDS = 60_000;
const MAXIMUM_DATA_CENTRES = 1_000;

const _dataCentre = z.string().min(1).max(256).transform((text) =>
  brandId<DataCentreId>(text)
);
const _message = z.object({
  revision: z.number().int().min(0),
  dataCentres: listSchema(_dataCentre, MAXIMUM_DATA_CENTRES),
  /** Data centre and remaining milliseconds of each entry that the store lost. */
  held: listSchema(z.tuple([_dataCentre, z.number()]), MAXIMUM_DATA_CENTRES),
  isAnswer: z.boolean(),
});

/** What a peer was sent and what it has shown to know. */
interface _Receipt {
  knownKey: string | undefined;
  sentKey: string | undefined;
  repeatMilliseconds: number;
  repeatAt: number;
}

/** Options of {@link EvacuationExchange}. */
export interface EvacuationExchangeOptions {
  readonly network: PeerNetwork;
  readonly task: EvacuationTask;
  /** Known peer at an address. */
  readonly findPeer: (from: PeerIdentity) => GatewayPeer | undefined;
  /** Live peers that get reports from this router. */
  readonly reportedPeers: () => Iterable<GatewayPeer>;
  /** The monotonic time in milliseconds. */
  readonly now: () => number;
  readonly onMalformed: (from: PeerIdentity) => void;
}

/** Exchanges evacuations with the peers of one router. */
export class EvacuationExchange {
  readonly #options: EvacuationExchangeOptions;
  readonly #receipts = new WeakMap<GatewayPeer, _Receipt>();

  constructor(options: EvacuationExchangeOptions) {
    this.#options = options;
    const { network, task } = options;
    if (!task.isEnabled) return;
    network.handle(
      "gateway.evacuations",
      (body, from) => this.#receive(body, from),
    );
    task.onKnown(() => this.#sendToAll());
  }

  /** Forgets what a peer knew, because it has started or returned. */
  restart(peer: GatewayPeer): void {
    this.#receipts.delete(peer);
  }

  /** Sends a peer the state unless it knows it or was sent it just now. */
  send(peer: GatewayPeer): void {
    const { task, network, now } = this.#options;
    if (!task.isEnabled || !task.evacuations.isKnown) return;
    const receipt = this.#receiptOf(peer);
    const key = evacuationKeyOf(task.snapshot());
    if (receipt.knownKey === key) return;
    if (receipt.sentKey === key && now() < receipt.repeatAt) return;
    receipt.repeatMilliseconds = receipt.sentKey === key
      ? Math.min(MAXIMUM_REPEAT_MILLISECONDS, receipt.repeatMilliseconds * 2)
      : FIRST_REPEAT_MILLISECONDS;
    receipt.sentKey = key;
    receipt.repeatAt = now() + receipt.repeatMilliseconds;
    network.send(peer.address, "gateway.evacuations", this.#message(false));
  }

  #sendToAll(): void {
    for (const peer of this.#options.reportedPeers()) this.send(peer);
  }

  #receiptOf(peer: GatewayPeer): _Receipt {
    const receipt = this.#receipts.get(peer) ?? {
      knownKey: undefined,
      sentKey: undefined,
      repeatMilliseconds: FIRST_REPEAT_MILLISECONDS,
      repeatAt: Number.NEGATIVE_INFINITY,
    };
    this.#receipts.set(peer, receipt);
    return receipt;
  }

  #message(isAnswer: boolean): z.input<typeof _message> {
    const { revision, dataCentres, held } = this.#options.task.snapshot();
    return {
      revision,
      dataCentres: [...dataCentres],
      held: held.map(({ dataCentre, remainingMilliseconds }) =>
        [dataCentre, Math.round(remainingMilliseconds)] as [string, number]
      ),
      isAnswer,
    };
  }

  #receive(body: unknown, from: PeerIdentity): void {
    const { task, network, findPeer, onMalformed } = this.#options;
    const message = _message.safeParse(body);
    if (!message.success) return onMalformed(from);
    const { revision, dataCentres, isAnswer } = message.data;
    const held = message.data.held.map((
      [dataCentre, remainingMilliseconds],
    ) => ({ dataCentre, remainingMilliseconds }));
    const state = { revision, dataCentres, held };
    const peer = findPeer(from);
    if (peer) this.#receiptOf(peer).knownKey = evacuationKeyOf(state);
    task.receive(state, from.host);
    if (isAnswer) return;
    network.send(from.address, "gateway.evacuations", this.#message(true));
  }
}
