/**
 * Case 7: an entry host gets SIGTERM while clients have several safe requests
 * on a connection. Each client sends the next one at random times, whether or
 * not the earlier ones are answered, until an answer says that the connection
 * closes, or until its next lookup.
 *
 * @module
 */
import {
  AnswerReader,
  createRequestId,
  formatHead,
  open,
} from "../common-2/client.ts";
import {
  createRandom,
  GRACE_MS,
  sleep,
  startFleet,
} from "../common-2/fleet.ts";
import { HAS_TROUBLE, type Record, runCase } from "../common-2/record.ts";

const CONNECTIONS = 40;
const SEED = 7;
/** Clients keep a lookup's answer for two seconds. */
const LOOKUP_TTL_MS = 2_000;
const MAX_OPEN_REQUESTS = 4;
const MEAN_PAUSE_MS = 250;
const ROUTE_TIMEOUT_MS = 2_000;
const CLIENT_DEADLINE_MS = 4_000;

interface SentRequest {
  readonly id: string;
  readonly connection: number;
  readonly sentMs: number;
  answeredMs: number;
  /** Time at which the connection ended. */
  endedMs: number;
}

/** Sends requests on one connection until `stopMs`. */
async function runConnection(
  address: string,
  { connection, stopMs, random }: {
    connection: number;
    stopMs: number;
    random: () => number;
  },
): Promise<SentRequest[]> {
  const sent: SentRequest[] = [];
  const openRequests = new Map<string, SentRequest>();
  const reader = new AnswerReader();
  const socket = open(address);
  let mayClose = false;
  const ended = new Promise<void>((resolve) =>
    socket.once("close", () => {
      for (const request of openRequests.values()) {
        request.endedMs = performance.now();
      }
      resolve();
    })
  );
  socket.on("error", () => {});
  socket.on("data", (chunk: Buffer) => {
    for (const { headers } of reader.push(chunk)) {
      const id = headers.get("x-cranberryhoist-request-id") ?? "";
      const request = openRequests.get(id);
      if (request !== undefined) request.answeredMs = performance.now();
      openRequests.delete(id);
      if (headers.get("connection") === "close") mayClose = true;
    }
  });
  while (performance.now() < stopMs && !socket.destroyed && !mayClose) {
    if (openRequests.size < MAX_OPEN_REQUESTS) {
      const id = createRequestId();
      const request: SentRequest = {
        id,
        connection,
        sentMs: performance.now(),
        answeredMs: 0,
        endedMs: 0,
      };
      sent.push(request);
      openRequests.set(id, request);
      const path = `/looks/${id}`;
      const deadlineMs = CLIENT_DEADLINE_MS;
      socket.write(
        formatHead({ method: "GET", path, requestId: id, deadlineMs }),
      );
    }
    await sleep(-Math.log(1 - random()) * MEAN_PAUSE_MS);
  }
  // Waits for the answers to what was sent.
  const waitUntilMs = performance.now() + CLIENT_DEADLINE_MS;
  while (
    openRequests.size > 0 && !socket.destroyed &&
    performance.now() < waitUntilMs
  ) await sleep(20);
  socket.end();
  await Promise.race([ended, sleep(500)]);
  socket.destroy();
  return sent;
}

await runCase(7, async (record: Record) => {
  const random = createRandom(SEED);
  const fleet = await startFleet({
    hostCount: 3,
    serversPerZone: 6,
    server: { slots: 8, workMs: () => 100 + 800 * random() },
  });
  try {
    for (const host of fleet.hosts) await fleet.waitUntilReady(host);
    await sleep(3_500);
    const [host] = fleet.hosts;
    const startMs = performance.now();
    const termMs = startMs + 3_000;
    const connections = Array.from(
      { length: CONNECTIONS },
      (_, connection) =>
        runConnection(host.frontAddress, {
          connection,
          // A client's last lookup was up to one TTL before the signal.
          stopMs: termMs + random() * LOOKUP_TTL_MS,
          random,
        }),
    );
    await sleep(termMs - performance.now());
    if (HAS_TROUBLE) {
      host.process.kill("SIGTERM");
      record.add(`SIGTERM to ${host.id}`);
    }
    const sent = (await Promise.all(connections)).flat();
    if (HAS_TROUBLE) await Promise.race([host.exited, sleep(GRACE_MS)]);
    const arrivals = new Map(
      fleet.servers.flatMap(({ arrivals }) => arrivals)
        .map((arrival) => [arrival.requestId, arrival]),
    );
    let lost = 0;
    let lostAnswers = 0;
    const counted = { sent: sent.length, answered: 0, notPassedOn: 0 };
    for (const request of sent) {
      const { id, connection, sentMs, answeredMs, endedMs } = request;
      if (answeredMs > 0) {
        counted.answered += 1;
        continue;
      }
      const arrival = arrivals.get(id);
      if (arrival === undefined) {
        counted.notPassedOn += 1;
        continue;
      }
      // Without an end of the connection, nothing shows that it was closed.
      if (endedMs === 0) continue;
      // The rule excuses what reached the route's timeout or was still at work
      // in the last sixth of the grace period.
      if (endedMs - sentMs >= ROUTE_TIMEOUT_MS) continue;
      if (endedMs - termMs >= GRACE_MS * 5 / 6) continue;
      lost += 1;
      if (arrival.answeredMs > 0) lostAnswers += 1;
      record.add(`connection ${connection} sends ${id}`, sentMs);
      record.add(`  it reaches ${arrival.serverId}`, arrival.atMs);
      if (arrival.answeredMs > 0) {
        record.add("  the server has answered it", arrival.answeredMs);
      }
      record.add("  the host closes the connection; no answer", endedMs);
    }
    record.note(
      `sent ${counted.sent}, answered ${counted.answered}, ` +
        `never passed on ${counted.notPassedOn}, ` +
        `passed on and lost ${lost}, of these answered by the server ${lostAnswers}`,
    );
    if (counted.answered === 0) throw new Error("no request was answered");
    return lost > 0;
  } finally {
    await fleet.close();
  }
});
