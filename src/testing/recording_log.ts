/**
 * A log for tests that keeps the names of its warnings.
 *
 * @module
 */
import type { Log } from "../node/telemetry/log.ts";

/** Creates a log; `warnings` grows with each warning. */
export function createRecordingLog(): { log: Log; warnings: string[] } {
  const warnings: string[] = [];
  const log: Log = {
    event() {},
    warn: (name) => warnings.push(name),
    request() {},
  };
  return { log, warnings };
}
