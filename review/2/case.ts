/**
 * A faulty server spoils a byte in the status line of some answers. The requests
 * are unsafe, so they can't be sent again, but each has to get an answer: at the
 * latest, half a second after its route's timeout.
 *
 * @module
 */
import { Agent } from "node:http";
import { type Answer, sendRequest } from "../common/client.ts";
import { runCase, sleep } from "../common/fleet.ts";

const KEY = "9anu6wsjnbanfqasnmgk";
const REQUESTS = 1_500;
const REQUEST_GAP_MS = 3;
const ROUTE_TIMEOUT_MS = 2_500;
const SLACK_MS = 500;
const CLIENT_DEADLINE_MS = 6_000;
/** Two in a hundred answers of a third of the servers, as in the site file. */
const SPOILS_EACH = 50;
const FAULTY_SERVERS = 2;
const ZONES = ["luz-a", "vis-a", "min-a", "luz-a", "vis-a", "min-a"];
/** Least number of requests beyond their timeout for which the rule counts. */
const MIN_OVERDUE = 8;

await runCase(2, async (fleet) => {
  await fleet.startHosts(3);
  for (const [n, zone] of ZONES.entries()) {
    const isFaulty = fleet.hasTrouble && n < FAULTY_SERVERS;
    await fleet.addServer({
      id: `i-${n}`,
      service: "wuno96b",
      zone,
      slots: 16,
      spoilsEach: isFaulty ? SPOILS_EACH : 0,
      spoils: "status",
    });
  }
  fleet.configure([{
    name: "order",
    pathPrefix: "/xapu221/",
    kind: "unsafe",
    timeout: `${ROUTE_TIMEOUT_MS}ms`,
    service: "wuno96b",
  }], [KEY]);
  await fleet.waitUntilReady();
  await sleep(1_000);
  const agent = new Agent({ keepAlive: true });
  const pending: Promise<Answer>[] = [];
  for (let n = 0; n < REQUESTS; n++) {
    const { front } = fleet.hosts[n % fleet.hosts.length];
    pending.push(sendRequest(front, {
      path: `/xapu221/${n}`,
      method: "POST",
      body: "order",
      object: n % 24,
      key: KEY,
      agent,
      deadlineMs: CLIENT_DEADLINE_MS,
    }));
    await sleep(REQUEST_GAP_MS);
  }
  const answers = await Promise.all(pending);
  let overdue = 0;
  let unanswered = 0;
  for (const { requestId, sentMs, endedMs, status, error } of answers) {
    const tookMs = endedMs - sentMs;
    const isAnswered = status !== 0;
    const isOverdue = tookMs > ROUTE_TIMEOUT_MS;
    const isUnanswered = isOverdue &&
      (!isAnswered || tookMs > ROUTE_TIMEOUT_MS + SLACK_MS);
    if (isOverdue) overdue += 1;
    if (isUnanswered) unanswered += 1;
    const runs = fleet.runs.filter((run) => run.requestId === requestId);
    fleet.record(
      `request ${requestId} sent; run by ` +
        runs.map((run) => run.serverId + (run.isSpoilt ? " (spoilt)" : ""))
          .join(", ") +
        `; ${isAnswered ? `answer ${status}` : `no answer, ${error}`} after ` +
        `${Math.round(tookMs)} ms${isUnanswered ? "  <-- NO ANSWER" : ""}`,
      sentMs,
    );
  }
  const served = answers.filter(({ status }) => status === 200).length;
  if (served < REQUESTS / 2) throw new Error(`only ${served} were served`);
  const spoilt = fleet.runs.filter((run) => run.isSpoilt).length;
  return {
    isBroken: overdue >= MIN_OVERDUE && unanswered > overdue / 2,
    text: `${REQUESTS} requests, ${served} answered 200, ${spoilt} answers ` +
      `spoilt by servers; ${overdue} not answered at the route's timeout, ` +
      `${unanswered} of them not half a second later either`,
  };
});
