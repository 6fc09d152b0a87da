/**
 * Log and metrics of a process; the metrics count the lines of the log.
 *
 * @module
 */
import { createLog, type ProcessLog } from "./log.ts";
import { createMetrics, type Metrics } from "./metrics.ts";

/** Log and metrics of a process. */
export interface Telemetry {
  readonly log: ProcessLog;
  readonly metrics: Metrics;
}

/** Creates the log and the metrics of a process. */
export function createTelemetry(): Telemetry {
  const metrics = createMetrics();
  // The series exists before the first error, so that alerts see its increase.
  metrics.warnings.inc({ event: "unexpected_error" }, 0);
  const log = createLog({
    onOmitted: (lineCount) => metrics.omittedLogLines.inc(lineCount),
    onWarning: (event) => metrics.warnings.inc({ event }),
  });
  return { log, metrics };
}
