/**
 * A stand-in of the platform's store: objects by kind, lists, watches and
 * conditional writes as PROTOCOL.md describes them. All calls succeed; two
 * disturbances can be injected.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";

interface StoredObject {
  metadata: {
    name: string;
    revision: number;
    created: number;
    finalizers: string[];
    deleting: boolean;
  };
  specification: unknown;
  status: unknown;
}

interface ChangeEvent {
  kind: string;
  revision: number;
  removed: boolean;
  object: StoredObject;
}

interface WaitingWatch {
  kind: string;
  socket: Socket;
  notify(): void;
  stop(): void;
}

/** The store. */
export class Store {
  /**
   * Time after which a waiting watch is cut off; `undefined` lets it wait as
   * long as the caller asks.
   */
  cutWatchAfterMs: (() => number) | undefined;
  /** Objects on a page of a list; the pages allow about 500 at most. */
  pageSize = 500;
  /** Time that a list takes, with its way there and back. */
  listMs = 0;
  /** Watches that were cut off. */
  cutWatches = 0;
  #kinds = new Map<string, Map<string, StoredObject>>();
  #events: ChangeEvent[] = [];
  #revision = 1;
  #watches = new Set<WaitingWatch>();
  /** Open connections, with the time of the last byte on each. */
  #sockets = new Map<Socket, number>();
  #silenced = new WeakSet<Socket>();
  #server = createServer((req, res) => this.#handle(req, res));

