/**
 * Structured log on standard output, one JSON object a line.
 *
 * Writing never blocks, the last line included. Lines that exceed the rate
 * limit or the buffer, or that cannot be written, are omitted; their number is
 * logged each second.
 *
 * @module
 */
import pino from "pino";
import { createBucket, takeToken } from "../../core/limits/token_bucket.ts";
import { monotonicMs } from "../clock.ts";
import { LineWriter, openDescriptor, type WriteBytes } from "./line_writer.ts";

/** Rate limit and burst of lines about single requests. */
const REQUEST_LINES_PER_S = 120;
const REQUEST_LINES_BURST = 240;
const FLUSH_INTERVAL_MS = 1_000;
const STANDARD_OUTPUT = 1;
/**
 * Time for the last lines of a process. It is part of the time between the
 * exit and the end of the grace period, at which the process is killed.
 */
const LAST_LINES_TIMEOUT_MS = 250;

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
  /**
   * Writes the buffered lines for a limited time.
   *
   * @returns The number of lines that were not written in time.
   */
  close(): Promise<number>;
}

/** Options of `createLog`. */
export interface LogOptions {
  /** Called with the number of lines that are not written. */
  readonly onOmitted: (lineCount: number) => void;
  /** Called with the name of each warning. */
  readonly onWarning: (name: string) => void;
}

/** Creates the log of a process. */
export function createLog({ onOmitted, onWarning }: LogOptions): ProcessLog {
  let omittedLines = 0;
  const omit = (lineCount: number) => {
    omittedLines += lineCount;
    onOmitted(lineCount);
  };
  let writeBytes: WriteBytes | undefined;
  // Opened with the first line, as other output of a program, such as its help,
  // uses the descriptor, too.
  const writer = new LineWriter((bytes, onResult) => {
    writeBytes ??= openDescriptor(STANDARD_OUTPUT);
    writeBytes(bytes, onResult);
  }, omit);
  const logger = pino({
    base: {},
    timestamp: pino.stdTimeFunctions.epochTime,
    formatters: { level: (label) => ({ level: label }) },
  }, writer);
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
      const count = omittedLines;
      omittedLines = 0;
      warn("log_lines_omitted", { count });
    }
    writer.flush();
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
        omit(1);
        return;
      }
      takeToken(bucket, nowMs);
      logger.info({ event: name, ...fields });
    },
    addFields: (fields) => logger.setBindings(fields),
    close() {
      clearInterval(timer);
      return writer.drain(LAST_LINES_TIMEOUT_MS);
    },
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
