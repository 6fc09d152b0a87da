/**
 * Connections to targets that are kept between requests.
 *
 * @module
 */
import { connect } from "node:net";
import { parseAddress } from "../address.ts";
import { TargetConnection } from "./target_connection.ts";

/** Longest time for a connection to be established. */
const CONNECT_TIMEOUT_MS = 800;
/** Idle time of a connection when the target states none. */
const DEFAULT_IDLE_MS = 4_000;
/** A connection is not used in the last part of its idle time. */
const IDLE_MARGIN_MS = 800;
/**
 * Idle time up to which a connection carries a request that must not run
 * twice: a target that closes it just then would leave the outcome unknown.
 */
const MAX_NON_IDEMPOTENT_IDLE_MS = 1_500;
/** Time for which connections are not reused after such a loss. */
const REUSE_SUSPENSION_MS = 20_000;

interface IdleConnection {
  readonly connection: TargetConnection;
  readonly idleSinceMs: number;
  readonly expiresMs: number;
}

/** How a connection is asked for. */
export interface IdleConnectionQuery {
  readonly address: string;
  /** Whether the request may run twice, so that any idle connection will do. */
  readonly idempotent: boolean;
  readonly nowMs: number;
}

/** What is told about new connections. */
export interface PoolListener {
  /** A connection was established. */
  onConnected?(address: string, tookMs: number): void;
}

/** Idle connections by address. */
export class ConnectionPool {
  #idle = new Map<string, IdleConnection[]>();
  #established = new Set<TargetConnection>();
  #reuseSuspendedUntilMs = new Map<string, number>();
  #listener: PoolListener;
  #nowMs: () => number;

  constructor(options: PoolListener & { nowMs: () => number }) {
    this.#listener = options;
    this.#nowMs = options.nowMs;
  }

  /** Connections that are established. */
  get establishedCount(): number {
    return this.#established.size;
  }

  /** Takes an idle connection, or `undefined` when none may be used. */
  takeIdle(wish: IdleConnectionQuery): TargetConnection | undefined {
    const { address, idempotent, nowMs } = wish;
    const idle = this.#idle.get(address);
    if (idle === undefined) return undefined;
    const isReuseSuspended =
      nowMs < (this.#reuseSuspendedUntilMs.get(address) ?? 0);
    for (let entry = idle.pop(); entry !== undefined; entry = idle.pop()) {
      const { connection, idleSinceMs, expiresMs } = entry;
      if (!connection.isUsable || nowMs >= expiresMs) {
        connection.destroy();
        continue;
      }
      if (idempotent) return connection;
      if (
        !isReuseSuspended && nowMs - idleSinceMs < MAX_NON_IDEMPOTENT_IDLE_MS
      ) return connection;
      idle.push(entry);
      return undefined;
    }
    return undefined;
  }

  /**
   * Opens a connection.
   *
   * @param done Called with the connection, or with why there is none.
   * @returns A function that gives it up.
   */
  open(
    address: string,
    done: (result: TargetConnection | Error) => void,
  ): () => void {
    const { host, port } = parseAddress(address);
    const startedMs = this.#nowMs();
    const socket = connect({ host, port, noDelay: true });
    const timer = setTimeout(
      () => fail(new Error("connection timed out")),
      CONNECT_TIMEOUT_MS,
    );
    let over = false;
    const finish = () => {
      clearTimeout(timer);
      const first = !over;
      over = true;
      return first;
    };
    const fail = (error: Error) => {
      if (!finish()) return;
      socket.destroy();
      done(error);
    };
    socket.once("error", fail);
    socket.once("connect", () => {
      if (!finish()) return;
      socket.off("error", fail);
      const connection: TargetConnection = new TargetConnection(
        socket,
        () => this.#remove(address, connection),
      );
      this.#established.add(connection);
      this.#listener.onConnected?.(address, this.#nowMs() - startedMs);
      done(connection);
    });
    return () => {
      if (finish()) {
        socket.on("error", () => {});
        socket.destroy();
      }
    };
  }

  /**
   * Keeps a connection for the next request.
   *
   * @param keepAliveMs Idle time that the target states; -1 without one.
   */
  addIdle(
    address: string,
    connection: TargetConnection,
    { keepAliveMs, nowMs }: { keepAliveMs: number; nowMs: number },
  ): void {
    const idleMs = (keepAliveMs < 0 ? DEFAULT_IDLE_MS : keepAliveMs) -
      IDLE_MARGIN_MS;
    if (!connection.isUsable || idleMs <= 0) return connection.destroy();
    let idle = this.#idle.get(address);
    if (idle === undefined) {
      idle = [];
      this.#idle.set(address, idle);
    }
    idle.push({ connection, idleSinceMs: nowMs, expiresMs: nowMs + idleMs });
  }

  /** Notes that a kept connection was lost as a request was sent on it. */
  recordFailedReuse(address: string, nowMs: number): void {
    this.#reuseSuspendedUntilMs.set(address, nowMs + REUSE_SUSPENSION_MS);
  }

  /** Closes idle connections that are over their time. */
  prune(nowMs: number): void {
    for (const [address, idle] of this.#idle) {
      const kept = idle.filter(({ connection, expiresMs }) => {
        if (connection.isUsable && nowMs < expiresMs) return true;
        connection.destroy();
        return false;
      });
      if (kept.length === 0) this.#idle.delete(address);
      else this.#idle.set(address, kept);
    }
    for (const [address, untilMs] of this.#reuseSuspendedUntilMs) {
      if (nowMs >= untilMs) this.#reuseSuspendedUntilMs.delete(address);
    }
  }

  /** Closes the idle connections to an address. */
  closeIdle(address: string): void {
    for (const { connection } of this.#idle.get(address) ?? []) {
      connection.destroy();
    }
    this.#idle.delete(address);
  }

  /** Closes all connections. */
  close(): void {
    for (const connection of this.#established) connection.destroy();
    this.#established.clear();
    this.#idle.clear();
  }

  #remove(address: string, connection: TargetConnection): void {
    this.#established.delete(connection);
    const idle = this.#idle.get(address);
    const at = idle?.findIndex((entry) => entry.connection === connection) ??
      -1;
    if (at >= 0) idle?.splice(at, 1);
  }
}
