/**
 * What the rest of a router may know about the members of the fleet. The
 * membership task provides it; duties are shared out over it.
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
  /** True once the router has announced a planned stop. */
  readonly leaving: boolean;
}

/** The members as this router sees them. */
export abstract class MembershipView {
  abstract self(): Member;
  /** Members that are alive or suspect, with this router and leaving ones included. */
  abstract liveMembers(): readonly Member[];
  abstract onChange(listener: () => void): void;
}