  /** Starts listening and returns the address. */
  async start(): Promise<string> {
    this.#server.keepAliveTimeout = 5_000;
    this.#server.on("connection", (socket) => {
      this.#sockets.set(socket, performance.now());
      socket.on("error", () => {});
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    for (const watch of [...this.#watches]) watch.stop();
    for (const socket of this.#sockets.keys()) socket.destroy();
    this.#server.close();
  }

  /** Writes a specification as the operator or a server does. */
  write(kind: string, name: string, specification: unknown): void {
    const existing = this.#objects(kind).get(name);
    this.#put(kind, name, specification, existing?.status ?? null);
  }

  /** Removes an object. */
  remove(kind: string, name: string): void {
    const existing = this.#objects(kind).get(name);
    if (existing === undefined) return;
    this.#objects(kind).delete(name);
    this.#revision += 1;
    const metadata = { ...existing.metadata, revision: this.#revision };
    this.#append({
      kind,
      revision: this.#revision,
      removed: true,
      object: { ...existing, metadata },
    });
  }

  /**
   * Lets at most half of the open connections go silent: those on which a watch
   * has waited for longest. Returns their number and that of all.
   */
  silenceHalf(): { silenced: number; open: number } {
    const open = this.#sockets.size;
    const waiting = new Set([...this.#watches].map(({ socket }) => socket));
    const idle = [...this.#sockets].filter(([socket]) => waiting.has(socket))
      .sort(([, a], [, b]) => a - b).slice(0, Math.floor(open / 2));
    for (const [socket] of idle) {
      this.#silenced.add(socket);
      // Not even its end arrives.
      socket.setTimeout(0);
    }
    for (const watch of [...this.#watches]) {
      if (this.#silenced.has(watch.socket)) watch.stop();
    }
    return { silenced: idle.length, open };
  }

  #objects(kind: string): Map<string, StoredObject> {
    let objects = this.#kinds.get(kind);
    if (objects === undefined) {
      objects = new Map();
      this.#kinds.set(kind, objects);
    }
    return objects;
  }

  #put(
    kind: string,
    name: string,
    specification: unknown,
    status: unknown,
  ): StoredObject {
    const existing = this.#objects(kind).get(name);
    const isSame = existing !== undefined &&
      JSON.stringify([existing.specification, existing.status]) ===
        JSON.stringify([specification, status]);
    if (isSame) return existing;
    this.#revision += 1;
    const revision = this.#revision;
    const object: StoredObject = {
      metadata: {
        name,
        revision,
        created: existing?.metadata.created ?? revision,
        finalizers: [],
        deleting: false,
      },
      specification,
      status,
    };
    this.#objects(kind).set(name, object);
    this.#append({ kind, revision, removed: false, object });
    return object;
  }

  #append(event: ChangeEvent): void {
    this.#events.push(event);
    for (const watch of [...this.#watches]) watch.notify();
  }

  #handle(req: IncomingMessage, res: ServerResponse): void {
    const chunks: Buffer[] = [];
    req.on("data", (chunk: Buffer) => chunks.push(chunk));
    req.on("error", () => {});
    const touch = () => {
      if (!this.#sockets.has(req.socket)) return;
      this.#sockets.set(req.socket, performance.now());
    };
    res.on("finish", touch);
    req.on("end", () => {
      touch();
      // Nothing comes back on a connection that went silent.
      if (this.#silenced.has(req.socket)) return;
      const text = Buffer.concat(chunks).toString("utf8");
      this.#answer(req, res, text === "" ? {} : JSON.parse(text));
    });
  }

  #answer(
    req: IncomingMessage,
    res: ServerResponse,
    body: {
      metadata?: { name?: string; revision?: number };
      specification?: unknown;
      status?: unknown;
    },
  ): void {
    const url = new URL(req.url ?? "/", "http://store");
    const [, , kind = "", encodedName, part] = url.pathname.split("/");
    const name = decodeURIComponent(encodedName ?? "");
    const objects = this.#objects(kind);
    const { method } = req;
    if (method === "GET" && name !== "") {
      const found = objects.get(name);
      return send(res, found === undefined ? 404 : 200, found ?? {});
    }
    const since = url.searchParams.get("watch");
    if (method === "GET" && since !== null) {
      const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
      return this.#watch(kind, { since: Number(since), waitMs }, res);
    }
    if (method === "GET") {
      const after = url.searchParams.get("after") ?? "";
      const items = [...objects.values()]
        .filter(({ metadata }) => metadata.name > after)
        .sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1);
      const page = {
        items: items.slice(0, this.pageSize),
        more: items.length > this.pageSize,
        asOf: this.#revision,
      };
      return void setTimeout(() => send(res, 200, page), this.listMs);
    }
    const objectName = method === "POST" ? body.metadata?.name ?? "" : name;
    const existing = objects.get(objectName);
    if (method === "POST") {
      if (existing !== undefined) return send(res, 409, existing);
      const created = this.#put(kind, objectName, body.specification, null);
      return send(res, 200, created);
    }
    if (existing === undefined) return send(res, 404, {});
    const query = url.searchParams.get("revision");
    const expected = body.metadata?.revision ??
      (query === null ? undefined : Number(query));
    if (expected !== undefined && expected !== existing.metadata.revision) {
      return send(res, 409, existing);
    }
    if (method === "DELETE") {
      this.remove(kind, objectName);
      return send(res, 200, {});
    }
    const updated = part === "status"
      ? this.#put(kind, objectName, existing.specification, body.status)
      : this.#put(kind, objectName, body.specification, existing.status);
    send(res, 200, updated);
  }

  #watch(
    kind: string,
    { since, waitMs }: { since: number; waitMs: number },
    res: ServerResponse,
  ): void {
    const respond = (isLast: boolean) => {
      const events = this.#events.filter((event) =>
        event.kind === kind && event.revision > since
      );
      if (events.length === 0 && !isLast) return false;
      send(res, 200, {
        events: events.map(({ removed, object }) => ({ removed, object })),
        asOf: this.#revision,
      });
      return true;
    };
    if (respond(waitMs <= 0)) return;
    const { socket } = res.req;
    const cutAfterMs = this.cutWatchAfterMs?.() ?? Infinity;
    const isCut = cutAfterMs < waitMs;
    const timer = setTimeout(() => {
      watch.stop();
      if (!isCut) return void respond(true);
      this.cutWatches += 1;
      socket.destroy();
    }, Math.min(waitMs, cutAfterMs));
    const watch: WaitingWatch = {
      kind,
      socket,
      notify: () => {
        if (respond(false)) watch.stop();
      },
      stop: () => {
        clearTimeout(timer);
        this.#watches.delete(watch);
      },
    };
    this.#watches.add(watch);
    res.once("close", watch.stop);
  }
}

function send(res: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  res.end(text);
}
