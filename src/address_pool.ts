/**
 * The router addresses that a caller may use. They are fetched from a router,
 * cached for the time that it states, and fetched again when one fails.
 */
import { z } from "zod";
import type { RandomSource } from "./core/random.ts";
import type { Clock } from "./timer_service.ts";

const _responseSchema = z.object({
  addresses: z.array(z.object({
    address: z.string(),
    data_centre: z.string(),
    incarnation: z.string(),
    epoch: z.number().int(),
  })).min(1),
  keep_milliseconds: z.number().positive(),
});

/** One router that the caller may use. */
export type CallerAddress = z.infer<
  typeof _responseSchema
>["addresses"][number];

/** How long a failed address is tried last. */
const ADDRESS_COOLDOWN_MILLISECONDS = 5_000;

/** Options of {@link createAddressPool}. */
export interface AddressPoolOptions {
  /** Queried when no address is known or all known ones have failed. */
  readonly bootstrapAddresses: readonly string[];
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Fetches the addresses from one router; undefined if it did not respond. */
  readonly fetchAddresses: (address: string) => Promise<unknown>;
}

/** The caller's list of usable addresses. */
export interface AddressPool {
  /** Returns usable addresses in random order, failed ones last; empty if no router responded. */
  list(): Promise<readonly CallerAddress[]>;
  /** Marks an address as failed: it is tried last, and the list is refreshed. */
  avoid(address: string): void;
}

/** Creates a pool that fetches its addresses on first use. */
export function createAddressPool(options: AddressPoolOptions): AddressPool {
  const { clock, random } = options;
  const cooldownUntil = new Map<string, number>();
  let entries: readonly CallerAddress[] = [];
  let validUntil = 0;
  let refreshing: Promise<void> | undefined;

  function isCoolingDown(address: string): boolean {
    return (cooldownUntil.get(address) ?? 0) > clock.monotonicMilliseconds();
  }

  function usableFirst<T>(
    items: readonly T[],
    addressOf: (item: T) => string,
  ): T[] {
    const usable = items.filter((item) => !isCoolingDown(addressOf(item)));
    const coolingDown = items.filter((item) => isCoolingDown(addressOf(item)));
    return [...usable, ...coolingDown];
  }

  async function refresh(): Promise<void> {
    const candidates = [
      ...usableFirst(entries, (entry) => entry.address).map((entry) =>
        entry.address
      ),
      ...usableFirst(
        random.shuffle(options.bootstrapAddresses),
        (address) => address,
      ),
    ];
    for (const address of candidates) {
      const response = _responseSchema.safeParse(
        await options.fetchAddresses(address),
      );
      if (!response.success) {
        avoid(address);
        continue;
      }
      // Routers return the same order to every caller of a workspace.
      // Shuffling spreads the callers over the routers.
      entries = random.shuffle(response.data.addresses);
      validUntil = clock.monotonicMilliseconds() +
        response.data.keep_milliseconds;
      return;
    }
  }

  function avoid(address: string): void {
    cooldownUntil.set(
      address,
      clock.monotonicMilliseconds() + ADDRESS_COOLDOWN_MILLISECONDS,
    );
    validUntil = 0;
  }

  return {
    avoid,
    async list() {
      if (clock.monotonicMilliseconds() >= validUntil) {
        refreshing ??= refresh().finally(() => refreshing = undefined);
        await refreshing;
      }
      return usableFirst(entries, (entry) => entry.address);
    },
  };
}
