/**
 * Composition of an entry host: creates its components, connects them, runs the
 * periodic work and performs the graceful stop.
 *
 * @module
 */
import { Quotas } from "../../core/limits/quotas.ts";
import { Membership } from "../../core/membership/membership.ts";
import { CandidateCache } from "../../core/membership/candidate_cache.ts";
import { HostReadiness } from "../../core/membership/host_readiness.ts";
import { mayServe } from "../../core/membership/restart_gate.ts";
import { Releases } from "../../core/release/releases.ts";
import { VersionCounts } from "../../core/release/version_counts.ts";
import type { EntrySettings } from "../../core/settings/entry_settings.ts";
import { GracefulStop } from "../../core/stop/graceful_stop.ts";
import type { ObjectKind } from "../../core/store/types.ts";
import { RoundTripTimes } from "../../core/targets/round_trip_times.ts";
import { TargetTable } from "../../core/targets/target_table.ts";
import type { Locality } from "../../core/types.ts";
import type { SendUsage } from "../../core/usage/types.ts";
import { BUILD_VERSION } from "../build_version.ts";
import { monotonicMs } from "../clock.ts";
import { findMaxDescriptors } from "../descriptors.ts";
import {
  applyCallerLimits,
  createCallerServer,
} from "../front/caller_server.ts";
import {
  createEndpointServer,
  type EndpointHandler,
} from "../front/endpoint_server.ts";
import type { HeaderNames } from "../header_names.ts";
import { createPeerServer } from "../peer/peer_service.ts";
import { ReportExchange } from "../peer/report_exchange.ts";
import type { SettingsSource } from "../settings_source.ts";
import type { ObjectCodec } from "../store/object_codec.ts";
import type { ObjectStore } from "../store/object_store.ts";
import { ConnectionPool } from "../target/connection_pool.ts";
import { createGuard } from "../telemetry/guard.ts";
import type { Telemetry } from "../telemetry/telemetry.ts";
import { loadTracing } from "../telemetry/tracing.ts";
import { createConnectionDecider } from "./caller_connections.ts";
import { measureDistances } from "./distance_measurement.ts";
import { FleetReports } from "./fleet_reports.ts";
import { HostEndpoints, type LookupResponse } from "./host_endpoints.ts";
import { HostRegistration } from "./host_registration.ts";
import { ObjectApplier } from "./object_applier.ts";
import { openAddresses } from "./open_addresses.ts";
import { startPeriodicWork } from "./periodic_work.ts";
import { ReleaseRunner } from "./release_runner.ts";
import { createRequestDependencies } from "./request_dependencies.ts";
import { RequestHandler } from "./request_handler.ts";
import { fetchFromSeeds } from "./seed_fetch.ts";
import { StoreReplica } from "./store_replica.ts";
import { TargetPathMonitor } from "./target_path_monitor.ts";
import { UsageReporter } from "./usage_reporter.ts";

/** Time between two checks of the settings file; a change sends no signal. */
const RELOAD_INTERVAL_MS = 1_000;
/**
 * Time for which to wait for addresses in use, beyond the grace period. A
 * predecessor that was told to stop is gone when its grace period ends.
 */
const ADDRESS_WAIT_MARGIN_MS = 1_000;
/** Time limit for requests that arrive while the process exits. */
const LAST_REQUESTS_TIMEOUT_MS = 100;

/** Options of an entry host, which the platform provides. */
export interface EntryHostOptions {
  readonly settings: SettingsSource<EntrySettings>;
  readonly telemetry: Telemetry;
  readonly headerNames: HeaderNames;
  readonly codec: ObjectCodec;
  /**
   * Creates the client of the store. `onCall` counts its calls, and `onEpoch`
   * gets the epoch of each response. `onUnreadable` is called for each object
   * that cannot be read.
   */
  readonly createStore: (
    listener: {
      onCall: (call: string, end: string) => void;
      onEpoch: (epoch: number) => void;
      onUnreadable: (kind: ObjectKind, reason: string) => void;
      onRepeat: (reason: string) => void;
    },
  ) => ObjectStore;
  /** Reports usage; absent if the settings ask for no usage reports. */
  readonly sendUsage?: SendUsage;
  /**
   * Creates the endpoints for lookups.
   *
   * @param lookUp Returns the hosts that a caller should use.
   */
  readonly lookupEndpoints: (
    lookUp: (caller: Locality, hostName: string) => LookupResponse,
  ) => Readonly<Record<string, EndpointHandler>>;
  /** Path of the readiness check. */
  readonly readyPath: string;
}

/** A running entry host. */
export interface EntryHost {
  /** Reads the settings again if the file has changed. */
  reload(): void;
  /**
   * Stops gracefully: requests in progress may complete within the grace
   * period. Repeated calls return the same promise.
   */
  stop(): Promise<void>;
}

