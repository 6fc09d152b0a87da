/**
 * Tracing that appends spans to a file, one JSON line each.
 *
 * @module
 */
import { appendFile } from "node:fs";
import { propagation, ROOT_CONTEXT, SpanKind } from "@opentelemetry/api";
import { W3CTraceContextPropagator } from "@opentelemetry/core";
import {
  BatchSpanProcessor,
  NodeTracerProvider,
  type ReadableSpan,
  type SpanExporter,
} from "@opentelemetry/sdk-trace-node";
import type { Tracing } from "./tracing.ts";

/** Creates tracing that exports spans to a file. */
export function createFileTracing(path: string): Tracing {
  const provider = new NodeTracerProvider({
    spanProcessors: [new BatchSpanProcessor(createFileExporter(path))],
  });
  propagation.setGlobalPropagator(new W3CTraceContextPropagator());
  const tracer = provider.getTracer("cranberryhoist");
  return {
    startHopSpan(name, traceparent) {
      const parent = propagation.extract(ROOT_CONTEXT, { traceparent });
      const span = tracer.startSpan(name, { kind: SpanKind.CLIENT }, parent);
      return {
        setAttribute: (key, value) => span.setAttribute(key, value),
        end(outcome) {
          span.setAttribute("outcome", outcome);
          span.end();
        },
      };
    },
    close: () => provider.shutdown(),
  };
}

function createFileExporter(path: string): SpanExporter {
  return {
    export(spans, onResult) {
      const lines = spans.map((span) => JSON.stringify(toSpanRecord(span)));
      appendFile(path, lines.join("\n") + "\n", (error) => {
        onResult({ code: error === null ? 0 : 1, error: error ?? undefined });
      });
    },
    shutdown: () => Promise.resolve(),
  };
}

function toSpanRecord(span: ReadableSpan) {
  const { traceId, spanId } = span.spanContext();
  return {
    traceId,
    spanId,
    parentSpanId: span.parentSpanContext?.spanId,
    name: span.name,
    startS: span.startTime[0] + span.startTime[1] / 1e9,
    durationMs: span.duration[0] * 1_000 + span.duration[1] / 1e6,
    attributes: span.attributes,
  };
}
