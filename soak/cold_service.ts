/** A service whose servers take few requests after their start, and restart. */
import { setTimeout as sleep } from "node:timers/promises";
import type { SoakServer } from "../platform/soak_fleet.ts";
import { type BackendContext, SoakBackend } from "./soak_backends.ts";
import { DATA_CENTRES } from "./soak_routers.ts";
import { COLD_SERVICE } from "./soak_routes.ts";

const SERVER_COUNT = 3;
const COLD_MILLISECONDS = COLD_SERVICE.coldSeconds * 1_000;
/** Time by which the registration of a server that became cold is late. */
const REGISTRATION_LAG_MILLISECONDS = 1_000;

/** A time in which a server was cold. */
export interface ColdSpan {
  readonly server: string;
  readonly from: number;
  readonly until: number;
}

/** Writes registrations to the store. */
export interface RegistrationWriter {
  readonly put: (server: SoakServer) => void;
  readonly remove: (id: string) => void;
}

/** How a server restarts. */
export interface ColdRestart {
  /** Whether it registers under the id that it had. */
  readonly keepsId: boolean;
  readonly downMilliseconds: number;
}

/** The servers of the service, and when each was cold. */
export class ColdService {
  readonly servers: readonly SoakBackend[];
  readonly #context: BackendContext;
  readonly #writer: RegistrationWriter;
  readonly #spans: ColdSpan[];
  readonly #restarting = new Set<SoakBackend>();
  readonly #startedAt = new Map<SoakBackend, number>();

  constructor(
    context: BackendContext,
    writer: RegistrationWriter,
    spans: ColdSpan[],
  ) {
    this.#context = context;
    this.#writer = writer;
    this.#spans = spans;
    this.servers = Array.from(
      { length: SERVER_COUNT },
      (_, index) =>
        new SoakBackend(
          context,
          `c${index}`,
          DATA_CENTRES[index % DATA_CENTRES.length] ?? "",
        ),
    );
  }

  /** Starts the servers, which are warm at first. */
  async start(): Promise<void> {
    for (const server of this.servers) {
      await server.start();
      this.#startedAt.set(server, Date.now());
      this.#register(server, 0);
    }
  }

  stop(): void {
    for (const server of this.servers) server.stop();
  }

  /** Crashes a server and starts it cold; one that restarts already is left alone. */
  async restart(server: SoakBackend, options: ColdRestart): Promise<void> {
    if (this.#restarting.has(server)) return;
    this.#restarting.add(server);
    const { id } = server;
    server.crash();
    await sleep(options.downMilliseconds);
    if (!options.keepsId) this.#writer.remove(id);
    await server.start({ keepsId: options.keepsId });
    this.#startedAt.set(server, Date.now());
    this.#recordCold(server);
    this.#register(server, COLD_MILLISECONDS);
    this.#restarting.delete(server);
  }

  /** Lets the servers of a data centre become cold; they register it late. */
  async becomeCold(dataCentre: string): Promise<void> {
    const servers = this.servers.filter((server) =>
      server.dataCentre === dataCentre && !this.#restarting.has(server)
    ).map((server) => ({ server, startedAt: this.#startedAt.get(server) }));
    for (const { server } of servers) this.#recordCold(server);
    await sleep(REGISTRATION_LAG_MILLISECONDS);
    for (const { server, startedAt } of servers) {
      // A restart in the meantime has registered a state of its own.
      const isCurrent = this.#startedAt.get(server) === startedAt &&
        !this.#restarting.has(server);
      if (!isCurrent) continue;
      this.#register(server, COLD_MILLISECONDS - REGISTRATION_LAG_MILLISECONDS);
    }
  }

  #recordCold({ id }: SoakBackend): void {
    const from = this.#context.now();
    this.#spans.push({ server: id, from, until: from + COLD_MILLISECONDS });
  }

  #register(server: SoakBackend, coldMilliseconds: number): void {
    this.#writer.put({
      id: server.id,
      address: server.address,
      dataCentre: server.dataCentre,
      slots: server.slots,
      isDraining: false,
      started: this.#startedAt.get(server) ?? 0,
      service: COLD_SERVICE.name,
      coldMilliseconds,
    });
  }
}
