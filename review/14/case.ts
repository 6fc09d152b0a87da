/**
 * The machines that watch the store's servers are partitioned from the store,
 * and servers drain just then. The other machines reach the store all the while,
 * but hand work to these servers after `drain`, and it is cut off when they exit.
 */
import { connect, createServer, type Server, type Socket } from "node:net";
import { StoreStandIn } from "../../platform/testing/store_stand_in.ts";
import {
  BackEnd,
  Caller,
  createConfig,
  findPorts,
  Fleet,
  Record,
  runCase,
  sleep,
} from "../harness_3.ts";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const ROUNDS = 4;
/** Machines that are cut off in a round: 3 of 9, of which 0.35 may be. */
const CUT_COUNT = 3;
const CUT_MS = 5_500;
const ROUND_PAUSE_MS = 6_500;
/** Time from the cut to the servers' notice. */
const NOTICE_AFTER_MS = 50;
const DRAIN_MS = 2_000;
const WORK_MS = 600;
/** A server ends a little later than what it took within `drain` needs. */
const EXIT_MS = DRAIN_MS + WORK_MS + 150;
const SERVERS_PER_ZONE = 4;
const DRAINING_COUNT = 4;
const CALLERS_PER_HOST = 8;
const DEADLINE_MS = 6_000;
const KEY = "9anu6wsjnbanfqasnmgk";
const HOST_NAME = "hulo84.example";
const ZONES = {
  "luz-a": "luzon",
  "vis-a": "visayas",
  "min-a": "mindanao",
  "luz-b": "luzon",
  "vis-b": "visayas",
  "min-b": "mindanao",
};
const MACHINES = [
  "front-luz-a-1",
  "front-luz-a-2",
  "front-vis-a-1",
  "front-vis-a-2",
  "front-min-a-1",
  "front-min-a-2",
  "front-luz-b-1",
  "front-vis-b-1",
  "front-min-b-1",
];
const BOUNDS = ["stableWindow=3000ms", "grace=6s", `drain=${DRAIN_MS}ms`];

const record = new Record(process.argv[2]);
const fleet = new Fleet();
const store = new StoreStandIn();
const backEnds: BackEnd[] = [];

/** The path between one machine and the store, which may be cut silently. */
class StorePath {
  readonly hostId: string;
  isCut = false;
  /** Time of the last watch of the servers. */
  watchedMs = -Infinity;
  #server: Server;
  readonly #sockets = new Set<Socket>();

  constructor(hostId: string, storePort: number) {
    this.hostId = hostId;
    this.#server = createServer((client) => {
      const upstream = connect({ port: storePort, host: "127.0.0.1" });
      for (const [from, to] of [[client, upstream], [upstream, client]]) {
        this.#sockets.add(from);
        from.on("error", () => {});
        from.on("data", (chunk: Buffer) => {
          if (from === client && !this.isCut) this.#look(chunk);
          if (!this.isCut && !to.destroyed) to.write(chunk);
        });
        from.on("close", () => {
          this.#sockets.delete(from);
          to.destroy();
        });
      }
    });
  }

  async listen(port: number): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(port, "127.0.0.1", resolve)
    );
  }

  /** Ends the cut; connections that lost bytes are closed. */
  heal(): void {
    this.isCut = false;
    for (const socket of this.#sockets) socket.destroy();
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #look(chunk: Buffer): void {
    if (chunk.includes("GET /objects/servers?watch=")) {
      this.watchedMs = performance.now();
    }
  }
}

const paths: StorePath[] = [];
/** Acknowledged notices by server. */
const noticedMs = new Map<string, number>();
const cutIds = new Set<string>();
/** Last arrival at a server by order. */
const arrivedMs = new Map<string, number>();
let isOver = false;
let orderCount = 0;

interface Order {
  readonly id: string;
  readonly hostId: string;
  readonly sentMs: number;
  /** Whether the machine was in touch from `stableWindow` before. */
  readonly isInTouch: boolean;
  end: string;
}
const orders: Order[] = [];
const inTouchFromMs = new Map<string, number>();

async function runCaller(port: number, hostId: string): Promise<void> {
  const caller = new Caller(port);
  while (!isOver) {
    const order: Order = {
      id: `order-${orderCount++}`,
      hostId,
      sentMs: performance.now(),
      isInTouch: !cutIds.has(hostId) &&
        performance.now() > (inTouchFromMs.get(hostId) ?? 0),
      end: "none",
    };
    orders.push(order);
    const { status, error } = await caller.send({
      method: "POST",
      path: "/xapu221/2f",
      id: order.id,
      key: KEY,
      deadlineMs: DEADLINE_MS,
      body: "a hardening order",
      host: HOST_NAME,
    });
    order.end = status === 0 ? error : String(status);
    await sleep(20 + 40 * Math.random());
  }
  caller.close();
}

