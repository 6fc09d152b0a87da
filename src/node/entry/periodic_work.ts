/**
 * Periodic work of an entry host.
 *
 * @module
 */
import type { Guard } from "../telemetry/guard.ts";

/** Time between two ticks. */
const TICK_INTERVAL_MS = 100;
/** Gap between two ticks above which the process counts as paused. */
const MIN_PAUSE_MS = 700;

/** Options of `startPeriodicWork`. */
export interface PeriodicWorkOptions {
  /** Tasks by name, run one after the other with each tick. */
  readonly tasks: Readonly<Record<string, (nowMs: number) => void>>;
  /** Called before the tasks when the process was paused. */
  readonly onPause: (gapMs: number) => void;
  /**
   * Called before the tasks when the machine was suspended, for which
   * `nowMs` stands still, or its time of day was set forward.
   */
  readonly onSuspension: (gapMs: number) => void;
  /** Runs a task; an error in it does not reach the others. */
  readonly guard: Guard;
  readonly nowMs: () => number;
  /** Time of day, which goes on while the machine is suspended. */
  readonly clockMs: () => number;
}

/** Starts the ticks. Returns the function that ends them. */
export function startPeriodicWork(
  { tasks, onPause, onSuspension, guard, nowMs, clockMs }: PeriodicWorkOptions,
): () => void {
  let lastTickMs = nowMs();
  let lastClockMs = clockMs();
  const timer = setInterval(() => {
    const atMs = nowMs();
    const gapMs = atMs - lastTickMs;
    lastTickMs = atMs;
    const suspensionMs = clockMs() - lastClockMs - gapMs;
    lastClockMs = clockMs();
    if (gapMs > MIN_PAUSE_MS) guard("pause", () => onPause(gapMs));
    if (suspensionMs > MIN_PAUSE_MS) {
      guard("suspension", () => onSuspension(suspensionMs));
    }
    for (const [name, run] of Object.entries(tasks)) {
      guard(name, () => run(atMs));
    }
  }, TICK_INTERVAL_MS);
  return () => clearInterval(timer);
}
