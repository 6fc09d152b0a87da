import { test } from "node:test";
import { openSnapshots } from "../../testing/snapshot.ts";
import type { HostRecord } from "../membership/types.ts";
import { chooseRelayHost, type RelayInputs } from "./choose_relay_host.ts";

const matchSnapshot = await openSnapshots(import.meta.url);

function createPeer(
  id: string,
  region: string,
  overrides: Partial<HostRecord> = {},
): HostRecord {
  return {
    id,
    region,
    availabilityZone: `${region}-a`,
    callerAddress: `${id}:1`,
    peerAddress: `${id}:2`,
    startedMs: 1,
    sequence: 1,
    state: "ready",
    hasTargetPath: true,
    build: "0.1.0+1a2b3c4",
    hasMissedReports: false,
    ...overrides,
  };
}

const PEERS = [
  createPeer("near-1", "north"),
  createPeer("near-2", "north"),
  createPeer("far-1", "south"),
  createPeer("far-2", "south"),
];

/** Returns the distinct choices over the range of the random source. */
function choices(
  peers: readonly HostRecord[],
  inputs: Partial<RelayInputs> = {},
): string[] {
  const chosen = [0, 0.3, 0.6, 0.9].map((value) =>
    chooseRelayHost(peers, {
      region: "north",
      homeRegions: [],
      triedHostIds: [],
      random: () => value,
      ...inputs,
    })?.id ?? "none"
  );
  return [...new Set(chosen)];
}

// Guards against relays to hosts that cannot serve either, that would be
// overloaded, or that a body must not be sent to.
test("requests are relayed to hosts that reach targets", (t) => {
  const withoutPath = { hasTargetPath: false };
  matchSnapshot(t, {
    "own region": choices(PEERS),
    "one was tried": choices(PEERS, { triedHostIds: ["near-1"] }),
    "own region without a path": choices([
      createPeer("near-1", "north", withoutPath),
      createPeer("near-2", "north", withoutPath),
      ...PEERS.slice(2),
    ]),
    "few of the own region": choices([
      createPeer("near-1", "north", withoutPath),
      ...PEERS.slice(1),
    ]),
    "home region elsewhere": choices(PEERS, { homeRegions: [["south"], []] }),
    "home regions exclude each other": choices(PEERS, {
      homeRegions: [["south"], ["north"]],
    }),
    "leaving and starting hosts": choices([
      createPeer("near-1", "north", { state: "leaving" }),
      createPeer("near-2", "north", { state: "starting" }),
    ]),
  });
});