async function addServers(): Promise<void> {
  for (const zone of Object.keys(ZONES)) {
    const present = backEnds.filter((backEnd) =>
      backEnd.zone === zone && !noticedMs.has(backEnd.id)
    );
    for (let i = present.length; i < SERVERS_PER_ZONE; i++) {
      const backEnd = new BackEnd({
        id: `i-${backEnds.length}-${zone}`,
        service: "furnaceq",
        zone,
        workMs: WORK_MS,
        slots: 32,
      });
      backEnd.onArrival = (id) => arrivedMs.set(id, performance.now());
      await backEnd.start();
      backEnds.push(backEnd);
      store.write("servers", backEnd.id, backEnd.entry("ready"));
    }
  }
}

/** Drains some servers, each of another zone. */
function drain(): void {
  const zones = Object.keys(ZONES).sort(() => Math.random() - 0.5);
  for (const zone of zones.slice(0, DRAINING_COUNT)) {
    const backEnd = backEnds.find((candidate) =>
      candidate.zone === zone && !noticedMs.has(candidate.id)
    );
    if (backEnd === undefined) continue;
    store.write("servers", backEnd.id, backEnd.entry("draining"));
    noticedMs.set(backEnd.id, performance.now());
    record.write(`${backEnd.id} is leaving: acknowledged by the store`);
    setTimeout(() => {
      store.remove("servers", backEnd.id);
      backEnd.end();
      record.write(`${backEnd.id} exits`);
    }, EXIT_MS);
  }
}

await runCase(record, async () => {
  const storePort = Number((await store.start()).split(":")[1]);
  const ports = await findPorts(MACHINES.length);
  for (const [i, id] of MACHINES.entries()) {
    const path = new StorePath(id, storePort);
    await path.listen(ports[i]);
    paths.push(path);
  }
  await addServers();
  store.write(
    "config",
    "main",
    createConfig({
      version: 7,
      routes: [[
        "r-m2d54xb",
        HOST_NAME,
        "/xapu221/",
        "unsafe",
        "5000ms",
        "800ms",
        1,
        null,
        2,
        false,
        false,
        [],
        "furnaceq",
      ]],
      services: ["furnaceq"],
      key: KEY,
    }),
  );
  await fleet.start(
    MACHINES.map((id) => ({ id, zone: id.slice(6, -2) })),
    {
      zones: ZONES,
      bounds: BOUNDS,
      storePort: (id) => ports[MACHINES.indexOf(id)],
    },
  );
  record.write(`${MACHINES.length} machines are ready`);
  const callers = fleet.hosts.flatMap(({ front, id }) =>
    Array.from({ length: CALLERS_PER_HOST }, () => runCaller(front, id))
  );
  await sleep(6_000);
  for (let round = 1; round <= ROUNDS; round++) {
    const readers = [...paths].sort((a, b) => b.watchedMs - a.watchedMs)
      .slice(0, CUT_COUNT);
    if (HAS_TROUBLE) {
      for (const path of readers) {
        path.isCut = true;
        cutIds.add(path.hostId);
      }
      const names = readers.map(({ hostId }) => hostId).join(", ");
      record.write(`round ${round}: ${names} are cut off from the store`);
    }
    await sleep(NOTICE_AFTER_MS);
    drain();
    await sleep(CUT_MS);
    for (const path of HAS_TROUBLE ? readers : []) {
      path.heal();
      cutIds.delete(path.hostId);
      inTouchFromMs.set(path.hostId, performance.now() + 3_000);
    }
    if (HAS_TROUBLE) record.write(`round ${round}: the cut has ended`);
    await addServers();
    await sleep(ROUND_PAUSE_MS);
  }
  isOver = true;
  await Promise.all(callers);
}, async () => {
  await fleet.close();
  for (const path of paths) path.close();
  for (const backEnd of backEnds) backEnd.end();
  await store.close();
});

const orderById = new Map(orders.map((order) => [order.id, order]));
let lateCount = 0;
let lostCount = 0;
for (const backEnd of backEnds) {
  const noticed = noticedMs.get(backEnd.id);
  if (noticed === undefined) continue;
  for (const { id, atMs, isCut } of backEnd.runs) {
    const order = orderById.get(id);
    const lateMs = Math.round((arrivedMs.get(id) ?? atMs) - noticed);
    if (order === undefined || lateMs <= DRAIN_MS || !order.isInTouch) continue;
    lateCount += 1;
    if (isCut && order.end !== "200") lostCount += 1;
    record.writeAll([
      `  ${id}, sent to ${order.hostId}, reaches ${backEnd.id} ${lateMs} ms ` +
      `after the notice (bound ${DRAIN_MS} ms); ` +
      `${isCut ? "cut off by its exit" : "run"}; the client gets ${order.end}`,
    ]);
  }
}
const ends = new Map<string, number>();
for (const { end } of orders) ends.set(end, (ends.get(end) ?? 0) + 1);
record.write(`ends of orders: ${JSON.stringify([...ends])}`);
record.write(
  `orders that reached a server later than drain: ${lateCount}, ` +
    `of which lost: ${lostCount}`,
);
record.write(`DRAIN ${lateCount > 0 ? "broken" : "held"}`);
process.exit(lateCount > 0 ? 1 : 0);
