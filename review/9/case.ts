/**
 * Case 9: a request that crashes each server that runs it comes again and
 * again. The hosts block it after two crashes. Then they are stopped and started
 * in turn. Each time, when all are in touch again, the request comes once at
 * another host, once at the host that was restarted, and once at another.
 *
 * @module
 */
import { createRequestId, formatHead, send } from "../common-2/client.ts";
import { sleep, STABLE_WINDOW_MS, startFleet } from "../common-2/fleet.ts";
import { HAS_TROUBLE, type Record, runCase } from "../common-2/record.ts";

const HOSTS = 9;
const POISON_PATH = "/orders/7c1f";
const POISON_BODY = Buffer.from("harden die 4471 at 780 C\n".repeat(40));
/** Time between two comings of the request. */
const PAUSE_MS = 700;
/** Time from the last coming of the request to the next stop of a host. */
const PAUSE_BEFORE_STOP_MS = 1_500;
/** Retries that the rule allows. */
const MAX_RETRIES = 3;

await runCase(9, async (record: Record) => {
  const fleet = await startFleet({
    hostCount: HOSTS,
    serversPerZone: 4,
    server: { crashes: (path) => path === POISON_PATH, downMs: 3_000 },
  });
  const { hosts, servers } = fleet;
  /** Sends, and whether the host had run for the stable window by then. */
  const sends = new Map<string, { sentMs: number; isInTouch: boolean }>();

  async function sendPoison(index: number): Promise<void> {
    const host = hosts[index % HOSTS];
    const requestId = createRequestId();
    const sentMs = performance.now();
    const isInTouch = sentMs - host.startedMs > STABLE_WINDOW_MS;
    sends.set(requestId, { sentMs, isInTouch });
    const bodyBytes = POISON_BODY.length;
    const head = formatHead({
      method: "POST",
      path: POISON_PATH,
      requestId,
      bodyBytes,
    });
    const answer = await send(host.frontAddress, head, [
      { bytes: POISON_BODY, pauseMs: 0 },
    ]);
    const reached = findPoison().find((run) => run.requestId === requestId);
    record.add(
      `${requestId} to ${host.id}${isInTouch ? "" : " (not in touch)"}: ` +
        `${answer?.status ?? "closed"}` +
        (reached ? `, crashed ${reached.serverId}` : ", reached no server"),
      sentMs,
    );
    await sleep(PAUSE_MS);
  }

  function findPoison() {
    return servers.flatMap(({ arrivals }) => arrivals)
      .filter(({ path }) => path === POISON_PATH)
      .sort((a, b) => a.atMs - b.atMs);
  }

  try {
    for (const host of hosts) await fleet.waitUntilReady(host);
    await sleep(STABLE_WINDOW_MS + 500);
    record.add("the request comes to four hosts");
    for (let i = 0; i < 4; i++) await sendPoison(i);
    await sleep(PAUSE_BEFORE_STOP_MS);
    for (const [index, host] of hosts.entries()) {
      if (HAS_TROUBLE) {
        record.add(`SIGTERM to ${host.id}`);
        host.process.kill("SIGTERM");
        await host.exited;
        host.start();
        record.add(`${host.id} starts again`);
        await fleet.waitUntilReady(host);
        record.add(`${host.id} is ready`);
      }
      await sleep(STABLE_WINDOW_MS + 200);
      await sendPoison(index + 1);
      await sendPoison(index);
      await sendPoison(index + 2);
      await sleep(PAUSE_BEFORE_STOP_MS);
    }
    const runs = findPoison().filter(({ hasRun }) => hasRun);
    const thirdMs = runs[2]?.atMs ?? Infinity;
    const late = findPoison().filter(({ atMs, requestId }) =>
      atMs > thirdMs + STABLE_WINDOW_MS && sends.get(requestId)?.isInTouch
    );
    record.note(
      `sent ${sends.size}, servers crashed ${runs.length}; by machines in touch, ` +
        `${STABLE_WINDOW_MS} ms after the third crash and later: ` +
        `${late.length}, allowed ${MAX_RETRIES}`,
    );
    if (runs.length === 0) throw new Error("the request reached no server");
    return late.length > MAX_RETRIES;
  } finally {
    await fleet.close();
  }
});
