/**
 * Pool of connections to targets, which are kept open between requests.
 *
 * @module
 */
import { connect } from "node:net";
import { parseAddress } from "../address.ts";
import { TargetConnection } from "./target_connection.ts";

/** Time limit for establishing a connection. */
const CONNECT_TIMEOUT_MS = 800;
/** Assumed keep-alive time of a target whose response states none. */
const DEFAULT_KEEP_ALIVE_MS = 4_000;
/**
 * Connections are not reused in the last part of their keep-alive time, as the
 * target may close them while a request is on its way.
 */
const KEEP_ALIVE_MARGIN_MS = 800;
/**
 * Idle time up to which a connection is reused for a request that is not
 * idempotent. If the target closes the connection as the request is sent, it is
 * unknown whether the request ran.
 */
const MAX_NON_IDEMPOTENT_IDLE_MS = 1_500;
/**
 * Time after a failed reuse during which requests that are not idempotent get
 * new connections to the address.
 */
const REUSE_SUSPENSION_MS = 20_000;

interface IdleConnection {
  readonly connection: TargetConnection;
  readonly idleSinceMs: number;
  readonly expiresMs: number;
}

/** Requirements on an idle connection. */
export interface IdleConnectionQuery {
  readonly address: string;
  /** Whether the request may run twice, so that any connection is suitable. */
  readonly idempotent: boolean;
  readonly nowMs: number;
}

/** Receives notifications about new connections. */
export interface PoolListener {
  /** A connection was established. */
  onConnected?(address: string, connectMs: number): void;
  /** A connection could not be established. Not called after a cancellation. */
  onConnectFailed?(address: string): void;
}

/** Opens connections and keeps idle ones by the address of their target. */
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

  /** Number of established connections, idle or not. */
  get establishedCount(): number {
    return this.#established.size;
  }

  /** Takes a suitable idle connection out of the pool, if there is one. */
  takeIdle(query: IdleConnectionQuery): TargetConnection | undefined {
    const { address, idempotent, nowMs } = query;
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
   * Opens a connection. The caller owns it until it adds it as idle.
   *
   * @param onResult Called once with the connection or the error.
   * @returns A function that cancels the connection attempt; `onResult` is not
   *   called after it.
   */
  open(
    address: string,
    onResult: (result: TargetConnection | Error) => void,
  ): () => void {
    const { host, port } = parseAddress(address);
    const startedMs = this.#nowMs();
    const socket = connect({ host, port, noDelay: true, allowHalfOpen: true });
    const timer = setTimeout(
      () => fail(new Error("connection timed out")),
      CONNECT_TIMEOUT_MS,
    );
    let isSettled = false;
    const settle = () => {
      clearTimeout(timer);
      const isFirst = !isSettled;
      isSettled = true;
      return isFirst;
    };
    const fail = (error: Error) => {
      if (!settle()) return;
      socket.destroy();
      this.#listener.onConnectFailed?.(address);
      onResult(error);
    };
    socket.once("error", fail);
    socket.once("connect", () => {
      if (!settle()) return;
      socket.off("error", fail);
      const connectMs = this.#nowMs() - startedMs;
      const connection: TargetConnection = new TargetConnection(socket, {
        onClosed: () => this.#remove(address, connection),
        connectMs,
      });
      this.#established.add(connection);
      this.#listener.onConnected?.(address, connectMs);
      onResult(connection);
    });
    return () => {
      if (settle()) {
        socket.on("error", () => {});
        socket.destroy();
      }
    };
  }

  /**
   * Adds an idle connection to the pool, or closes it if it cannot be reused.
   *
   * @param keepAliveMs Keep-alive time that the target states; -1 without one.
   */
  addIdle(
    address: string,
    connection: TargetConnection,
    { keepAliveMs, nowMs }: { keepAliveMs: number; nowMs: number },
  ): void {
    const idleMs = (keepAliveMs < 0 ? DEFAULT_KEEP_ALIVE_MS : keepAliveMs) -
      KEEP_ALIVE_MARGIN_MS;
    if (!connection.isUsable || idleMs <= 0) return connection.destroy();
    let idle = this.#idle.get(address);
    if (idle === undefined) {
      idle = [];
      this.#idle.set(address, idle);
    }
    idle.push({ connection, idleSinceMs: nowMs, expiresMs: nowMs + idleMs });
  }

  /** Records that an idle connection broke when a request was sent on it. */
  recordFailedReuse(address: string, nowMs: number): void {
    this.#reuseSuspendedUntilMs.set(address, nowMs + REUSE_SUSPENSION_MS);
  }

  /** Closes idle connections whose keep-alive time has passed. */
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
    const index = idle?.findIndex((entry) => entry.connection === connection) ??
      -1;
    if (index >= 0) idle?.splice(index, 1);
  }
}
