/**
 * Structured log on standard output, one JSON object a line.
 *
 * Writing never blocks. Lines that exceed the rate limit or the buffer are
 * omitted, and their number is logged each second.
 *
 * @module
 */
import pino from "pino";
import { createBucket, takeToken } from "../../core/limits/token_bucket.ts";
import { monotonicMs } from "../clock.ts";

/** Rate limit and burst of lines about single requests. */
const REQUEST_LINES_PER_S = 120;
const REQUEST_LINES_BURST = 240;
/** Buffered bytes above which lines are omitted. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Minimum of buffered bytes for a write between two flushes. */
const BATCH_BYTES = 8_192;
const FLUSH_INTERVAL_MS = 1_000;

/** Fields of a log line. */
export type LogFields = Record<string, unknown>;

/** Writes log lines. */
export interface Log {
  /** Logs a change of the process or of its view of the fleet. */
  event(name: string, fields?: LogFields): void;
  /** Logs a fault that needs attention. */
  warn(name: string, fields?: LogFields): void;
  /**
   * Logs a decision on one request, within the rate limit. Half of the burst is
   * reserved for failures.
   */
  request(name: string, fields: LogFields, isFailure: boolean): void;
}

/** Log of a process, with the operations of the process's main program. */
export interface ProcessLog extends Log {
  /** Adds fields to all later lines. */
  addFields(fields: LogFields): void;
  /** Writes buffered lines synchronously. */
  flush(): void;
  /** Stops the periodic flush. */
  close(): void;
}

/** Options of `createLog`. */
export interface LogOptions {
  /** Called for each line that is not written. */
  readonly onOmitted: () => void;
  /** Called with the name of each warning. */
  readonly onWarning: (name: string) => void;
}

/** Creates the log of a process. */
export function createLog({ onOmitted, onWarning }: LogOptions): ProcessLog {
  const destination = pino.destination({
    fd: 1,
    sync: false,
    minLength: BATCH_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
  });
  let omittedLines = 0;
  const omit = () => {
    omittedLines += 1;
    onOmitted();
  };
  destination.on("drop", omit);
  const logger = pino({
    base: {},
    timestamp: pino.stdTimeFunctions.epochTime,
    formatters: { level: (label) => ({ level: label }) },
  }, destination);
  const bucket = createBucket({
    tokensPerS: REQUEST_LINES_PER_S,
    capacity: REQUEST_LINES_BURST,
  }, monotonicMs());
  bucket.tokens = REQUEST_LINES_BURST;
  const warn = (name: string, fields: LogFields = {}) => {
    onWarning(name);
    logger.warn({ event: name, ...fields });
  };
  const timer = setInterval(() => {
    if (omittedLines > 0) {
      warn("log_lines_omitted", { count: omittedLines });
      omittedLines = 0;
    }
    destination.flush();
  }, FLUSH_INTERVAL_MS);
  timer.unref();
  return {
    event: (name, fields = {}) => logger.info({ event: name, ...fields }),
    warn,
    request(name, fields, isFailure) {
      const requiredTokens = isFailure ? 1 : REQUEST_LINES_BURST / 2;
      const nowMs = monotonicMs();
      if (
        bucket.tokens < requiredTokens &&
        !hasTokensAfterRefill(nowMs, requiredTokens)
      ) {
        omit();
        return;
      }
      takeToken(bucket, nowMs);
      logger.info({ event: name, ...fields });
    },
    addFields: (fields) => logger.setBindings(fields),
    flush: () => destination.flushSync(),
    close: () => clearInterval(timer),
  };

  function hasTokensAfterRefill(
    nowMs: number,
    requiredTokens: number,
  ): boolean {
    const elapsedMs = nowMs - bucket.updatedMs;
    return bucket.tokens + elapsedMs * bucket.tokensPerS / 1_000 >=
      requiredTokens;
  }
}