/**
 * Starts an entry host.
 *
 * @throws {ExitError} `addressInUse`.
 */
export async function startEntryHost(
  options: EntryHostOptions,
): Promise<EntryHost> {
  const { headerNames, codec } = options;
  const settings = options.settings.current;
  const nowMs = monotonicMs;
  const random = Math.random;
  const startedMs = Date.now();
  const { host, listen: addresses } = settings;
  const self = {
    ...host,
    callerAddress: addresses.callers,
    peerAddress: addresses.peers,
  };
  const { log, metrics } = options.telemetry;
  log.addFields({ host: host.id, zone: host.availabilityZone });
  const guard = createGuard(log);
  const tracing = await loadTracing(settings.telemetry.traceFile);
  log.event("starting", {
    build: BUILD_VERSION,
    processId: process.pid,
    nodeVersion: process.version,
    platform: `${process.platform}-${process.arch}`,
    settings,
  });

  const store = options.createStore({
    onCall: (call, end) => metrics.storeCalls.inc({ call, end }),
    onEpoch: (epoch) => replica.recordEpoch(epoch),
    onUnreadable: (kind, reason) =>
      log.warn("object_unreadable", { kind, reason }),
    onRepeat: (reason) => log.event("store_call_repeated", { reason }),
  });
  const membership = new Membership(self);
  const targets = new TargetTable({ returnSpread: random });
  const counts = new VersionCounts();
  const releases = new Releases(counts, () => options.settings.current.bounds);
  const quotas = new Quotas({
    windowMs: settings.bounds.quotaWindowMs,
    excessFraction: settings.bounds.quotaExcess,
    slackRequests: settings.bounds.quotaSlack,
  }, { startsFull: settings.firstStart, nowMs: nowMs() });
  const senderCandidates = new CandidateCache(host.id, membership);
  const roundTrips = new RoundTripTimes(host);
  const gracefulStop = new GracefulStop(() =>
    options.settings.current.bounds.graceMs
  );
  let listeningMs = Infinity;
  const readiness = new HostReadiness({
    stopPhase: (atMs) => gracefulStop.phaseAt(atMs),
    hasDocument: () => applier.document !== undefined,
    isInformed: (atMs) =>
      mayServe({
        isFirstStart: settings.firstStart,
        hasPeerReport: membership.hasReports,
        listeningMs,
      }, atMs),
  });
  const hostState = () => readiness.stateAt(nowMs());

  const targetPath = new TargetPathMonitor({
    targets,
    pool: () => pool,
    log,
    metrics,
    nowMs,
    onRefused: (targetId) =>
      handler.dispatch({ type: "connection_refused", targetId }),
    onChanged: () => reportExchange.requestReport(),
  });
  const pool = new ConnectionPool({
    nowMs,
    onConnectFailed: (address) => targetPath.recordFailure(address),
    onConnected(address, connectMs) {
      metrics.targetConnections.inc();
      targetPath.recordConnected();
      for (const { target } of targets.all()) {
        if (target.address !== address) continue;
        roundTrips.recordConnection(target, connectMs);
        break;
      }
    },
  });
  const relayPool = new ConnectionPool({ nowMs });
  const replica = new StoreReplica({
    store,
    nowMs,
    random,
    log,
    contentVersion: (kind, object) => codec.contentVersion(kind, object),
    documentVersion: () => applier.document?.version ?? 0,
    bounds: () => options.settings.current.bounds,
    onChanges(kind, changes) {
      guard(`changes of ${kind}`, () => applier.apply(kind, changes));
      if (kind !== "targets") return;
      measureDistances({ targets, roundTrips, pool, nowMs });
    },
    broadcastDelta: (pushedDelta) => {
      reportExchange.broadcastDelta(pushedDelta);
      reportExchange.requestReport();
    },
  });
  const applier = new ObjectApplier({
    codec,
    view: (kind) => replica.view(kind),
    storeAvailability: () => replica.availability,
    targets,
    releases,
    membership,
    log,
    nowMs,
    onDocumentApplied(document) {
      dependencies.configure(document);
      quotas.configure(document.organisations, nowMs());
      applyCallerLimits(callerServer, document.limits);
      metrics.documentVersion.set(document.version);
      reportExchange.requestReport();
    },
    onTargetLeaving: (address) => pool.closeIdle(address),
    onHostsChanged: () => fleetReports.updateQuotaPeers(),
  });
  const { usageReports } = settings;
  const usage = usageReports && options.sendUsage && new UsageReporter({
    self,
    startedMs,
    settings: usageReports,
    sendUsage: options.sendUsage,
    store,
    replica: () => replica,
    membership,
    log,
    metrics,
    isReady: () => hostState() === "ready",
    isTaskOwner: (task) => fleetReports.isTaskOwner(task),
    isStoreReached: () =>
      fleetReports.peerStatuses().some(({ store }) =>
        store.watches && !store.isFailing
      ),
    nowMs,
    clockMs: Date.now,
  });
  const fleetReports = new FleetReports({
    self,
    usage,
    startedMs,
    build: BUILD_VERSION,
    state: hostState,
    hasTargetPath: () => !targetPath.isLost,
    membership,
    quotas,
    targets,
    counts,
    releases,
    replica: () => replica,
    documentVersion: () => applier.document?.version ?? 0,
    log,
    metrics,
    nowMs,
    onTargetLeaving: (address) => pool.closeIdle(address),
    onCrashReport: (crash) =>
      handler.dispatch({ type: "suspicion_received", ...crash }),
    isSuspected: (fingerprint) => handler.isSuspected(fingerprint),
    requestReport: () => reportExchange.requestReport(),
  });
  const dependencies = createRequestDependencies({
    hostLocality: host,
    targets,
    quotas,
    releases,
    counts,
    random,
    findHostRefusal: (atMs) => readiness.findRefusal(atMs),
    latestDeadlineMs: () => gracefulStop.exitsAtMs,
    evacuatedZones: () => applier.evacuatedZones,
    coldStartCandidates: () => senderCandidates.forColdStarts(nowMs()),
    limitCandidates: () => senderCandidates.forLimits(nowMs()),
    distanceCosts: () => ({
      ...options.settings.current.distance,
      regionRoundTripMs: roundTrips.extraRegionMs,
      zoneRoundTripMs: roundTrips.extraZoneMs,
    }),
    retryBounds: () => {
      const { bounds } = options.settings.current;
      return {
        ratio: bounds.retryRatio,
        slack: bounds.retrySlack,
        windowMs: bounds.retryWindowMs,
      };
    },
    hostCount: () => membership.peers().length + 1,
    usageCounter: usage?.counter,
    isBlocked: (fingerprint) => fleetReports.isBlocked(fingerprint),
    isTargetPathLost: () => targetPath.isLost,
    isTargetPathInDoubt: () => targetPath.isInDoubt,
    livePeers: (atMs) => membership.livePeers(atMs),
    onLimitChanged({ id, service }, limitPerS) {
      log.event("target_limit", { target: id, service, limitPerS });
      reportExchange.requestReport();
    },
    onStatement({ id, service, address }, statement, { isNew }) {
      if (!isNew) return;
      const { isLeaving, refusesForMs } = statement;
      if (refusesForMs > 0) {
        log.event("target_refuses", { target: id, service, refusesForMs });
      }
      if (!isLeaving) return;
      log.event("target_leaving", { target: id, service });
      pool.closeIdle(address);
      reportExchange.requestReport();
    },
  });
  let generatedIds = 0;
  const handler = new RequestHandler({
    dependencies,
    createRequestId: () => {
      generatedIds += 1;
      return `${host.id}-${startedMs.toString(36)}-${generatedIds}`;
    },
    pool,
    relayPool,
    checkTarget: (target) => targetPath.checkTarget(target),
    onSentToTarget: (id) => usage?.counter.recordSent(id, nowMs()),
    headerNames,
    log,
    metrics,
    tracing,
    nowMs,
    closesConnections: () => gracefulStop.phaseAt(nowMs()) !== "serving",
    publishCrashReport({ fingerprint, targetId = "" }) {
      fleetReports.recordCrash(fingerprint, targetId);
      reportExchange.requestReport();
    },
  });
  const reportExchange = new ReportExchange({
    address: addresses.peers,
    membership,
    seeds: settings.seeds,
    nowMs,
    log,
    metrics,
    createReport: () => fleetReports.createReport(),
    summarizeZone: (ownReport) => fleetReports.createZoneSummary(ownReport),
    onReport: (report) => fleetReports.applyReport(report),
    onZoneSummary: (summary) => fleetReports.applyZoneSummary(summary),
    onPushedDelta: (pushedDelta) => replica.applyPushedDelta(pushedDelta),
  });
  const releaseRunner = new ReleaseRunner({
    releases,
    leadsTo: (routeId, service) =>
      applier.document?.routes.some(({ id, parts }) =>
        id === routeId &&
        parts.some((part) => part.service === service && part.weight > 0)
      ) ?? false,
    membership,
    replica,
    store,
    codec,
    log,
    nowMs,
    isTaskOwner: (task) => fleetReports.isTaskOwner(task),
    requestReport: () => reportExchange.requestReport(),
  });
  const endpoints = new HostEndpoints({
    self,
    build: BUILD_VERSION,
    state: hostState,
    settings: () => options.settings.current,
    membership,
    targets,
    releases,
    applier,
    replica,
    metrics,
    requestsInProgress: () => handler.requestsInProgress,
    queueLengths: () => handler.queueLengths,
    hasTargetPath: () => !targetPath.isLost,
    describeUsage: () => usage?.describe(),
    nowMs,
  });
  const lookupServer = createEndpointServer(
    options.lookupEndpoints((caller, hostName) =>
      endpoints.lookUp(caller, hostName)
    ),
  );
  const readinessServer = createEndpointServer({
    [options.readyPath]: (_req, res) => endpoints.serveReadiness(res),
    "/metrics": (req, res) => endpoints.serveMetrics(req, res),
  });
  const peerServer = createPeerServer({
    deltaSince: (kind, position) => replica.deltaSince(kind, position),
    describe: () => endpoints.describe(),
    handleRelayed: (req, res, relay) => handler.handle(req, res, relay),
  });
  const callerServer = createCallerServer(
    (req, res) => handler.handle(req, res),
    {
      decideConnection: createConnectionDecider({
        maxDescriptors: findMaxDescriptors(settings.limits.maxDescriptors),
        pools: [pool, relayPool],
        otherServers: [lookupServer, readinessServer, peerServer],
        log,
        nowMs,
      }),
    },
  );
  const registration = new HostRegistration({
    self,
    store,
    codec,
    replica,
    membership,
    log,
    random,
    nowMs,
    isTaskOwner: (task) => fleetReports.isTaskOwner(task),
    isStopping: () => gracefulStop.phaseAt(nowMs()) !== "serving",
  });

  function reload(): void {
    const result = options.settings.reload();
    if (result.type === "changed") {
      log.event("settings_reloaded", { settings: options.settings.current });
    } else if (result.type === "rejected" && !result.isRepeated) {
      log.warn("settings_rejected", { reason: result.reason });
    }
  }

  const reloadTimer = setInterval(reload, RELOAD_INTERVAL_MS);
  await openAddresses({
    addresses,
    waitMs: settings.bounds.graceMs + ADDRESS_WAIT_MARGIN_MS,
    log,
    startReports: (bindOptions) => reportExchange.start(bindOptions),
    servers: {
      callers: callerServer,
      lookups: lookupServer,
      readiness: readinessServer,
      peers: peerServer,
    },
  });
  const stopPeriodicWork = startPeriodicWork({
    guard,
    nowMs,
    clockMs: Date.now,
    onPause(gapMs) {
      log.warn("process_paused", { gapMs: Math.round(gapMs) });
      membership.recordPause(gapMs);
      fleetReports.recordPause(gapMs);
      usage?.recordPause(gapMs);
      replica.recordPause();
    },
    onSuspension(gapMs) {
      log.warn("machine_suspended", { gapMs: Math.round(gapMs) });
      replica.recordPause();
    },
    tasks: {
      quotas: (atMs) => quotas.update(atMs),
      applier: () => applier.tick(),
      releases: () => releaseRunner.tick(),
      registration: () => registration.tick(),
      usage: () => usage?.tick(),
      pool(atMs) {
        pool.prune(atMs);
        relayPool.prune(atMs);
      },
      "target path": () => targetPath.tick(),
      replica(atMs) {
        const rank = membership.taskRank("watch", atMs);
        replica.tick(rank, fleetReports.peerStatuses());
      },
    },
  });

  const stopFollowing = replica.start();
  registration.register();
  fetchFromSeeds({
    replica,
    seeds: settings.seeds.filter((seed) => seed !== self.peerAddress),
    hasDocument: () => applier.document !== undefined,
  });
  listeningMs = nowMs();
  log.event("listening", { callers: addresses.callers });

  let stopping: Promise<void> | undefined;

  async function performStop(): Promise<void> {
    gracefulStop.begin(nowMs());
    log.event("stopping", { inProgress: handler.requestsInProgress });
    reportExchange.requestReport();
    registration.deregister();
    while (!gracefulStop.mayExit(handler.requestsInProgress, nowMs())) {
      await sleep(50);
    }
    gracefulStop.end();
    stopPeriodicWork();
    clearInterval(reloadTimer);
    stopFollowing();
    reportExchange.close();
    // Requests that arrive on open connections meanwhile are still refused.
    callerServer.close();
    callerServer.closeIdleConnections();
    await Promise.race([handler.whenIdle(), sleep(LAST_REQUESTS_TIMEOUT_MS)]);
    pool.close();
    relayPool.close();
    store.close();
    await tracing.close();
    handler.breakOffUnanswered();
    log.event("stopped", { inProgress: handler.requestsInProgress });
  }

  return {
    reload,
    stop: () => stopping ??= performStop(),
  };
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
