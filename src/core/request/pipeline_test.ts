import assert from "node:assert/strict";
import { test } from "node:test";
import { openSnapshots } from "../../testing/snapshot.ts";
import {
  sampleDocument,
  sampleOrganisation,
  sampleRoute,
  sampleTarget,
} from "../../testing/samples.ts";
import type { Candidate } from "../balance/choose_target.ts";
import type { Route } from "../document/document.ts";
import { TargetTable } from "../targets/target_table.ts";
import type { AttemptOutcome } from "../targets/types.ts";
import type { PipelineParts } from "./parts.ts";
import { createPipeline, reduceRequest } from "./pipeline.ts";
import type { Arrival, RequestEffect, RequestEvent } from "./types.ts";

const matchSnapshot = await openSnapshots(import.meta.url);

const ARRIVAL: Arrival = {
  requestId: 1,
  method: "GET",
  host: "stock.example",
  path: "/stock/7",
  keyDigest: "digest",
  objectKey: "7",
  timeoutMs: 2_000,
  headerBytes: 200,
  bodyBytes: -1,
  malformed: false,
};

interface Options {
  readonly route?: Partial<Route>;
  readonly arrival?: Partial<Arrival>;
  readonly parts?: Partial<PipelineParts>;
  readonly targets?: number;
}

/** A host with some targets and one route. */
function createHost(options: Options = {}) {
  const route = sampleRoute(options.route);
  const document = sampleDocument({ routes: [route] });
  const table = new TargetTable();
  for (let i = 1; i <= (options.targets ?? 3); i++) {
    table.put(
      sampleTarget({ id: `target-${i}`, address: `192.0.2.${i}:80` }),
      0,
    );
  }
  const state = createPipeline();
  const counts: string[] = [];
  const parts: PipelineParts = {
    document: () => document,
    refusesAll: () => undefined,
    findRoute: (host, path) =>
      host === route.host && path.startsWith(route.pathPrefix)
        ? route
        : undefined,
    findOrganisation: (digest) =>
      digest === "digest" ? sampleOrganisation() : undefined,
    needsKeys: () => true,
    admit: () => ({ admitted: true, waitMs: 0 }),
    giveBack: () => counts.push("token given back"),
    pickService: () => "stockdesk",
    usableTargets: ({ tried }) =>
      table.ofService("stockdesk")
        .filter(({ target }) => !tried.includes(target.id)),
    chooseTarget: ([first]) => first && candidateOf(first),
    beginAttempt: (_request, target, nowMs) =>
      table.beginAttempt(target, undefined, nowMs),
    endAttempt: (flight, end, nowMs) => {
      counts.push(`${flight.state.target.id} ${end.outcome}`);
      table.endAttempt(flight, end, nowMs);
    },
    noteUnreachable: (id) => counts.push(`${id} unreachable`),
    noteVersion: (_request, _target, { bad }) =>
      counts.push(bad ? "bad for the version" : "good for the version"),
    expectedTime: () => ({ warmMs: 100, coldMs: 300 }),
    noteTime: () => {},
    noteAnswerBytes: () => {},
    noteRequest: () => {},
    takeRetry: () => true,
    isBlocked: () => false,
    findLateness: () => undefined,
    random: () => 0.5,
    ...options.parts,
  };
  const told: string[] = [];
  const apply = (event: RequestEvent, nowMs: number) => {
    const effects = reduceRequest(state, event, nowMs, parts);
    told.push(...effects.map(describe));
    return effects;
  };
  const arrive = () => {
    apply({ type: "arrived", arrival: { ...ARRIVAL, ...options.arrival } }, 0);
    apply({
      type: "body_ready",
      requestId: 1,
      bytes: 0,
      contentHash: "hash",
    }, 0);
  };
  return {
    state,
    table,
    told,
    counts,
    apply,
    arrive,
    end(outcome: AttemptOutcome, nowMs: number, sent = true) {
      const status = outcome === "answered" ? 200 : 0;
      apply({
        type: "attempt_ended",
        requestId: 1,
        end: { outcome, status },
        sent,
        canResend: true,
        answerBytes: 10,
      }, nowMs);
    },
  };
}

function candidateOf(state: Candidate["state"]): Candidate {
  return {
    state,
    expectedResponseMs: 100,
    queueWaitMs: 0,
    roundTripMs: 0,
    isWarm: true,
    holderRank: 0,
    costMs: 100,
  };
}

function describe(effect: RequestEffect): string {
  switch (effect.type) {
    case "send":
      return `send to ${effect.target.id}, ${effect.remainingMs} ms left`;
    case "refuse": {
      const { kind, status, ran, retryAfterMs } = effect.refusal;
      return `${status} ${kind}, ran: ${ran}, retry after ${retryAfterMs} ms`;
    }
    case "check_target":
      return `check ${effect.target.id}`;
    case "block":
    case "suspect":
      return `${effect.type} ${effect.fingerprint}`;
    default:
      return effect.type;
  }
}

const ONCE = { idempotent: false };

const ENDS: Record<string, { options?: Options; run: AttemptOutcome[] }> = {
  "answered": { run: ["answered"] },
  "failed, may run twice": { run: ["failed", "answered"] },
  "failed, runs once": { options: { route: ONCE }, run: ["failed"] },
  "shed, runs once": { options: { route: ONCE }, run: ["shed", "answered"] },
  "shed twice": { run: ["shed", "shed"] },
  "another target": { run: ["misdirected", "answered"] },
  "broken, may run twice": { run: ["broken", "answered"] },
  "broken, runs once": { options: { route: ONCE }, run: ["broken"] },
  "broken twice": { run: ["broken", "broken"] },
  "broken, then shed": { run: ["broken", "shed"] },
  "broken without a retry in the budget": {
    options: { parts: { takeRetry: () => false } },
    run: ["broken"],
  },
  "failed without another target": {
    options: { targets: 1 },
    run: ["failed"],
  },
};

