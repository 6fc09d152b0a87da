import assert from "node:assert/strict";
import { test } from "node:test";
import { openSnapshots } from "../../testing/snapshot.ts";
import { CrashMemory, type CrashReport } from "./crash_memory.ts";

const matchSnapshot = await openSnapshots(import.meta.url);

const HOUR_MS = 3_600_000;
const REPORT_INTERVAL_MS = 250;
const isSuspected = () => true;

function block(fingerprint: string, ageMs = 0): CrashReport {
  return { fingerprint, targetId: "", ageMs };
}

/** Reports of a memory to another one, as of each report interval. */
function exchange(
  from: CrashMemory,
  to: CrashMemory,
  { fromMs, untilMs }: { fromMs: number; untilMs: number },
): number {
  let largest = 0;
  for (let nowMs = fromMs; nowMs <= untilMs; nowMs += REPORT_INTERVAL_MS) {
    const { recent, remembered } = from.createReport(isSuspected, nowMs);
    const reports = [...recent, ...remembered];
    largest = Math.max(largest, reports.length);
    for (const report of reports) to.recordReport(report, nowMs);
  }
  return largest;
}

// Guards against a process that starts, or a host that was cut off, and does not
// learn of blocks that became known before.
test("a block is reported at any time after it became known", (t) => {
  const results: Record<string, unknown> = {};
  for (const ageMs of [0, 4_999, 5_000, 600_000, HOUR_MS - 20_000, HOUR_MS]) {
    const memory = new CrashMemory();
    memory.record("f", { targetId: "", nowMs: 0 });
    memory.record("g", { targetId: "t", nowMs: 0 });
    memory.dropExpired(ageMs);
    results[`after ${ageMs} ms`] = memory.createReport(isSuspected, ageMs);
    results[`answered, after ${ageMs} ms`] = memory.createReport(
      () => false,
      ageMs,
    );
  }
  matchSnapshot(t, results);
});

// Guards against reports that exceed a datagram, and against entries that are
// never reported as others take their place.
test("many blocks are reported in turn, in reports of bounded size", () => {
  const memory = new CrashMemory();
  const other = new CrashMemory();
  for (let i = 0; i < 1_000; i++) {
    memory.record(`f${i}`, { targetId: "", nowMs: 0 });
    memory.record(`f${i}`, { targetId: "t", nowMs: 0 });
  }
  const recentSize = exchange(memory, other, { fromMs: 0, untilMs: 4_900 });
  assert.ok(recentSize <= 256, `${recentSize} entries`);
  const later = new CrashMemory();
  const untilMs = 100_000;
  const size = exchange(memory, later, { fromMs: 10_000, untilMs });
  assert.ok(size <= 8, `${size} entries`);
  memory.repeatReports(untilMs);
  const repeated = exchange(memory, later, {
    fromMs: untilMs,
    untilMs: untilMs + 2_900,
  });
  assert.ok(repeated > size && repeated <= 128, `${repeated} entries`);
  for (let i = 0; i < 1_000; i++) {
    assert.ok(other.isBlocked(`f${i}`, 4_900), `f${i} while it is recent`);
    assert.ok(later.isBlocked(`f${i}`, untilMs + 3_000), `f${i} in turn`);
  }
});

// Guards against a block that hosts renew by telling each other of it, and that
// never ends though the targets have been repaired.
test("a block ends an hour after it began on all hosts", () => {
  const hosts = [new CrashMemory(), new CrashMemory()];
  hosts[0].record("f", { targetId: "", nowMs: 0 });
  hosts[1].recordReport(block("f", 10), 20);
  for (let nowMs = 0; nowMs < HOUR_MS + 60_000; nowMs += 5_000) {
    for (const host of hosts) host.dropExpired(nowMs);
    const [first, second] = hosts;
    exchange(first, second, { fromMs: nowMs, untilMs: nowMs });
    exchange(second, first, { fromMs: nowMs, untilMs: nowMs });
    const isExpected = nowMs < HOUR_MS;
    assert.equal(first.isBlocked("f", nowMs), isExpected, `${nowMs} ms`);
  }
  assert.ok(hosts.every(({ isEmpty }) => isEmpty));
});

// Guards against memory that others can fill without end, and against crashes
// that displace blocks.
test("the number of entries is bounded, blocks apart from crashes", () => {
  const memory = new CrashMemory();
  memory.recordReport(block("f"), 0);
  for (let i = 0; i < 5_000; i++) {
    memory.recordReport(
      { fingerprint: `g${i}`, targetId: "t", ageMs: 0 },
      0,
    );
  }
  assert.ok(memory.isBlocked("f", 0));
  for (let i = 0; i < 5_000; i++) memory.recordReport(block(`b${i}`), 0);
  assert.ok(!memory.isBlocked("f", 0));
  const blocked = Array.from({ length: 5_000 }, (_, i) => `b${i}`)
    .filter((fingerprint) => memory.isBlocked(fingerprint, 0));
  assert.equal(blocked.length, 1_024);
});
