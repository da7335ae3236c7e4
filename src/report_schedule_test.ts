import test from "ava";
import { brandId, type SocketAddress } from "./core/ids.ts";
import { createGatewayPeer } from "./gateway_peer.ts";
import {
  isListingDue,
  isReportDue,
  recordSentReport,
  type ReportInterval,
} from "./report_schedule.ts";

const INTERVAL: ReportInterval = {
  tick: 100,
  now: 5_000,
  loadVersion: 7,
  listingVersion: 3,
  payload: "own",
  isUnanswered: false,
  isHierarchical: false,
  isLocal: true,
};

/** Returns the ticks after which the next report is due. */
function ticksUntilDue(changes: Partial<ReportInterval>): number {
  const peer = createGatewayPeer(brandId<SocketAddress>("10.0.0.1:1"), 0);
  recordSentReport(peer, INTERVAL, true);
  for (let ticks = 1; ticks < 100; ticks++) {
    const time = { tick: 100 + ticks, now: 5_000 + 50 * ticks };
    if (isReportDue(peer, { ...INTERVAL, ...time, ...changes })) return ticks;
  }
  return Infinity;
}

test("guards against changes reaching near peers late, and against frequent reports to far ones", (t) => {
  t.is(ticksUntilDue({ loadVersion: 8 }), 1);
  t.is(ticksUntilDue({ loadVersion: 8, isLocal: false }), 5);
  t.is(ticksUntilDue({ loadVersion: 8, isHierarchical: true }), 3);
  t.is(ticksUntilDue({}), 8);
  t.is(ticksUntilDue({ payload: "fleet" }), 5);
});

test("guards against reporting to a silent peer as often as to a live one", (t) => {
  t.is(ticksUntilDue({ loadVersion: 8, isUnanswered: true }), 20);
});

test("guards against summaries that list the routers late after a change, or every time", (t) => {
  const peer = createGatewayPeer(brandId<SocketAddress>("10.0.0.1:1"), 0);
  t.true(isListingDue(peer, INTERVAL));
  recordSentReport(peer, INTERVAL, true);
  t.false(isListingDue(peer, { ...INTERVAL, tick: 119 }));
  t.true(isListingDue(peer, { ...INTERVAL, tick: 120 }));
  t.true(isListingDue(peer, { ...INTERVAL, listingVersion: 4 }));
});