// Guards against requests that run twice, against refusals that claim a
// request has not run, and against repeats that nobody counts.
test("how attempts end, by kind of request", (t) => {
  const rows = Object.entries(ENDS).map(([name, { options, run }]) => {
    const host = createHost(options);
    host.arrive();
    run.forEach((outcome, i) => host.end(outcome, (i + 1) * 50));
    assert.equal(host.state.requests.size, 0, name);
    return [name, [...host.told, ...host.counts]];
  });
  matchSnapshot(t, Object.fromEntries(rows));
});

// Guards against a request that is refused as not run after a connection to
// its target failed, while another one may take it.
test("a target that can't be reached takes no attempt", (t) => {
  const host = createHost({ route: { ...ONCE, maxAttempts: 1 } });
  host.arrive();
  host.end("unreachable", 10, false);
  host.end("answered", 60);
  matchSnapshot(t, [...host.told, ...host.counts]);
});

// Guards against refusals with the wrong promise, and against requests of
// callers that may not send them.
test("refusals on arrival", (t) => {
  const refused = (options: Options) => {
    const host = createHost(options);
    host.arrive();
    assert.equal(host.state.requests.size, 0);
    return host.told;
  };
  matchSnapshot(t, {
    "no configuration": refused({ parts: { document: () => undefined } }),
    "host is stopping": refused({
      parts: { refusesAll: () => ({ kind: "host_leaving", why: "stop" }) },
    }),
    "malformed": refused({ arrival: { malformed: true } }),
    "large headers": refused({ arrival: { headerBytes: 20_000 } }),
    "unknown path": refused({ arrival: { path: "/other" } }),
    "no key": refused({ arrival: { keyDigest: "" } }),
    "unknown key": refused({ arrival: { keyDigest: "x" } }),
    "large body": refused({ arrival: { bodyBytes: 2_000_000 } }),
    "over rate": refused({
      parts: { admit: () => ({ admitted: false, waitMs: 400 }) },
    }),
    "blocked": refused({ parts: { isBlocked: () => true } }),
    "no target": refused({ targets: 0 }),
    "too late": refused({
      parts: {
        findLateness: () => ({ reason: "too long a wait", retryAfterMs: 80 }),
      },
    }),
  });
});

// Guards against keys that are asked for where none is needed, and against
// another organisation on open routes.
test("open routes need no key", () => {
  const host = createHost({
    route: { open: true },
    arrival: { keyDigest: "x" },
  });
  host.arrive();
  assert.equal(host.told.length, 1);
  assert.match(host.told[0], /^send to target-1/);
});

// Guards against requests that are held past their deadline, and against a
// refusal as not run while a target works on the request.
test("deadlines of caller and route", (t) => {
  const at = (options: Options) => {
    const host = createHost(options);
    host.arrive();
    for (let nowMs = 0; nowMs <= 3_000; nowMs += 25) {
      const before = host.told.length;
      host.apply({ type: "tick" }, nowMs);
      if (host.told.length > before) host.told.push(`at ${nowMs} ms`);
    }
    return host.told;
  };
  matchSnapshot(t, {
    "the route's time-out is shorter": at({ route: ONCE }),
    "the caller's deadline is shorter": at({
      route: ONCE,
      arrival: { timeoutMs: 300 },
    }),
    "no time-out of the route": at({ route: { ...ONCE, timeoutMs: 0 } }),
    "may run twice, target silent": at({}),
  });
});

// Guards against an answer that is given up because its target is busy, and
// against waiting for a target that is gone.
test("a silent target is checked before a request leaves it", (t) => {
  const run = (options: Options, refused: boolean) => {
    const host = createHost(options);
    host.arrive();
    host.apply({ type: "tick" }, 700);
    if (refused) {
      host.apply({ type: "target_refused", targetId: "target-1" }, 800);
    }
    host.apply({ type: "tick" }, 900);
    return host.told;
  };
  matchSnapshot(t, {
    "it can be reached": run({}, false),
    "it is gone": run({}, true),
    "it is gone, the request runs once": run({ route: ONCE }, true),
    "it is gone, there is no other": run({ targets: 1 }, true),
    "it is gone, the budget is used up": run(
      { parts: { takeRetry: () => false } },
      true,
    ),
  });
});

// Guards against work for a caller that has left.
test("a caller that leaves ends the attempt", () => {
  const host = createHost();
  host.arrive();
  host.apply({ type: "caller_gone", requestId: 1 }, 50);
  assert.deepEqual(host.told.slice(1), ["abort"]);
  assert.equal(host.state.requests.size, 0);
  const [first] = host.table.ofService("stockdesk");
  assert.equal(first.load.inFlightAttempts, 0);
});

// Guards against an answer that looks whole although it broke off.
test("an answer that breaks off closes the caller's connection", () => {
  const host = createHost();
  host.arrive();
  host.apply({ type: "answer_started", requestId: 1 }, 50);
  host.end("broken", 80);
  assert.equal(host.told.at(-1), "break");
});

// Guards against a request that crashes one target after the other.
test("a request that crashed two targets is blocked", () => {
  const host = createHost({ route: { maxAttempts: 3 } });
  host.arrive();
  host.end("broken", 50);
  host.apply({ type: "target_refused", targetId: "target-1" }, 60);
  host.end("broken", 100);
  host.apply({ type: "target_refused", targetId: "target-2" }, 110);
  const blocked = host.told.filter((line) => line.startsWith("block"));
  assert.deepEqual(blocked, ["block stock/drivers/hash"]);
});
