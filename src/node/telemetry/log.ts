/**
 * Structured log lines on standard output.
 *
 * Lines are written without waiting for the reader. What exceeds the bounds
 * is left out, and the number of lines left out is logged each second.
 *
 * @module
 */
import pino from "pino";
import { createBucket, takeToken } from "../../core/limits/token_bucket.ts";
import { monotonicMs } from "../clock.ts";

/** Lines a second and at once, for lines of single requests. */
const REQUEST_LINES_PER_S = 120;
const REQUEST_LINES_BURST = 240;
/** Bytes that wait for the reader before lines are left out. */
const MAX_WAITING_BYTES = 1_048_576;
/** Bytes that are written together. */
const BATCH_BYTES = 8_192;
const FLUSH_MS = 1_000;

/** Fields of a line. */
export type LogFields = Record<string, unknown>;

/** Writes log lines. */
export interface Log {
  /** A change of state of the process or of what it believes. */
  event(name: string, fields?: LogFields): void;
  /** A fault that needs attention. */
  warn(name: string, fields?: LogFields): void;
  /** A decision on one request. Failures are preferred when lines are short. */
  request(name: string, fields: LogFields, failed: boolean): void;
  /** Writes what waits. */
  flush(): void;
  /** Stops the periodic writing. */
  close(): void;
}

/**
 * Creates the log of a process.
 *
 * @param base Fields of each line.
 */
export function createLog(base: LogFields): Log {
  const destination = pino.destination({
    fd: 1,
    sync: false,
    minLength: BATCH_BYTES,
    maxLength: MAX_WAITING_BYTES,
  });
  let omitted = 0;
  destination.on("drop", () => omitted += 1);
  const logger = pino({
    base,
    timestamp: pino.stdTimeFunctions.epochTime,
    formatters: { level: (label) => ({ level: label }) },
  }, destination);
  const budget = createBucket({
    tokensPerS: REQUEST_LINES_PER_S,
    capacity: REQUEST_LINES_BURST,
  }, monotonicMs());
  budget.tokens = REQUEST_LINES_BURST;
  const timer = setInterval(() => {
    if (omitted > 0) {
      logger.warn({ event: "log_lines_omitted", count: omitted });
      omitted = 0;
    }
    destination.flush();
  }, FLUSH_MS);
  timer.unref();
  return {
    event: (name, fields = {}) => logger.info({ event: name, ...fields }),
    warn: (name, fields = {}) => logger.warn({ event: name, ...fields }),
    request(name, fields, failed) {
      const spare = failed ? 1 : REQUEST_LINES_BURST / 2;
      const nowMs = monotonicMs();
      if (budget.tokens < spare && !refilled(nowMs, spare)) {
        omitted += 1;
        return;
      }
      takeToken(budget, nowMs);
      logger.info({ event: name, ...fields });
    },
    flush: () => destination.flushSync(),
    close: () => clearInterval(timer),
  };

  function refilled(nowMs: number, spare: number): boolean {
    const elapsedMs = nowMs - budget.updatedMs;
    return budget.tokens + elapsedMs * budget.tokensPerS / 1_000 >= spare;
  }
}
