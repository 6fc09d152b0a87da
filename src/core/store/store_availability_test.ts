import { test } from "node:test";
import { openSnapshots } from "../../testing/snapshot.ts";
import { combineStoreReports, type StoreReport } from "./store_availability.ts";

const matchSnapshot = await openSnapshots(import.meta.url);

const NOW_MS = 100_000;

const WORKING: StoreReport = {
  watches: true,
  isFailing: false,
  ageMs: 300,
  sinceReturnMs: Infinity,
  confirmations: [],
};
const FAILING = { ...WORKING, isFailing: true, ageMs: 4_000 };
const NOT_WATCHING = { ...WORKING, watches: false };

function recovered(sinceReturnMs: number): StoreReport {
  return { ...WORKING, sinceReturnMs };
}

/** Reports of this host and its peers, by the situation. */
const CASES: Record<string, StoreReport[]> = {
  "all work": [WORKING, WORKING, WORKING],
  "one host has recovered, the others got answers": [
    WORKING,
    recovered(500),
    WORKING,
  ],
  "this host has recovered, the others got answers": [
    recovered(500),
    WORKING,
    WORKING,
  ],
  "all have recovered, one after the other": [
    recovered(500),
    recovered(900),
    recovered(100),
  ],
  "the first has recovered": [FAILING, recovered(200), FAILING],
  "all fail": [FAILING, FAILING, FAILING],
  "one fails": [FAILING, WORKING, WORKING],
  "a host that does not watch got answers": [NOT_WATCHING, recovered(500)],
  "no host watches": [{ ...recovered(500), watches: false }, NOT_WATCHING],
  "no host watches, this one fails": [{ ...FAILING, watches: false }],
};

// Guards against one host with a broken connection that makes the whole fleet
// keep targets which have left, and against a recovery that is missed, so that
// targets whose entries lapsed in the outage are dropped.
test("the store has recovered when it answers the first host again", (t) => {
  const results: Record<string, string> = {};
  for (const [name, [ownReport, ...peers]] of Object.entries(CASES)) {
    const { isFailing, ageMs, recoveredMs } = combineStoreReports(
      ownReport,
      peers.map((report) => ({ report, receivedMs: NOW_MS - 50 })),
      NOW_MS,
    );
    results[name] = `failing=${isFailing}, last answer ${ageMs} ms ago, ` +
      `recovered ${NOW_MS - recoveredMs} ms ago`;
  }
  matchSnapshot(t, results);
});
