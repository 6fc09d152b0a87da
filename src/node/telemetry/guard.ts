/**
 * Keeps an unexpected error in one piece of work from ending the process.
 *
 * @module
 */
import type { Log } from "./log.ts";

/**
 * Runs an action. An error is logged with the name of the work.
 *
 * @returns Whether the action has completed.
 */
export type Guard = (work: string, action: () => void) => boolean;

/** Creates a guard that logs errors. */
export function createGuard(log: Log): Guard {
  return (work, action) => {
    try {
      action();
      return true;
    } catch (error) {
      logUnexpectedError(log, work, error);
      return false;
    }
  };
}

/** Logs an error that the code does not expect, with its stack. */
export function logUnexpectedError(
  log: Log,
  work: string,
  error: unknown,
): void {
  const reason = error instanceof Error ? error.stack : String(error);
  log.warn("unexpected_error", { work, reason });
}
