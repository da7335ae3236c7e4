/**
 * The addresses that a caller may use: asked for, kept for their time, and
 * asked for again when they fail.
 */
import { z } from "zod";
import type { RandomSource } from "./core/random.ts";
import type { Clock } from "./timer_service.ts";

const _answerSchema = z.object({
  addresses: z.array(z.object({
    address: z.string(),
    data_centre: z.string(),
    incarnation: z.string(),
    epoch: z.number().int(),
  })).min(1),
  keep_milliseconds: z.number().positive(),
});

/** One router that the caller may use. */
export type CallerAddress = z.infer<typeof _answerSchema>["addresses"][number];

/** A failed address is tried last for this long, in milliseconds. */
const ADDRESS_COOLDOWN_MILLISECONDS = 5_000;

/** What the book needs. */
export interface AddressPoolOptions {
  /** Addresses to ask when none is known or all have failed. */
  readonly bootstrapAddresses: readonly string[];
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Asks one router; undefined if it did not answer. */
  readonly ask: (address: string) => Promise<unknown>;
}

/** The caller's list of usable addresses. */
export interface AddressPool {
  /** Returns usable addresses in random order, failed ones last; empty if no router answered. */
  list(): Promise<readonly CallerAddress[]>;
  /** Notes that an address failed, so that it is tried last and the list renewed. */
  avoid(address: string): void;
}

/** Creates an empty book. */
export function createAddressPool(options: AddressPoolOptions): AddressPool {
  const { clock, random } = options;
  const avoidedUntil = new Map<string, number>();
  let known: readonly CallerAddress[] = [];
  let validUntil = 0;
  let renewal: Promise<void> | undefined;

  function isAvoided(address: string): boolean {
    return (avoidedUntil.get(address) ?? 0) > clock.monotonicMilliseconds();
  }

  function usableFirst<T>(
    items: readonly T[],
    addressOf: (item: T) => string,
  ): T[] {
    const usable = items.filter((item) => !isAvoided(addressOf(item)));
    const avoided = items.filter((item) => isAvoided(addressOf(item)));
    return [...usable, ...avoided];
  }

  async function renew(): Promise<void> {
    const candidates = [
      ...usableFirst(known, (entry) => entry.address).map((entry) =>
        entry.address
      ),
      ...usableFirst(
        random.shuffle(options.bootstrapAddresses),
        (address) => address,
      ),
    ];
    for (const address of candidates) {
      const answer = _answerSchema.safeParse(await options.ask(address));
      if (!answer.success) {
        avoid(address);
        continue;
      }
      // Every caller of a workspace gets the same order from the routers.
      known = random.shuffle(answer.data.addresses);
      validUntil = clock.monotonicMilliseconds() +
        answer.data.keep_milliseconds;
      return;
    }
  }

  function avoid(address: string): void {
    avoidedUntil.set(
      address,
      clock.monotonicMilliseconds() + ADDRESS_COOLDOWN_MILLISECONDS,
    );
    validUntil = 0;
  }

  return {
    avoid,
    async list() {
      if (clock.monotonicMilliseconds() >= validUntil) {
        renewal ??= renew().finally(() => renewal = undefined);
        await renewal;
      }
      return usableFirst(known, (entry) => entry.address);
    },
  };
}
