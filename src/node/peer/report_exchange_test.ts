import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { Membership } from "../../core/membership/membership.ts";
import type { HostReport } from "../../core/membership/report.ts";
import type { HostAddress } from "../../core/membership/types.ts";
import { monotonicMs } from "../clock.ts";
import { createRecordingLog } from "../../testing/recording_log.ts";
import { createMetrics } from "../telemetry/metrics.ts";
import { encodeDatagram } from "./report_codec.ts";
import { ReportExchange } from "./report_exchange.ts";

function createHost(id: string, peerAddress: string): HostAddress {
  return {
    id,
    availabilityZone: "north-a",
    region: "north",
    callerAddress: "192.0.2.1:80",
    peerAddress,
  };
}

function createReport(host: HostAddress): HostReport {
  return {
    record: {
      ...host,
      startedMs: 1,
      sequence: 1,
      state: "ready",
      hasTargetPath: true,
      build: "0.1.0+1a2b3c4",
      hasMissedReports: false,
    },
    positions: new Map(),
    documentVersion: 0,
    demands: new Map(),
    counts: [],
    stopped: [],
    releases: [],
    limits: [],
    observations: [],
    leavingTargets: [],
    store: {
      watches: false,
      isFailing: false,
      ageMs: 0,
      sinceReturnMs: Infinity,
      confirmations: [],
    },
    crashReports: [],
    rememberedCrashes: [],
  };
}

// Guards against a host with an invalid address, a datagram that is none, and an
// error in handling one, each of which ended the process or the reports to the
// other hosts.
test("one bad peer or datagram does not stop the reports", async (t) => {
  const receiver = createSocket("udp4");
  await new Promise<void>((done) => receiver.bind(0, "127.0.0.1", done));
  const { port } = receiver.address() as AddressInfo;
  const self = createHost("host-0", "127.0.0.1:0");
  const membership = new Membership(self);
  membership.setRegistered([
    createHost("bad-port", "127.0.0.1:70000"),
    createHost("no-port", "nowhere"),
    createHost("good", `127.0.0.1:${port}`),
  ]);
  const { log, warnings } = createRecordingLog();
  const handled: string[] = [];
  const exchange = new ReportExchange({
    address: self.peerAddress,
    membership,
    seeds: [],
    nowMs: monotonicMs,
    log,
    metrics: createMetrics(),
    createReport: () => createReport(self),
    summarizeZone: () => {
      throw new Error("not a delegate");
    },
    onReport({ record: { id } }) {
      if (id === "faulty") throw new Error("unexpected");
      handled.push(id);
    },
    onZoneSummary: () => true,
    onPushedDelta: () => false,
  });
  const received = new Promise<number>((resolve) =>
    receiver.on(
      "message",
      (_bytes, { port: senderPort }) => resolve(senderPort),
    )
  );
  await exchange.start({ field: "listen.a", waitMs: 0, onWait() {} });
  t.after(() => {
    exchange.close();
    receiver.close();
  });
  const senderPort = await received;
  const send = (bytes: Uint8Array) =>
    new Promise((done) => receiver.send(bytes, senderPort, "127.0.0.1", done));
  await send(Buffer.from([255, 1, 2]));
  const reports = [createHost("faulty", "x"), createHost("sound", "x")]
    .map(createReport);
  await send(encodeDatagram({ reports }));
  await new Promise((done) => setTimeout(done, 100));
  assert.deepEqual(handled, ["sound"]);
  assert.equal(warnings.filter((w) => w === "datagram_unreadable").length, 2);
});
