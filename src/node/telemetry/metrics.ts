/**
 * Prometheus metrics of an entry host. Dashboards and alerts rely on their
 * names and labels.
 *
 * @module
 */
import { existsSync, readdirSync } from "node:fs";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Bucket bounds of the latency histograms, in seconds. */
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

/** Folder with an entry for each open descriptor; only Linux has it. */
const DESCRIPTOR_FOLDER = "/proc/self/fd";

/** All metrics of an entry host. */
export type Metrics = ReturnType<typeof createMetrics>;

/** Creates the metrics of an entry host with a registry of their own. */
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
  /** A gauge that is read only when metrics are requested. */
  const readGauge = (name: string, help: string, read: () => number) =>
    new Gauge({
      name: `cranberryhoist_${name}`,
      help,
      registers,
      collect() {
        this.set(read());
      },
    });
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
    requests: counter("requests_total", "Requests by route and end", [
      "route",
      "end",
    ]),
    refusals: counter("refusals_total", "Refused requests by error kind", [
      "kind",
    ]),
    attempts: counter("attempts_total", "Attempts on targets by outcome", [
      "service",
      "outcome",
    ]),
    requestSeconds: histogram(
      "request_seconds",
      "Time from the head of a request to the end of its response",
      ["route"],
    ),
    attemptSeconds: histogram(
      "attempt_seconds",
      "Time from the start to the end of an attempt on a target",
      ["service"],
    ),
    queuedRequests: gauge(
      "queued_requests",
      "Requests that this host holds until a target has a free slot, by service",
      ["service"],
    ),
    holdsEnded: counter(
      "holds_ended_total",
      "Requests that are no longer held, by outcome",
      ["service", "outcome"],
    ),
    heldSeconds: histogram(
      "held_seconds",
      "Time for which a request was held",
      ["route"],
    ),
    relays: counter(
      "relays_total",
      "Attempts on other hosts, as this one reached no target, by outcome",
      ["outcome"],
    ),
    targetPathLost: gauge(
      "target_path_lost",
      "1 while this host reaches no target, else 0",
    ),
    targetConnections: counter(
      "target_connections_total",
      "Connections opened to targets",
    ),
    targetChecks: counter(
      "target_probes_total",
      "Connection checks of targets by result",
      ["result"],
    ),
    unreadFigures: counter(
      "unread_figures_total",
      "Headers of targets of which a part was not read, by reason",
      ["header", "reason"],
    ),
    targetObservations: counter(
      "target_observations_total",
      "Loads of targets that other hosts reported, by result",
      ["result"],
    ),
    lookups: counter("lookups_total", "Lookups by result", ["answer"]),
    storeCalls: counter("store_calls_total", "Calls to the store by end", [
      "call",
      "end",
    ]),
    usageWindows: counter(
      "usage_windows_total",
      "Windows whose usage this host reported or missed, by end",
      ["end"],
    ),
    usageCalls: counter(
      "usage_calls_total",
      "Calls that report usage by end",
      ["end"],
    ),
    peerMessages: counter(
      "peer_messages_total",
      "Datagrams between hosts by direction",
      ["direction"],
    ),
    liveHosts: gauge("live_hosts", "Live hosts other than this one"),
    hostBuilds: gauge(
      "host_builds",
      "Live hosts by the build that they run, with this one",
      ["build"],
    ),
    targets: gauge("targets", "Registered targets by service", ["service"]),
    limitedTargets: gauge(
      "limited_targets",
      "Targets that state a limit on their request rate, by service",
      ["service"],
    ),
    requestsInProgress: gauge("requests_in_progress", "Requests in progress"),
    documentVersion: gauge("document_version", "Applied document version"),
    storeAgeSeconds: gauge(
      "store_age_seconds",
      "Time since the store last responded to a watching host",
    ),
    viewAgeSeconds: gauge(
      "view_age_seconds",
      "Age of the knowledge that the view of a kind holds all changes",
      ["kind"],
    ),
    unansweredCloses: counter(
      "unanswered_closes_total",
      "Requests whose connection was closed before the response was complete",
      ["closed_by"],
    ),
    warnings: counter("warnings_total", "Warnings in the log by event", [
      "event",
    ]),
    omittedLogLines: counter(
      "omitted_log_lines_total",
      "Log lines that were not written",
    ),
    residentMemory: readGauge(
      "resident_memory_bytes",
      "Resident memory of the process",
      () => process.memoryUsage.rss(),
    ),
    heapUsed: readGauge(
      "heap_used_bytes",
      "Used part of the JavaScript heap",
      () => process.memoryUsage().heapUsed,
    ),
    openDescriptors: readGauge(
      "open_descriptors",
      "Open descriptors of the process; 0 where the system has no list",
      () =>
        existsSync(DESCRIPTOR_FOLDER)
          ? readdirSync(DESCRIPTOR_FOLDER).length
          : 0,
    ),
  };
}
