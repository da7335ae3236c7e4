/**
 * What routers tell each peer once: readings of prompt parts, evidence of
 * crashes and servers that are leaving. Collectors pass on readings; the others
 * must outlive a restart of the whole fleet, so every router passes them on once.
 */
import type { PromptCrashes } from "./core/prompt_crashes.ts";
import type { PromptDirectory } from "./core/prompt_directory.ts";
import type { ServerNotices } from "./core/server_notices.ts";
import type { GatewayPeer } from "./gateway_peer.ts";
import type { GatewayReport } from "./gateway_report.ts";
import type { FirstAnnouncements } from "./report_builder.ts";

/** Where announcements come from and go to. */
export interface PeerAnnouncementsOptions {
  readonly directory: PromptDirectory;
  readonly crashes: PromptCrashes;
  readonly notices: ServerNotices;
  /** Whether this router passes on the readings of peers. */
  readonly relays: () => boolean;
  /** The monotonic time in milliseconds. */
  readonly now: () => number;
}

/** The announcements to and from the peers of one router. */
export class PeerAnnouncements {
  readonly #options: PeerAnnouncementsOptions;

  constructor(options: PeerAnnouncementsOptions) {
    this.#options = options;
  }

  /** Sequence numbers of the first announcements that a peer has not had. */
  first(peer: GatewayPeer): FirstAnnouncements {
    return {
      reading: peer.nextReading,
      evidence: peer.nextEvidence,
      notice: peer.nextNotice,
    };
  }

  /** Records that a peer got all announcements. */
  recordSent(peer: GatewayPeer): void {
    peer.nextReading = this.#options.directory.nextSequence;
    peer.nextEvidence = this.#options.crashes.nextSequence;
    peer.nextNotice = this.#options.notices.nextSequence;
  }

  /** Sends a peer that has just joined all announcements that are kept. */
  restart(peer: GatewayPeer): void {
    peer.nextReading = 0;
    peer.nextEvidence = 0;
    peer.nextNotice = 0;
  }

  /** Applies the announcements of a peer's report. */
  receive({ readings, evidence, leaving }: GatewayReport): void {
    const { directory, crashes, notices } = this.#options;
    const relays = this.#options.relays();
    const now = this.#options.now();
    for (const reading of readings) {
      if (relays) directory.addAndAnnounce(reading);
      else directory.add(reading);
    }
    for (const { part, crash, ageMilliseconds } of evidence) {
      const at = now - ageMilliseconds;
      crashes.addEvidence({ part, crash, at }, now);
    }
    for (const incarnation of leaving) {
      notices.addPeerNotice(incarnation, now);
    }
  }
}
