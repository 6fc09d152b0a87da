/**
 * A server of the service `desk`, as PROTOCOL.md describes one: it registers in
 * the store, echoes ids, seals its answers, tells its load, rejects what does
 * not fit into its queue, and comes back as a new incarnation after a crash.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server as HttpServer,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { StoreStandIn } from "../../platform/testing/store_stand_in.ts";

const ID = "x-cranberryhoist-request-id";
const INSTANCE = "x-cranberryhoist-target-instance";

/** Heartbeat interval times three: a silent server's entry is removed then. */
const ENTRY_LIFE_MS = 4_500;
const COLD_MS = 3_000;

/** A request that reached a server. */
export interface Arrival {
  readonly atMs: number;
  readonly requestId: string;
  readonly path: string;
  readonly serverId: string;
  /** Whether the server has begun to run it. */
  hasRun: boolean;
  /** Time at which the server had written its whole answer; 0 if never. */
  answeredMs: number;
}

/** Options of a server. */
export interface ServerOptions {
  readonly store: StoreStandIn;
  readonly zone: string;
  readonly slots?: number;
  /** Returns how long a request takes. */
  readonly workMs?: (path: string) => number;
  /** Whether a request crashes each server that begins to run it. */
  readonly crashes?: (path: string) => boolean;
  /** Time for which a crashed server is down. */
  readonly downMs?: number;
  /**
   * Returns the bytes that the server sends in place of the answer to a request
   * before it closes the connection; `undefined` for a sound answer.
   */
  readonly spoil?: (requestId: string) => string | undefined;
}

let incarnations = 0;

/** A server in this process. */
export class Server {
  readonly arrivals: Arrival[] = [];
  id = "";
  crashCount = 0;
  readonly #options: ServerOptions;
  readonly #sockets = new Set<Socket>();
  readonly #waiting: (() => void)[] = [];
  #http: HttpServer | undefined;
  #port = 0;
  #running = 0;
  #isClosed = false;

  constructor(options: ServerOptions) {
    this.#options = options;
  }

  /** Starts an incarnation; those after a crash are cold at first. */
  async start(): Promise<void> {
    incarnations += 1;
    this.id = `i-${(0x7f3a0000 + incarnations).toString(16)}`;
    this.#running = 0;
    const http = createServer((req, res) => this.#handle(req, res));
    http.keepAliveTimeout = 10_000;
    http.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise<void>((resolve) =>
      http.listen(this.#port, "127.0.0.1", resolve)
    );
    this.#http = http;
    this.#port = (http.address() as AddressInfo).port;
    const { store, zone, slots = 6 } = this.#options;
    store.write("servers", this.id, {
      addr: `127.0.0.1:${this.#port}`,
      born: Date.now(),
      info: { service: "desk", version: "v1", zone, slots },
      status: {
        state: "ready",
        seq: 1,
        coldLeft: this.crashCount > 0 ? `${COLD_MS}ms` : "0ms",
      },
    });
  }

  close(): void {
    this.#isClosed = true;
    this.#stopListening();
  }

  #stopListening(): void {
    for (const socket of this.#sockets) socket.resetAndDestroy();
    this.#http?.close();
    this.#http = undefined;
  }

  #crash(): void {
    if (this.#http === undefined) return;
    this.crashCount += 1;
    const { store, downMs = 3_000 } = this.#options;
    const deadId = this.id;
    this.#waiting.length = 0;
    this.#stopListening();
    setTimeout(() => {
      if (!this.#isClosed) this.start();
    }, downMs);
    setTimeout(() => {
      if (!this.#isClosed) store.remove("servers", deadId);
    }, ENTRY_LIFE_MS);
  }

  async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { slots = 6, workMs = () => 20, crashes = () => false } =
      this.#options;
    const { id } = this;
    const path = req.url ?? "/";
    const requestId = String(req.headers[ID] ?? "");
    req.on("error", () => {});
    res.on("error", () => {});
    if (path === "/health") {
      res.setHeader("x-cranberryhoist-instance-id", id);
      return this.#answer(res, 200, "");
    }
    const arrival: Arrival = {
      atMs: performance.now(),
      requestId,
      path,
      serverId: id,
      hasRun: false,
      answeredMs: 0,
    };
    this.arrivals.push(arrival);
    for await (const _chunk of req.on("error", () => {})) { /* read whole */ }
    if (requestId !== "") res.setHeader(ID, requestId);
    const expected = req.headers[INSTANCE];
    if (expected !== undefined && expected !== id) {
      return this.#answer(res, 421, "");
    }
    if (requestId === "" || this.#waiting.length >= 3 * slots) {
      res.setHeader("x-cranberryhoist-not-executed", "1");
      return this.#answer(res, requestId === "" ? 400 : 503, "");
    }
    if (this.#running >= slots) {
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
    }
    if (res.destroyed || id !== this.id) return this.#waiting.shift()?.();
    this.#running += 1;
    arrival.hasRun = true;
    if (crashes(path)) return this.#crash();
    await new Promise((resolve) => setTimeout(resolve, workMs(path)));
    // A crash has ended this incarnation.
    if (id !== this.id) return;
    this.#running -= 1;
    this.#waiting.shift()?.();
    if (res.destroyed) return;
    const spoilt = this.#options.spoil?.(requestId);
    if (spoilt !== undefined) {
      return void req.socket.end(Buffer.from(spoilt, "latin1"));
    }
    res.setHeader("x-cranberryhoist-server-seal", `${id}.${requestId}`);
    res.setHeader(
      "x-cranberryhoist-server-load",
      `${this.#running},${this.#waiting.length},${slots}`,
    );
    res.once("finish", () => arrival.answeredMs = performance.now());
    this.#answer(res, 200, `answer of ${id} to ${requestId}`);
  }

  #answer(res: ServerResponse, status: number, body: string): void {
    res.writeHead(status, { "content-length": Buffer.byteLength(body) });
    res.end(body);
  }
}
