/** What every task knows about the other routers. */
import type {
  DataCentreId,
  HostId,
  IncarnationId,
  SocketAddress,
} from "./core/ids.ts";

/** A router as the membership view knows it. */
export interface Member {
  host: HostId;
  dataCentre: DataCentreId;
  /** Where other routers connect. */
  address: SocketAddress;
  /** Where callers connect. */
  callerAddress: SocketAddress;
  incarnation: IncarnationId;
  leaving: boolean;
}

/** The members that this router believes to be live. */
export abstract class MembershipView {
  abstract self(): Member;
  abstract liveMembers(): readonly Member[];
  abstract onChange(listener: () => void): void;
}
