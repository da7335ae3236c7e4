/**
 * What other tasks see of the membership: this router, the live members and a
 * notice when they change.
 */
import type {
  DataCentreId,
  HostId,
  IncarnationId,
  SocketAddress,
} from "./core/ids.ts";

/** A router as the membership knows it. */
export interface Member {
  host: HostId;
  dataCentre: DataCentreId;
  address: SocketAddress;
  callerAddress: SocketAddress;
  incarnation: IncarnationId;
  leaving: boolean;
}

/** A router's own view of the members; views differ for seconds. */
export abstract class MembershipView {
  /** Returns this router. */
  abstract self(): Member;
  /** Returns the members that are believed to be live. */
  abstract liveMembers(): readonly Member[];
  /** Calls the listener after each change of the live members. */
  abstract onChange(listener: () => void): void;
}
