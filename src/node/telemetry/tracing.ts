/**
 * Traces with a span for each hop, passed on as W3C `traceparent`.
 *
 * The library takes memory that few hosts have to spare, so it is loaded only
 * when the settings name a file for spans.
 *
 * @module
 */

/** A span of one hop. */
export interface HopSpan {
  setAttribute(name: string, value: string): void;
  /** Ends the span with how the hop ended. */
  end(outcome: string): void;
}

/** Starts spans. */
export interface Tracing {
  /** Starts the span of a hop that belongs to a caller's trace. */
  startHopSpan(name: string, traceparent: unknown): HopSpan;
  /** Exports what is buffered. */
  close(): Promise<void>;
}

const NOOP_SPAN: HopSpan = { setAttribute() {}, end() {} };

/** Tracing that records nothing. */
export const NOOP_TRACING: Tracing = {
  startHopSpan: () => NOOP_SPAN,
  close: () => Promise.resolve(),
};

/** Loads tracing when a file for spans is named. */
export async function loadTracing(
  traceFile: string | undefined,
): Promise<Tracing> {
  if (traceFile === undefined) return NOOP_TRACING;
  const { createFileTracing } = await import("./file_tracing.ts");
  return createFileTracing(traceFile);
}
