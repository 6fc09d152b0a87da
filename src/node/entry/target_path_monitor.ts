/**
 * Opens connections to targets to find out whether they accept connections and
 * whether this host has lost its path to all of them.
 *
 * @module
 */
import { TargetPath } from "../../core/targets/target_path.ts";
import type { TargetTable } from "../../core/targets/target_table.ts";
import type { Target } from "../../core/targets/types.ts";
import type { ConnectionPool } from "../target/connection_pool.ts";
import type { Log } from "../telemetry/log.ts";
import type { Metrics } from "../telemetry/metrics.ts";

/** Options of a `TargetPathMonitor`. */
export interface TargetPathMonitorOptions {
  readonly targets: TargetTable;
  readonly pool: () => ConnectionPool;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly nowMs: () => number;
  /** Called when a checked target accepts no connection. */
  readonly onRefused: (targetId: string) => void;
  /** Called when the path is lost or regained. */
  readonly onChanged: () => void;
}

/** Checks targets and the path to them. */
export class TargetPathMonitor {
  readonly #options: TargetPathMonitorOptions;
  readonly #path: TargetPath;
  readonly #targetIdsInCheck = new Set<string>();
  readonly #addressesInProbe = new Set<string>();

  constructor(options: TargetPathMonitorOptions) {
    this.#options = options;
    this.#path = new TargetPath(() => options.targets.all());
  }

  /** Whether this host reaches no target. */
  get isLost(): boolean {
    return this.#path.isLost;
  }

  /** Whether the path may be lost; see `TargetPath.isInDoubt`. */
  get isInDoubt(): boolean {
    return this.#path.isInDoubt;
  }

  /** Records that a connection to a target was established. */
  recordConnected(): void {
    const { log, metrics, nowMs, targets, onChanged } = this.#options;
    const wasLost = this.#path.isLost;
    const lostForMs = Math.round(this.#path.lostForMs(nowMs()));
    this.#path.recordConnected();
    if (!wasLost) return;
    log.event("target_path_regained", { lostForMs });
    metrics.targetPathLost.set(0);
    // The failures told of the path and not of the targets.
    targets.forgetFailedConnections();
    onChanged();
  }

  /** Records that a connection to a target could not be established. */
  recordFailure(address: string): void {
    const { log, metrics, nowMs, onChanged } = this.#options;
    const wasLost = this.#path.isLost;
    this.#path.recordFailure(address, nowMs());
    if (wasLost || !this.#path.isLost) return;
    log.warn("target_path_lost", { lastFailed: address });
    metrics.targetPathLost.set(1);
    onChanged();
  }

  /** Opens the connections that tell whether the path is lost or regained. */
  tick(): void {
    for (const { address } of this.#path.takeProbes(this.#options.nowMs())) {
      if (this.#addressesInProbe.has(address)) continue;
      this.#addressesInProbe.add(address);
      this.#open(address, () => this.#addressesInProbe.delete(address));
    }
  }

  /**
   * Checks whether a target accepts connections. One that refuses a connection
   * after a broken attempt is considered crashed.
   */
  checkTarget({ id, address }: Target): void {
    const { pool, metrics, log, onRefused } = this.#options;
    if (this.#targetIdsInCheck.has(id)) return;
    this.#targetIdsInCheck.add(id);
    this.#path.recordSilence();
    pool().closeIdle(address);
    this.#open(address, ({ isRefused }) => {
      this.#targetIdsInCheck.delete(id);
      metrics.targetChecks.inc({ result: isRefused ? "refused" : "connected" });
      log.event("target_checked", { target: id, refused: isRefused });
      if (isRefused) onRefused(id);
    });
  }

  /** Opens a connection and keeps it for later requests. */
  #open(
    address: string,
    onResult: (result: { isRefused: boolean }) => void,
  ): void {
    const { pool, nowMs } = this.#options;
    pool().open(address, (result) => {
      const isRefused = result instanceof Error;
      if (!isRefused) {
        const idle = { keepAliveMs: -1, nowMs: nowMs() };
        pool().addIdle(address, result, idle);
      }
      onResult({ isRefused });
    });
  }
}
