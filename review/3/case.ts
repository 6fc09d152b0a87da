/**
 * Half of the connections to the store go silent, once: those on which a watch
 * has waited for longest. After `stableWindow`, a new configuration is
 * acknowledged; `configApply` later, all hosts have to apply it.
 *
 * @module
 */
import { Agent } from "node:http";
import { type Answer, sendRequest } from "../common/client.ts";
import { type RouteRow, runCase, sleep } from "../common/fleet.ts";

const KEY = "9anu6wsjnbanfqasnmgk";
const REVOKED_KEY = "cuyj8pjbvk9m68k7b2ex";
const STABLE_WINDOW_MS = 3_000;
const CONFIG_APPLY_MS = 2_000;
const REVOKE_MS = 5_000;
const HOSTS = 5;

function route(name: string, service: string): RouteRow {
  const pathPrefix = `/${name}/`;
  return { name, pathPrefix, kind: "safe", timeout: "2s", service };
}

await runCase(3, async (fleet) => {
  await fleet.startHosts(HOSTS);
  for (const [n, zone] of ["luz-a", "vis-a", "min-a", "luz-a"].entries()) {
    const service = n < 2 ? "huvo11a" : "kafi81c";
    await fleet.addServer({ id: `i-${n}`, service, zone, slots: 16 });
  }
  const kept = route("lepu270", "huvo11a");
  const moved = "moved1";
  const dropped = route("xapu221", "huvo11a");
  const routes = [kept, route(moved, "huvo11a"), dropped];
  fleet.configure(routes, [KEY, REVOKED_KEY]);
  await fleet.waitUntilReady();
  await sleep(4_000);
  if (fleet.hasTrouble) {
    const { silenced, open } = fleet.store.silenceHalf();
    fleet.record(`${silenced} of ${open} connections to the store go silent`);
  }
  await sleep(STABLE_WINDOW_MS + 500);
  // The moved route goes to another service, one is dropped, a key revoked.
  const ackMs = fleet.configure([kept, route(moved, "kafi81c")], [KEY]);
  const agent = new Agent({ keepAlive: true });
  const sent: { kind: string; hostId: string; answer: Promise<Answer> }[] = [];
  for (let n = 0; performance.now() < ackMs + 7_500; n++) {
    for (const { front, id: hostId } of fleet.hosts) {
      const send = (kind: string, path: string, key: string) =>
        sent.push({
          kind,
          hostId,
          answer: sendRequest(front, { path, object: n % 24, key, agent }),
        });
      send("moved", "/moved1/a", KEY);
      send("dropped", "/xapu221/a", KEY);
      send("revoked", "/lepu270/a", REVOKED_KEY);
      send("kept", "/lepu270/a", KEY);
    }
    await sleep(250);
  }
  const late = new Map<string, number>();
  let served = 0;
  for (const { kind, hostId, answer: promise } of sent) {
    const answer = await promise;
    const { requestId, sentMs, status } = answer;
    const run = fleet.runs.find((each) => each.requestId === requestId);
    const serviceOf = fleet.servers.find((server) =>
      server.options.id === run?.serverId
    )?.options.service;
    if (kind === "kept" && status === 200) served += 1;
    const boundMs = kind === "revoked" ? REVOKE_MS : CONFIG_APPLY_MS;
    const isOld = kind === "moved"
      ? serviceOf === "huvo11a"
      : kind !== "kept" && run !== undefined;
    const isLate = isOld && sentMs > ackMs + boundMs;
    if (isLate) late.set(kind, (late.get(kind) ?? 0) + 1);
    fleet.record(
      `${kind}: request ${requestId} to ${hostId}, ` +
        `${Math.round(sentMs - ackMs)} ms after the acknowledgement: ` +
        `answer ${status}, run by ${run?.serverId ?? "none"} ` +
        `(${serviceOf ?? "-"})${isLate ? "  <-- OLD VERSION" : ""}`,
      sentMs,
    );
  }
  if (served < 20) throw new Error(`only ${served} kept requests were served`);
  const counts = ["moved", "dropped", "revoked"].map((kind) =>
    `${late.get(kind) ?? 0} ${kind}`
  ).join(", ");
  return {
    isBroken: late.size > 0,
    text: `${sent.length} requests; later than the bound as only the older ` +
      `version allows: ${counts}`,
  };
});
