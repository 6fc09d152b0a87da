import assert from "node:assert/strict";
import { test } from "node:test";
import { MAX_LINEAR_GROWTH, measureGrowth } from "../../testing/growth.ts";
import { Quotas } from "../limits/quotas.ts";
import { Membership } from "./membership.ts";
import type { HostRecord } from "./types.ts";

function host(zone: string, n: number): HostRecord {
  return {
    id: `${zone}-${n}`,
    availabilityZone: zone,
    region: "north",
    callerAddress: `192.0.2.${n}:80`,
    peerAddress: `192.0.2.${n}:90`,
    startedMs: 1,
    sequence: 1,
    state: "ready",
    hasTargetPath: true,
    build: "0.1.0+1a2b3c4",
    hasMissedReports: false,
  };
}

function createFleet(hostsPerZone: number) {
  const hosts = ["a", "b", "c"].flatMap((zone) =>
    Array.from({ length: hostsPerZone }, (_, n) => host(zone, n))
  );
  const membership = new Membership(host("a", 1));
  membership.setRegistered(hosts);
  return { membership, hosts };
}

// Guards against a number of messages that grows with the square of the hosts.
test("a large fleet reports inside zones and through delegates", () => {
  const small = createFleet(4).membership;
  assert.equal(small.directPeers().length, 11);
  assert.equal(small.usesDelegates, false);
  assert.equal(small.isDelegate(0), false);
  const { membership } = createFleet(10);
  assert.equal(membership.usesDelegates, true);
  assert.equal(membership.directPeers().length, 9);
  assert.equal(membership.remoteDelegates(0, 0).length, 2);
});

// Guards against a zone without reports to others after its delegate has
// failed.
test("the next host of a zone takes over from a silent delegate", () => {
  const { membership } = createFleet(10);
  membership.recordReport(host("a", 0), 0);
  membership.recordReport(host("a", 2), 0);
  assert.equal(membership.isDelegate(500), false);
  membership.recordReport({ ...host("a", 2), sequence: 2 }, 600);
  assert.equal(membership.isDelegate(800), true);
});

// Guards against a host that stops and keeps summarizing its zone beside the
// next delegate, to which the other zones already send.
test("a leaving host is the delegate only if it is alone", () => {
  const { membership } = createFleet(10);
  assert.equal(membership.isDelegate(0, { isLeaving: true }), true);
  membership.recordReport(host("a", 2), 0);
  assert.equal(membership.isDelegate(100), true);
  assert.equal(membership.isDelegate(100, { isLeaving: true }), false);
});

// Guards against two zones that never receive reports of each other because
// the first host of each is dead.
test("hosts of a zone without any reports are tried in turn", () => {
  const { membership } = createFleet(10);
  const tried = new Set<string>();
  for (let round = 0; round < 10; round++) {
    for (const { id } of membership.remoteDelegates(round, 0)) tried.add(id);
  }
  assert.equal(tried.size, 20);
  membership.recordReport(host("b", 7), 0);
  const ids = membership.remoteDelegates(3, 100).map(({ id }) => id);
  assert.ok(ids.includes("b-7"));
});

// Guards against a task that stays with a host which cannot perform it: the
// store refused the task owner, so the rollback of a bad version was written
// 9 s late.
test("a task passes to the next eligible host", () => {
  const { membership } = createFleet(4);
  const others = ["a-0", "b-1", "c-2", "b-0"];
  for (const id of others) {
    const [zone, n] = id.split("-");
    membership.recordReport(host(zone, Number(n)), 0);
  }
  const tasks = Array.from({ length: 20 }, (_, i) => `task ${i}`);
  const ownedTasks = tasks.filter((task) => membership.taskRank(task, 0) === 0);
  const tasksWhenOnlyEligible = tasks.filter((task) =>
    membership.taskRank(task, 0, () => false) === 0
  );
  assert.ok(ownedTasks.length < tasks.length);
  assert.equal(tasksWhenOnlyEligible.length, tasks.length);
});

// Guards against a restarted host that stays dead for the others because the
// time of day went back, so that its process seems older than the last one.
test("a process with an earlier start is accepted after a silence", () => {
  const { membership } = createFleet(4);
  const last = { ...host("b", 0), startedMs: 9_000, sequence: 40 };
  const restarted = { ...host("b", 0), startedMs: 5_000, sequence: 1 };
  assert.equal(membership.recordReport(last, 0), true);
  // A late report of an earlier process, while the last one is alive.
  assert.equal(membership.recordReport(restarted, 500), false);
  assert.equal(membership.recordReport(restarted, 2_000), true);
  assert.deepEqual(
    membership.livePeers(2_000).map(({ startedMs }) => startedMs),
    [5_000],
  );
  assert.equal(membership.recordReport(last, 2_100), true);
  assert.equal(membership.recordReport(last, 4_000), false);
});

// Guards against reports of many hosts that keep a host busy for a time that
// grows with the square of their number.
test("the time to record hosts grows with their number", () => {
  const growth = measureGrowth((count) => {
    const membership = new Membership(host("a", count));
    const quotas = new Quotas(
      { windowMs: 5_000, excessFraction: 0.1, slackRequests: 20 },
      { nowMs: 0 },
    );
    const records = Array.from(
      { length: count },
      (_, n) => host(n % 2 === 0 ? "a" : "b", n),
    );
    membership.setRegistered(records);
    return () => {
      for (const record of records) {
        membership.recordReport(record, 0);
        quotas.addPeer(record);
        assert.equal(membership.usesDelegates, true);
      }
      assert.equal(membership.peers().length, count);
    };
  }, 1_000);
  assert.ok(growth < MAX_LINEAR_GROWTH, `${growth}`);
});

// Guards against a number of hosts that is not that of the list, so that a host
// reports to other ones than the rest of the fleet expects.
test("the number of hosts counts registered and other hosts once", () => {
  const membership = new Membership(host("a", 0));
  const hosts = Array.from({ length: 30 }, (_, n) => host("a", n));
  for (const record of hosts.slice(0, 20)) membership.recordReport(record, 0);
  assert.equal(membership.usesDelegates, false);
  membership.setRegistered(hosts.slice(10, 28));
  assert.equal(membership.peers().length, 27);
  assert.equal(membership.usesDelegates, true);
  membership.setRegistered(hosts.slice(10, 20));
  assert.equal(membership.peers().length, 19);
  assert.equal(membership.usesDelegates, false);
});

// Guards against datagrams that name hosts without end, which fill the memory.
test("the number of hosts that are not registered is bounded", () => {
  const membership = new Membership(host("a", 0));
  for (let n = 1; n <= 10_000; n++) membership.recordReport(host("b", n), 0);
  assert.equal(membership.peers().length, 4_096);
  assert.equal(membership.recordReport(host("c", 1), 0), false);
  membership.setRegistered([host("c", 1)]);
  assert.equal(membership.recordReport(host("c", 1), 0), true);
  const next = { ...host("b", 1), sequence: 2 };
  assert.equal(membership.recordReport(next, 0), true);
});
