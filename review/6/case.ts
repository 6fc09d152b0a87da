/**
 * Case 6: for some seconds, a third of the servers send wrong bytes in place of
 * one answer in fifty: lines of a report that is filled up with blanks. The hosts
 * stand still while they parse them.
 *
 * @module
 */
import { createRequestId, formatHead, send } from "../common-2/client.ts";
import { createRandom, sleep, startFleet } from "../common-2/fleet.ts";
import { HAS_TROUBLE, type Record, runCase } from "../common-2/record.ts";

const SEED = 6;
const HOSTS = 3;
const SERVERS_PER_ZONE = 6;
const REQUESTS_PER_S = 25;
const DURATION_MS = 14_000;
/** Doses of `garble` on the site: a share of the servers, one in 50 answers. */
const FAULTY_SHARE = 0.35;
const ANSWERS_PER_SPOILT = 50;
const FAULT_FROM_MS = 4_000;
const FAULT_UNTIL_MS = 9_500;

/** Timeout of the route `hub-record`, as on the site. */
const ROUTE_TIMEOUT_MS = 1_000;
/** Time after a route's timeout in which the answer is due. */
const LATE_MS = 500;
/** Requests from which the rule counts. */
const MIN_REQUESTS = 8;

/** Lines of a report with two columns, the second far to the right. */
const REPORT = Array.from(
  { length: 4 },
  (_, line) => `Die-${4_470 + line}: hardened${" ".repeat(16_000)}ok\r\n`,
).join("");

interface SentRequest {
  readonly id: string;
  readonly hostId: string;
  readonly sentMs: number;
  answeredMs: number;
  status: number;
}

await runCase(6, async (record: Record) => {
  const random = createRandom(SEED);
  let startMs = Infinity;
  let answersOfFaulty = 0;
  let spoilt = 0;
  const spoil = () => {
    const elapsedMs = performance.now() - startMs;
    if (elapsedMs < FAULT_FROM_MS || elapsedMs >= FAULT_UNTIL_MS) {
      return undefined;
    }
    answersOfFaulty += 1;
    const isSpoilt = answersOfFaulty % ANSWERS_PER_SPOILT === 0;
    if (!HAS_TROUBLE || !isSpoilt) return undefined;
    spoilt += 1;
    record.add(`a server sends ${REPORT.length} wrong bytes`);
    return `HTTP/1.1 200 OK\r\n${REPORT}`;
  };
  const serverCount = 3 * SERVERS_PER_ZONE;
  const faultyCount = Math.floor(FAULTY_SHARE * serverCount);
  const fleet = await startFleet({
    hostCount: HOSTS,
    serversPerZone: SERVERS_PER_ZONE,
    server: { workMs: () => 100 + 500 * random() },
    // Every third server, until there are enough.
    serverOf: (number) =>
      number % 3 === 0 && number / 3 < faultyCount ? { spoil } : {},
  });
  const sent: SentRequest[] = [];
  const silences = new Map<string, number>();

  async function sendRequests(hostId: string, address: string): Promise<void> {
    const answers: Promise<void>[] = [];
    while (performance.now() < startMs + DURATION_MS) {
      const id = createRequestId();
      const request = {
        id,
        hostId,
        sentMs: performance.now(),
        answeredMs: Infinity,
        status: 0,
      };
      sent.push(request);
      const head = formatHead({
        method: "GET",
        path: `/records/${id}`,
        requestId: id,
        deadlineMs: 2_000,
      });
      answers.push(
        send(address, head).then((answer) => {
          if (answer === undefined) return;
          request.answeredMs = performance.now();
          request.status = answer.status;
        }),
      );
      await sleep(-Math.log(1 - random()) * 1_000 / REQUESTS_PER_S);
    }
    await Promise.race([Promise.all(answers), sleep(15_000)]);
  }

  /** Asks whether a host is ready, again and again. */
  async function probe(hostId: string, address: string): Promise<void> {
    while (performance.now() < startMs + DURATION_MS) {
      const askedMs = performance.now();
      await fetch(`http://${address}/ready`).then((r) => r.text(), () => "");
      const tookMs = performance.now() - askedMs;
      silences.set(hostId, Math.max(silences.get(hostId) ?? 0, tookMs));
      if (tookMs > 1_000) {
        record.add(
          `${hostId} answers GET /ready after ${Math.round(tookMs)} ms`,
        );
      }
      await sleep(200);
    }
  }

  try {
    for (const host of fleet.hosts) await fleet.waitUntilReady(host);
    await sleep(3_500);
    startMs = performance.now();
    await Promise.all(
      fleet.hosts.flatMap(({ id, frontAddress, readyAddress }) => [
        sendRequests(id, frontAddress),
        probe(id, readyAddress),
      ]),
    );
    const passedOn = new Set(
      fleet.servers.flatMap(({ arrivals }) => arrivals)
        .map(({ requestId }) => requestId),
    );
    const unanswered = sent.filter(({ sentMs, answeredMs }) =>
      answeredMs - sentMs > ROUTE_TIMEOUT_MS
    );
    const late = unanswered.filter(({ sentMs, answeredMs }) =>
      answeredMs - sentMs > ROUTE_TIMEOUT_MS + LATE_MS
    );
    const latePassedOn = late.filter(({ id }) => passedOn.has(id));
    for (const { id, hostId, sentMs, answeredMs, status } of late) {
      const tookMs = Math.round(answeredMs - sentMs);
      record.add(
        `${id} to ${hostId}: ${
          status === 0 ? "no answer" : `${status} after ${tookMs} ms`
        }`,
        sentMs,
      );
    }
    const ok = sent.filter(({ status }) => status === 200).length;
    const longest = [...silences].map(([id, ms]) => `${id} ${Math.round(ms)}`);
    record.note(`longest wait for GET /ready, in ms: ${longest.join(", ")}`);
    record.note(
      `sent ${sent.length}, answered with 200 ${ok}, wrong answers ${spoilt}; ` +
        `unanswered at the route's timeout ${unanswered.length}, ` +
        `of these without an answer ${LATE_MS} ms later ${late.length}, ` +
        `of these passed on to a server ${latePassedOn.length}`,
    );
    if (ok === 0) throw new Error("no request was answered");
    return unanswered.length >= MIN_REQUESTS &&
      late.length > unanswered.length / 2;
  } finally {
    await fleet.close();
  }
});
