/**
 * Case 10: an upload of 1.5 MB that crashes each server that runs it comes again
 * and again, as the network delivers it: in parts of other sizes each time.
 *
 * @module
 */
import { createRequestId, formatHead, send } from "../common-2/client.ts";
import {
  createRandom,
  sleep,
  STABLE_WINDOW_MS,
  startFleet,
} from "../common-2/fleet.ts";
import { HAS_TROUBLE, type Record, runCase } from "../common-2/record.ts";

const SEED = 10;
const HOSTS = 3;
const COMINGS = 16;
const PAUSE_MS = 1_500;
/** Retries that the rule allows. */
const MAX_RETRIES = 3;
const UPLOADS = [
  { path: "/scans/small", bytes: 300_000 },
  { path: "/scans/large", bytes: 1_500_000 },
];

await runCase(10, async (record: Record) => {
  const random = createRandom(SEED);
  const fleet = await startFleet({
    hostCount: HOSTS,
    serversPerZone: 4,
    server: {
      crashes: (path) => HAS_TROUBLE && path.startsWith("/scans/"),
      downMs: 3_000,
    },
  });
  const { hosts, servers } = fleet;

  function findArrivals(path: string) {
    return servers.flatMap(({ arrivals }) => arrivals)
      .filter((arrival) => arrival.path === path)
      .sort((a, b) => a.atMs - b.atMs);
  }

  async function upload(path: string, bytes: number): Promise<number> {
    const body = Buffer.alloc(bytes, path);
    for (let i = 0; i < COMINGS; i++) {
      const pieces: { bytes: Buffer; pauseMs: number }[] = [];
      for (let offset = 0; offset < bytes;) {
        const length = 10_000 + Math.floor(random() * 50_000);
        const part = body.subarray(offset, offset + length);
        pieces.push({ bytes: part, pauseMs: 3 });
        offset += length;
      }
      const host = hosts[i % HOSTS];
      const requestId = createRequestId();
      const sentMs = performance.now();
      const head = formatHead({
        method: "POST",
        path,
        requestId,
        bodyBytes: bytes,
      });
      const answer = await send(host.frontAddress, head, pieces);
      const reached = findArrivals(path)
        .filter((arrival) => arrival.requestId === requestId);
      record.add(
        `${requestId} ${path}, ${bytes} bytes in ${pieces.length} parts, ` +
          `to ${host.id}: ${answer?.status ?? "closed"}` +
          reached.map(({ serverId, hasRun }) =>
            `, ${hasRun ? "ran at" : "reached"} ${serverId}`
          ).join(""),
        sentMs,
      );
      await sleep(PAUSE_MS);
    }
    const arrivals = findArrivals(path);
    const runs = arrivals.filter(({ hasRun }) => hasRun);
    const thirdMs = HAS_TROUBLE ? runs[2]?.atMs ?? Infinity : Infinity;
    const late = arrivals.filter(({ atMs }) =>
      atMs > thirdMs + STABLE_WINDOW_MS
    );
    record.note(
      `${path}: sent ${COMINGS}, ran ${runs.length}, crashed ` +
        `${HAS_TROUBLE ? runs.length : 0}; later than ${STABLE_WINDOW_MS} ms ` +
        `after the third crash: ${late.length}, allowed ${MAX_RETRIES}`,
    );
    if (runs.length === 0) throw new Error("the request reached no server");
    return late.length;
  }

  try {
    for (const host of hosts) await fleet.waitUntilReady(host);
    await sleep(STABLE_WINDOW_MS + 500);
    let isBroken = false;
    for (const { path, bytes } of UPLOADS) {
      if (await upload(path, bytes) > MAX_RETRIES) isBroken = true;
    }
    return isBroken;
  } finally {
    await fleet.close();
  }
});
