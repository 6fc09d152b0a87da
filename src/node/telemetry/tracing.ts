/**
 * Tracing with a span for each hop, which continues the trace of a W3C
 * `traceparent` header.
 *
 * The tracing library uses too much memory for small hosts, so it is loaded
 * only when the settings name a trace file.
 *
 * @module
 */

/** Span of one hop. */
export interface HopSpan {
  setAttribute(name: string, value: string): void;
  /** Ends the span with the outcome of the hop as an attribute. */
  end(outcome: string): void;
}

/** Starts and exports spans. */
export interface Tracing {
  /**
   * Starts the span of a hop as part of a caller's trace.
   *
   * @param traceparent Header of the caller's request; without a valid one, a
   *   new trace starts.
   */
  startHopSpan(name: string, traceparent: unknown): HopSpan;
  /** Exports buffered spans and shuts tracing down. */
  close(): Promise<void>;
}

const NOOP_SPAN: HopSpan = { setAttribute() {}, end() {} };

/** Tracing that records nothing. */
export const NOOP_TRACING: Tracing = {
  startHopSpan: () => NOOP_SPAN,
  close: () => Promise.resolve(),
};

/** Loads tracing to a file, or returns `NOOP_TRACING` without a trace file. */
export async function loadTracing(
  traceFile: string | undefined,
): Promise<Tracing> {
  if (traceFile === undefined) return NOOP_TRACING;
  const { createFileTracing } = await import("./file_tracing.ts");
  return createFileTracing(traceFile);
}
