/** The interface to a router's current view of the other routers. */
import type {
  DataCentreId,
  HostId,
  IncarnationId,
  SocketAddress,
} from "./core/ids.ts";

/** One router as the others see it. */
export interface Member {
  host: HostId;
  dataCentre: DataCentreId;
  address: SocketAddress;
  callerAddress: SocketAddress;
  incarnation: IncarnationId;
  leaving: boolean;
}

/** Who the members are, in this router's view. */
export abstract class MembershipView {
  /** Returns this router. */
  abstract self(): Member;
  /** Returns the live members, this router included. */
  abstract liveMembers(): readonly Member[];
  /** Calls the listener after every change of the view. */
  abstract onChange(listener: () => void): void;
}
