/**
 * Counters and histograms of a process, served as text.
 *
 * @module
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Bounds of the latency histograms, in seconds. */
const LATENCY_BUCKETS_S = [
  0.005,
  0.01,
  0.025,
  0.05,
  0.1,
  0.15,
  0.25,
  0.4,
  0.6,
  0.8,
  1,
  1.5,
  2.5,
  4,
  8,
];

/** All metrics of an entry host. */
export type Metrics = ReturnType<typeof createMetrics>;

/** Creates the metrics of one process. */
export function createMetrics() {
  const registry = new Registry();
  const registers = [registry];
  const counter = (name: string, help: string, labelNames: string[] = []) =>
    new Counter({
      name: `cranberryhoist_${name}`,
      help,
      labelNames,
      registers,
    });
  const gauge = (name: string, help: string, labelNames: string[] = []) =>
    new Gauge({ name: `cranberryhoist_${name}`, help, labelNames, registers });
  const histogram = (name: string, help: string, labelNames: string[] = []) =>
    new Histogram({
      name: `cranberryhoist_${name}`,
      help,
      labelNames,
      buckets: LATENCY_BUCKETS_S,
      registers,
    });
  return {
    registry,
    requests: counter("requests_total", "Requests by end", ["route", "end"]),
    refusals: counter("refusals_total", "Refusals by kind", ["kind"]),
    attempts: counter("attempts_total", "Attempts on targets by outcome", [
      "service",
      "outcome",
    ]),
    requestSeconds: histogram(
      "request_seconds",
      "Time from a request's head to the end of its answer",
      ["route"],
    ),
    attemptSeconds: histogram(
      "attempt_seconds",
      "Time from the start to the end of an attempt on a target",
      ["service"],
    ),
    targetConnections: counter(
      "target_connections_total",
      "Connections opened to targets",
    ),
    targetProbes: counter(
      "target_probes_total",
      "Connection trials of targets",
      [
        "result",
      ],
    ),
    lookups: counter("lookups_total", "Look-ups by answer", ["answer"]),
    storeCalls: counter("store_calls_total", "Calls to the store by end", [
      "call",
      "end",
    ]),
    peerMessages: counter("peer_messages_total", "Datagrams between hosts", [
      "direction",
    ]),
    liveHosts: gauge("live_hosts", "Other hosts that are alive"),
    targets: gauge("targets", "Known targets", ["service"]),
    requestsInProgress: gauge("requests_in_progress", "Requests in progress"),
    documentVersion: gauge("document_version", "Version in force"),
    storeAgeSeconds: gauge(
      "store_age_seconds",
      "Age of the store's last answer",
    ),
  };
}
