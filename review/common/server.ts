/**
 * A stand-in of a server that keeps to PROTOCOL.md, and one fault: it may spoil
 * a byte in the head of an answer.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";

/** Prefix of the users' headers, in lower case. */
export const PREFIX = "x-cranberryhoist-";

/** A request that a server began to run. */
export interface Run {
  serverId: string;
  requestId: string;
  method: string;
  path: string;
  tenant: string;
  startedMs: number;
  /** Whether the whole answer was written. */
  isAnswered: boolean;
  isSpoilt: boolean;
}

/** Options of a server. */
export interface ServerOptions {
  id: string;
  service: string;
  zone: string;
  slots?: number;
  workMs?: number;
  bodyBytes?: number;
  /** Spoils each answer whose number is a multiple of it. */
  spoilsEach?: number;
  /** Where the wrong byte is: in a header, or in the text of the status line. */
  spoils?: "header" | "status";
}

/** A server. */
export class Server {
  readonly options: ServerOptions;
  readonly runs: Run[];
  address = "";
  #born = Date.now();
  #running = 0;
  #answers = 0;
  #sockets = new Set<Socket>();
  #server = createServer((req, res) => this.#receive(req, res));

  /** @param runs Shared list to which each run is added. */
  constructor(options: ServerOptions, runs: Run[]) {
    this.options = options;
    this.runs = runs;
  }

  async start(): Promise<void> {
    this.#server.keepAliveTimeout = 10_000;
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = this.#server.address() as AddressInfo;
    this.address = `127.0.0.1:${port}`;
  }

  /** Ends the server: what it runs is broken off. */
  exit(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  /** The server's entry in the store. */
  entry(state: "ready" | "draining" = "ready"): unknown {
    const { service, zone, slots = 6 } = this.options;
    return {
      addr: this.address,
      born: this.#born,
      info: { service, version: "v1", zone, slots },
      status: { state, seq: state === "ready" ? 1 : 2, coldLeft: "0ms" },
    };
  }

  #receive(req: IncomingMessage, res: ServerResponse): void {
    req.on("error", () => {});
    req.resume();
    req.on("end", () => this.#handle(req, res));
  }

  #handle(req: IncomingMessage, res: ServerResponse): void {
    const { id, slots = 6, workMs = 20, bodyBytes = 400 } = this.options;
    const requestId = String(req.headers[`${PREFIX}request-id`] ?? "");
    const instance = req.headers[`${PREFIX}target-instance`];
    res.setHeader("X-Cranberryhoist-Instance-Id", id);
    if (requestId !== "") {
      res.setHeader("X-Cranberryhoist-Request-Id", requestId);
    }
    if (req.url === "/health") return end(res, 200, "");
    if (requestId === "") {
      res.setHeader("X-Cranberryhoist-Not-Executed", "1");
      return end(res, 400, "");
    }
    if (instance !== undefined && instance !== id) {
      res.setHeader("X-Cranberryhoist-Not-Executed", "1");
      return end(res, 421, "");
    }
    const run: Run = {
      serverId: id,
      requestId,
      method: req.method ?? "",
      path: req.url ?? "",
      tenant: String(req.headers[`${PREFIX}tenant`] ?? ""),
      startedMs: performance.now(),
      isAnswered: false,
      isSpoilt: false,
    };
    this.runs.push(run);
    this.#running += 1;
    setTimeout(() => {
      this.#running -= 1;
      if (res.destroyed || req.socket.destroyed) return;
      this.#answers += 1;
      const { spoilsEach = 0 } = this.options;
      run.isSpoilt = spoilsEach > 0 && this.#answers % spoilsEach === 0;
      run.isAnswered = true;
      const body = Buffer.alloc(bodyBytes, `${id} ${requestId} `);
      const load = `${this.#running},0,${slots}`;
      const seal = `${id}.${requestId}.${bodyBytes}`;
      const head = "HTTP/1.1 200 OK\r\n" +
        `X-Cranberryhoist-Request-Id: ${requestId}\r\n` +
        `X-Cranberryhoist-Server-Seal: ${seal}\r\n` +
        `X-Cranberryhoist-Server-Load: ${load}\r\n` +
        "Server-Name: stand-in\r\n" +
        `Content-Length: ${bodyBytes}\r\n\r\n`;
      if (run.isSpoilt) {
        // One byte is wrong.
        const bytes = Buffer.from(head, "latin1");
        const position = this.options.spoils === "status"
          ? head.indexOf("OK")
          : head.indexOf("stand-in") + 5;
        bytes[position] = 0x01;
        req.socket.write(Buffer.concat([bytes, body]));
        // The HTTP server takes no more requests from this connection.
        setTimeout(() => req.socket.destroy(), 200);
        return;
      }
      res.setHeader("X-Cranberryhoist-Server-Seal", seal);
      res.setHeader("X-Cranberryhoist-Server-Load", load);
      res.setHeader("Server-Name", "stand-in");
      end(res, 200, body);
    }, workMs);
  }
}

/** The whole body that a server answers to a request. */
export function bodyOf(run: Run, bodyBytes: number): Buffer {
  return Buffer.alloc(bodyBytes, `${run.serverId} ${run.requestId} `);
}

function end(res: ServerResponse, status: number, body: string | Buffer): void {
  res.writeHead(status, { "content-length": Buffer.byteLength(body) });
  res.end(body);
}
