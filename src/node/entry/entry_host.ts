/**
 * One entry host: its parts and how they are connected.
 *
 * @module
 */
import { Quotas } from "../../core/limits/quotas.ts";
import { Membership } from "../../core/membership/membership.ts";
import type { HostRecord, HostState } from "../../core/membership/types.ts";
import { Releases } from "../../core/release/releases.ts";
import { VersionCounts } from "../../core/release/version_counts.ts";
import type { RefusalReason } from "../../core/request/types.ts";
import type { EntrySettings } from "../../core/settings/entry_settings.ts";
import { GracefulStop } from "../../core/stop/graceful_stop.ts";
import {
  type ColdStartSenders,
  createColdStartSenders,
} from "../../core/targets/cold_start_limit.ts";
import { RoundTripTimes } from "../../core/targets/round_trip_times.ts";
import { TargetTable } from "../../core/targets/target_table.ts";
import type { Locality } from "../../core/types.ts";
import { listen } from "../address.ts";
import { monotonicMs } from "../clock.ts";
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
import type { ObjectCodec } from "../store/object_codec.ts";
import type { ObjectStore } from "../store/object_store.ts";
import type { SettingsSource } from "../settings_source.ts";
import { ConnectionPool } from "../target/connection_pool.ts";
import { createLog } from "../telemetry/log.ts";
import { createMetrics } from "../telemetry/metrics.ts";
import { loadTracing } from "../telemetry/tracing.ts";
import { ControlReader } from "./control_reader.ts";
import { ControlState } from "./control_state.ts";
import { measureDistances } from "./distance_probes.ts";
import { FleetView } from "./fleet_view.ts";
import { type LookupAnswer, OwnAnswers } from "./own_answers.ts";
import { Registration } from "./registration.ts";
import { ReleaseRunner } from "./release_runner.ts";
import { RequestHandler } from "./request_handler.ts";
import { createRequestParts } from "./request_parts.ts";

/** Time between two turns of periodic work. */
const TURN_MS = 100;
/** A longer gap between two turns means that the process did not run. */
const PAUSE_MS = 700;
/** Time between two looks at the settings file, which changes silently. */
const RELOAD_MS = 1_000;
/** Time for requests that arrive as the process ends. */
const LAST_REQUESTS_MS = 100;
/** Time after which peers are asked when the store does not answer. */
const ASK_SEEDS_MS = 400;

/** What an entry host is given by its platform. */
export interface EntryHostOptions {
  readonly settings: SettingsSource<EntrySettings>;
  readonly names: HeaderNames;
  readonly codec: ObjectCodec;
  /** Creates the client of the store. */
  readonly createStore: (
    events: { onCall: (call: string, end: string) => void },
  ) => ObjectStore;
  /** Endpoints for look-ups, given how to answer one. */
  readonly lookupEndpoints: (
    answer: (caller: Locality, hostName: string) => LookupAnswer,
  ) => Readonly<Record<string, EndpointHandler>>;
  /** Path of the readiness check. */
  readonly readyPath: string;
}

/** A running entry host. */
export interface EntryHost {
  /** Reads the settings again. */
  reload(): void;
  /** Stops without cutting requests. */
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
  const { names, codec } = options;
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
  const log = createLog({ host: host.id, zone: host.availabilityZone });
  const metrics = createMetrics();
  const tracing = await loadTracing(settings.telemetry.traceFile);
  log.event("starting", { settings });

  const store = options.createStore({
    onCall: (call, end) => metrics.storeCalls.inc({ call, end }),
  });
  const membership = new Membership(self);
  const targets = new TargetTable();
  const counts = new VersionCounts();
  const releases = new Releases(counts, () => options.settings.current.bounds);
  const quotas = new Quotas({
    windowMs: settings.bounds.quotaWindowMs,
    excessFraction: settings.bounds.quotaExcess,
    slackRequests: settings.bounds.quotaSlack,
  }, { startsFull: settings.firstStart, nowMs: nowMs() });
  const roundTrips = new RoundTripTimes(host);
  const stopPlan = new GracefulStop(() =>
    options.settings.current.bounds.graceMs
  );

