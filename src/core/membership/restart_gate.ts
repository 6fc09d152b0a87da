/**
 * Decides when a restarted host knows enough of the other hosts to serve.
 *
 * Some restrictions are only in the memory of the hosts, such as stopped
 * versions, blocked requests, and targets that have stated that they leave. A
 * restarted host waits for the first report of another host, which includes
 * them, but not for long, as there may be no other host.
 *
 * @module
 */

/**
 * Longest wait. Other hosts respond to the first report of a process at once,
 * and report each 250 ms without it.
 */
const MAX_WAIT_MS = 300;

/** Inputs of `mayServe`. */
export interface RestartInputs {
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean;
  /** Whether a report of another host was received. */
  readonly hasPeerReport: boolean;
  /** Time at which the host began to listen; Infinity before. */
  readonly listeningMs: number;
}

/** Whether a host may serve requests, as far as the other hosts matter. */
export function mayServe(
  { isFirstStart, hasPeerReport, listeningMs }: RestartInputs,
  nowMs: number,
): boolean {
  return isFirstStart || hasPeerReport || nowMs - listeningMs >= MAX_WAIT_MS;
}
