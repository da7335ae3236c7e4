/**
 * What a router knows about the other routers. Tasks that assign duties depend
 * on this class only, so a test can stand in for the membership task.
 */
import type {
  DataCentreId,
  HostId,
  IncarnationId,
  SocketAddress,
} from "./core/ids.ts";

/** A router as its peers see it. */
export interface Member {
  host: HostId;
  dataCentre: DataCentreId;
  address: SocketAddress;
  callerAddress: SocketAddress;
  incarnation: IncarnationId;
  leaving: boolean;
}

/** The members of the fleet, as this router sees them. */
export abstract class MembershipView {
  /** Returns this router. */
  abstract self(): Member;
  /** Returns alive and suspect members, self and leaving ones included. */
  abstract liveMembers(): readonly Member[];
  /** Calls the listener after the live members changed. */
  abstract onChange(listener: () => void): void;
}
