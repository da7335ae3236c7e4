/** The groups of callers in a soak run. */
import { createSeededRandom } from "../src/core/random.ts";
import { type CallerContext, SoakCaller } from "./soak_callers.ts";
import { DATA_CENTRES } from "./soak_routers.ts";
import { COLD_ROUTE, LONG_ROUTES, SHORT_ROUTES } from "./soak_routes.ts";

/** Callers of the short routes, the first ones of all. */
export const SHORT_CALLER_COUNT = 12;
const LONG_CALLER_COUNT = 20;
const COLD_CALLER_COUNT = 8;
/** Keeps the requests of a group as they are when another group is added. */
const GROUP_SEED_OFFSET = 1_000_003;

/** What the callers of all groups share. */
export type SharedCallerContext = Omit<
  CallerContext,
  "random" | "routes" | "keepsConnections"
>;

/** Creates all callers; those of the cold service only if there is one. */
export function createCallers(
  seed: number,
  hasColdService: boolean,
  shared: SharedCallerContext,
): SoakCaller[] {
  const groups = [
    { count: SHORT_CALLER_COUNT, routes: SHORT_ROUTES },
    { count: LONG_CALLER_COUNT, routes: LONG_ROUTES },
    { count: hasColdService ? COLD_CALLER_COUNT : 0, routes: [COLD_ROUTE] },
  ];
  const members = groups.flatMap(({ count, routes }, group) =>
    Array.from({ length: count }, () => ({ group, routes }))
  );
  return members.map(({ group, routes }, index) =>
    new SoakCaller(
      {
        ...shared,
        random: createSeededRandom(
          seed * SHORT_CALLER_COUNT + index + group * GROUP_SEED_OFFSET,
        ),
        routes,
        keepsConnections: routes === LONG_ROUTES && index % 2 === 0,
      },
      index,
      DATA_CENTRES[index % DATA_CENTRES.length] ?? "",
    )
  );
}