  const pool = new ConnectionPool({
    nowMs,
    onConnected(address, tookMs) {
      metrics.targetConnections.inc();
      for (const { target } of targets.all()) {
        if (target.address !== address) continue;
        roundTrips.recordConnection(target, tookMs);
        break;
      }
    },
  });
  const control = new ControlState({
    store,
    nowMs,
    random,
    log,
    onNews(kind, news) {
      reader.apply(kind, news);
      if (kind !== "targets") return;
      measureDistances({ targets, roundTrips, pool, nowMs });
    },
    pass: (pushed) => {
      exchange.broadcastDelta(pushed);
      exchange.requestReport();
    },
  });
  const reader = new ControlReader({
    codec,
    view: (kind) => control.view(kind),
    store: () => control.outlook,
    targets,
    releases,
    membership,
    log,
    nowMs,
    onDocument(document) {
      parts.configure(document);
      quotas.configure(document.organisations, nowMs());
      applyCallerLimits(callerServer, document.limits);
      metrics.documentVersion.set(document.version);
      exchange.requestReport();
    },
    onTargetLeaving: (address) => pool.closeIdle(address),
    onHosts: () => fleet.followHosts(),
  });
  const fleet = new FleetView({
    self,
    startedMs,
    state: hostState,
    membership,
    quotas,
    counts,
    releases,
    control: () => control,
    log,
    nowMs,
    onSuspicion: (note) =>
      handler.dispatch({ type: "suspicion_received", ...note }),
    onNews: () => exchange.requestReport(),
  });
  const parts = createRequestParts({
    place: host,
    targets,
    quotas,
    releases,
    counts,
    random,
    refusesAll,
    evacuatedZones: () => reader.evacuatedZones,
    coldSenders,
    distance: () => ({
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
    isBlocked: (fingerprint) => fleet.isBlocked(fingerprint),
  });
  const handler = new RequestHandler({
    parts,
    pool,
    names,
    log,
    metrics,
    tracing,
    nowMs,
    closesConnections: () => stopPlan.phaseAt(nowMs()) !== "serving",
    publishBlame({ fingerprint, targetId = "" }) {
      fleet.noteBlame({ fingerprint, targetId });
      exchange.requestReport();
    },
  });
  const exchange = new ReportExchange({
    address: addresses.peers,
    membership,
    seeds: settings.seeds,
    nowMs,
    log,
    metrics,
    createReport: () => fleet.report(),
    summarizeZone: (own) => fleet.summary(own),
    onReport: (report) => fleet.takeReport(report),
    onZoneSummary: (summary) => fleet.takeZone(summary),
    onPushedDelta: (pushed) => control.takePushed(pushed),
  });
  const releaseRunner = new ReleaseRunner({
    releases,
    membership,
    control,
    store,
    codec,
    log,
    nowMs,
    holdsStoreDuty: (duty) => fleet.holdsStoreDuty(duty),
    push: () => exchange.requestReport(),
  });
  const callerServer = createCallerServer((req, res) =>
    handler.handle(req, res)
  );
  const answers = new OwnAnswers({
    self,
    state: hostState,
    settings: () => options.settings.current,
    membership,
    targets,
    releases,
    reader,
    control,
    metrics,
    inProgress: () => handler.inProgress,
    nowMs,
  });
  const lookupServer = createEndpointServer(
    options.lookupEndpoints((caller, name) => answers.lookup(caller, name)),
  );
  const ownServer = createEndpointServer({
    [options.readyPath]: (_req, res) => answers.ready(res),
    "/metrics": (req, res) => answers.metrics(req, res),
  });
  const peerServer = createPeerServer({
    deltaSince: (kind, revision) => control.deltaSince(kind, revision),
    describe: () => answers.describe(),
  });
  const registration = new Registration({
    self,
    store,
    codec,
    control,
    membership,
    log,
    random,
    nowMs,
    holdsStoreDuty: (duty) => fleet.holdsStoreDuty(duty),
    isStopping: () => stopPlan.phaseAt(nowMs()) !== "serving",
  });

  function hostState(): HostState {
    if (stopPlan.phaseAt(nowMs()) !== "serving") return "leaving";
    return reader.document === undefined ? "starting" : "ready";
  }

  function refusesAll(atMs: number): RefusalReason | undefined {
    const phase = stopPlan.phaseAt(atMs);
    return phase === "refusing" || phase === "ended"
      ? { kind: "host_leaving", reason: "this host is stopping" }
      : undefined;
  }

  let coldHosts: readonly HostRecord[] = [];
  let senders = createColdStartSenders(host.id, []);

  function coldSenders(): ColdStartSenders {
    const live = membership.livePeers(nowMs());
    if (live !== coldHosts) {
      coldHosts = live;
      const ready = live.filter(({ state }) => state === "ready");
      senders = createColdStartSenders(host.id, ready.map(({ id }) => id));
    }
    return senders;
  }

  /** Asks seeds for the document while the store does not answer. */
  async function askSeeds(): Promise<void> {
    while (reader.document === undefined) {
      await sleep(ASK_SEEDS_MS);
      for (const seed of settings.seeds) {
        if (reader.document !== undefined || !control.isFailing) break;
        if (seed !== self.peerAddress) await control.fetchFrom(seed);
      }
    }
  }

  function reload(): void {
    const result = options.settings.reload();
    if (result.type === "changed") {
      log.event("settings_reloaded", { settings: options.settings.current });
    } else if (result.type === "rejected") {
      log.warn("settings_rejected", { reason: result.reason });
    }
  }

  const reloads = setInterval(reload, RELOAD_MS);
  let turnMs = nowMs();
  const turns = setInterval(() => {
    const atMs = nowMs();
    const gapMs = atMs - turnMs;
    turnMs = atMs;
    if (gapMs > PAUSE_MS) {
      log.warn("process_paused", { gapMs: Math.round(gapMs) });
      membership.recordPause(gapMs);
    }
    quotas.update(atMs);
    reader.tick();
    releaseRunner.tick();
    registration.tick();
    pool.prune(atMs);
    control.tick(
      membership.taskRank("watch", atMs),
      fleet.positions(),
    );
  }, TURN_MS);

  await Promise.all([
    listen(callerServer, addresses.callers, "listen.callers"),
    listen(lookupServer, addresses.lookups, "listen.lookups"),
    listen(ownServer, addresses.readiness, "listen.readiness"),
    listen(peerServer, addresses.peers, "listen.peers"),
    exchange.start(),
  ]);
  const stopFollowing = control.start();
  registration.register();
  askSeeds();
  log.event("listening", { callers: addresses.callers });

  let stopping: Promise<void> | undefined;

  async function runStop(): Promise<void> {
    stopPlan.begin(nowMs());
    log.event("stopping", { inProgress: handler.inProgress });
    exchange.requestReport();
    registration.deregister();
    while (!stopPlan.mayExit(handler.inProgress, nowMs())) await sleep(50);
    clearInterval(turns);
    clearInterval(reloads);
    stopFollowing();
    exchange.close();
    // Requests that are on their way on open connections are still refused.
    callerServer.close();
    callerServer.closeIdleConnections();
    await Promise.race([handler.whenIdle(), sleep(LAST_REQUESTS_MS)]);
    pool.close();
    store.close();
    await tracing.close();
    log.event("stopped", { inProgress: handler.inProgress });
    log.close();
    log.flush();
  }

  return {
    reload,
    stop: () => stopping ??= runStop(),
  };
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
