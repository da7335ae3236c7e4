/**
 * The read-only view of the fleet's members that the membership task provides to
 * other tasks. They use it to assign responsibilities to routers.
 */
import type {
  DataCentreId,
  HostId,
  IncarnationId,
  SocketAddress,
} from "./core/ids.ts";

/** A router of the fleet. */
export interface Member {
  readonly host: HostId;
  readonly dataCentre: DataCentreId;
  /** Where other routers connect. */
  readonly address: SocketAddress;
  /** Where callers connect. */
  readonly callerAddress: SocketAddress;
  readonly incarnation: IncarnationId;
  /** True once the router has announced a planned shutdown. */
  readonly leaving: boolean;
}

/** The members as this router sees them. */
export abstract class MembershipView {
  abstract self(): Member;
  /** Members that are alive or suspect, including this router and leaving ones. */
  abstract liveMembers(): readonly Member[];
  abstract onChange(listener: () => void): void;
}
