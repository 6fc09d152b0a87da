/**
 * Hosts are stopped and started in turn while some servers are emptied and
 * taken away: they report `draining`. Later than `drain` after that, no request
 * may reach them from a host in touch.
 *
 * @module
 */
import { Agent } from "node:http";
import { type Answer, sendRequest } from "../common/client.ts";
import { type Host, runCase, sleep } from "../common/fleet.ts";

const KEY = "9anu6wsjnbanfqasnmgk";
const DRAIN_MS = 2_000;
const STABLE_WINDOW_MS = 3_000;
const HOSTS = 9;
const SERVERS = 200;
/** 0.2 and 0.15 of the servers leave, over nine seconds. */
const LEAVING = 70;
const LEAVING_GAP_MS = 125;
/** Pause between two stops; a host takes 2.4 s or more to end. */
const STOP_GAP_MS = 1_000;
/** 4 ms for an answer, 12 ms each way between regions. */
const LIST_MS = 28;
const ZONES = ["luz-a", "vis-a", "min-a"];

await runCase(5, async (fleet) => {
  fleet.store.pageSize = 50;
  fleet.store.listMs = LIST_MS;
  await fleet.startHosts(HOSTS);
  for (let n = 0; n < SERVERS; n++) {
    await fleet.addServer({
      id: `i-${String(n).padStart(3, "0")}`,
      service: "huvo11a",
      zone: ZONES[n % ZONES.length],
    });
  }
  fleet.configure([{
    name: "look",
    pathPrefix: "/lepu270/",
    kind: "safe",
    timeout: "2s",
    service: "huvo11a",
  }], [KEY]);
  await fleet.waitUntilReady();
  await sleep(3_000);

  /** Time of the last start of each host, before and after the restarts. */
  const startedMs = new Map(fleet.hosts.map(({ id }) => [id, -Infinity]));
  async function restart(host: Host): Promise<void> {
    fleet.record(`SIGTERM to ${host.id}`);
    startedMs.set(host.id, Infinity);
    const exited = new Promise((done) => host.process.once("exit", done));
    host.process.kill("SIGTERM");
    await exited;
    host.start(false);
    startedMs.set(host.id, performance.now());
  }
  const restarts = (async () => {
    const pending: Promise<void>[] = [];
    for (const host of fleet.hosts) {
      pending.push(restart(host));
      await sleep(STOP_GAP_MS);
    }
    await Promise.all(pending);
  })();

  await sleep(2_300);
  const ackMs = new Map<string, number>();
  for (let n = 0; n < LEAVING; n++) {
    // Spread over the list; 37 and 200 have no common divisor.
    const server = fleet.servers[(n * 37) % SERVERS];
    const { id } = server.options;
    if (fleet.hasTrouble) {
      fleet.store.write("servers", id, server.entry("draining"));
      ackMs.set(id, performance.now());
      fleet.record(`store acknowledges that ${id} is draining`);
    }
    await sleep(LEAVING_GAP_MS);
  }
  await restarts;
  await fleet.waitUntilReady();
  await sleep(STABLE_WINDOW_MS + 500);

  const agent = new Agent({ keepAlive: true });
  const sent: { host: Host; answer: Promise<Answer> }[] = [];
  const endMs = performance.now() + 8_000;
  for (let n = 0; performance.now() < endMs; n++) {
    for (const host of fleet.hosts) {
      const path = `/lepu270/${n}`;
      const object = n % 997;
      sent.push({
        host,
        answer: sendRequest(host.front, { path, object, key: KEY, agent }),
      });
    }
    await sleep(25);
  }
  let late = 0;
  let served = 0;
  const kept = new Set<string>();
  for (const { host, answer: promise } of sent) {
    const { requestId, sentMs, status } = await promise;
    if (status === 200) served += 1;
    const isInTouch = sentMs - (startedMs.get(host.id) ?? 0) > STABLE_WINDOW_MS;
    const run = fleet.runs.find((each) => each.requestId === requestId);
    const lateMs = run === undefined
      ? 0
      : run.startedMs - (ackMs.get(run.serverId) ?? Infinity);
    const isLate = isInTouch && lateMs > DRAIN_MS;
    if (isLate) {
      late += 1;
      kept.add(`${host.id} sends to ${run?.serverId}`);
    }
    fleet.record(
      `request ${requestId} to ${host.id}: answer ${status}, run by ` +
        `${run?.serverId ?? "none"}` +
        (isLate ? `  <-- ${Math.round(lateMs)} ms after the report` : ""),
      sentMs,
    );
  }
  if (served < sent.length / 2) throw new Error(`only ${served} served`);
  return {
    isBroken: late > 0,
    text:
      `${sent.length} requests, ${served} answered 200; ${late} reached a ` +
      `server later than drain: ${[...kept].join("; ") || "none"}`,
  };
});
