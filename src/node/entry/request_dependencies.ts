/**
 * Implements the dependencies of the request pipeline with the state of an
 * entry host.
 *
 * @module
 */
import { ApiKeyTable } from "../../core/auth/api_key_table.ts";
import { checkAdmission, isLowPriority } from "../../core/balance/admission.ts";
import {
  chooseTarget,
  type DistanceCosts,
} from "../../core/balance/choose_target.ts";
import { LocalityWeights } from "../../core/balance/locality_weights.ts";
import { RouteSizes } from "../../core/balance/route_sizes.ts";
import { TrafficSplitter } from "../../core/balance/traffic_splitter.ts";
import {
  findStatedDelayMs,
  findUsableTargets,
  type UsabilityInputs,
} from "../../core/balance/usable_targets.ts";
import type { Document, Route, Service } from "../../core/document/document.ts";
import { RouteTable } from "../../core/document/route_table.ts";
import type { Quotas } from "../../core/limits/quotas.ts";
import {
  decideHold,
  findHeldServices,
} from "../../core/queue/hold_decision.ts";
import type { HostRecord } from "../../core/membership/types.ts";
import { chooseRelayHost } from "../../core/relay/choose_relay_host.ts";
import type { Releases } from "../../core/release/releases.ts";
import type { VersionRule } from "../../core/release/types.ts";
import type { VersionCounts } from "../../core/release/version_counts.ts";
import type { PipelineDependencies } from "../../core/request/dependencies.ts";
import type { RefusalReason, RequestState } from "../../core/request/types.ts";
import {
  type RetryBounds,
  RetryBudget,
} from "../../core/retry/retry_budget.ts";
import type { SenderCandidates } from "../../core/targets/rate_share.ts";
import type { AvailabilityStatement } from "../../core/targets/stated_availability.ts";
import { ServiceTimes } from "../../core/targets/service_times.ts";
import type {
  TargetState,
  TargetTable,
} from "../../core/targets/target_table.ts";
import type { Target } from "../../core/targets/types.ts";
import type { Locality, Random } from "../../core/types.ts";

/** Assumed latency objective of a route without one, in milliseconds. */
const DEFAULT_OBJECTIVE_MS = 500;

/** Options of `createRequestDependencies`. */
export interface RequestDependenciesOptions {
  /** Region and availability zone of this host. */
  readonly hostLocality: Locality;
  readonly targets: TargetTable;
  readonly quotas: Quotas;
  readonly releases: Releases;
  readonly counts: VersionCounts;
  readonly random: Random;
  /** Returns why this host refuses all requests; `undefined` if it does not. */
  readonly findHostRefusal: (nowMs: number) => RefusalReason | undefined;
  /** Time by which all requests must have ended; Infinity without one. */
  readonly latestDeadlineMs: () => number;
  readonly evacuatedZones: () => ReadonlySet<string>;
  readonly coldStartCandidates: () => SenderCandidates;
  readonly limitCandidates: () => SenderCandidates;
  readonly distanceCosts: () => DistanceCosts;
  readonly retryBounds: () => RetryBounds;
  /** Number of hosts that share the retry slack, including this one. */
  readonly hostCount: () => number;
  readonly usageCounter: PipelineDependencies["usageCounter"];
  readonly isBlocked: (fingerprint: string) => boolean;
  /** Whether this host reaches no target. */
  readonly isTargetPathLost: () => boolean;
  /** Whether it may reach none; see `TargetPath.isInDoubt`. */
  readonly isTargetPathInDoubt: () => boolean;
  /** Live hosts other than this one. */
  readonly livePeers: (nowMs: number) => readonly HostRecord[];
  /** Called when a response changes the limit that its target states. */
  readonly onLimitChanged: (
    target: Target,
    limitPerS: number | undefined,
  ) => void;
  /**
   * Called with what a target states of its availability. `isNew` is false if it
   * only states again that it is leaving.
   */
  readonly onStatement: (
    target: Target,
    statement: AvailabilityStatement,
    options: { isNew: boolean },
  ) => void;
}

/** Dependencies of the pipeline that can be reconfigured. */
export interface RequestDependencies extends PipelineDependencies {
  /** Applies a new configuration document. */
  configure(document: Document): void;
}

/** Returns the priority of the most urgent route by service. */
function findTopPriorities(routes: readonly Route[]): Map<string, number> {
  const topPriorities = new Map<string, number>();
  for (const { parts, priority } of routes) {
    for (const { service } of parts) {
      const topPriority = topPriorities.get(service) ?? Infinity;
      topPriorities.set(service, Math.min(topPriority, priority));
    }
  }
  return topPriorities;
}

/** Creates the dependencies; they have no document until `configure`. */
export function createRequestDependencies(
  options: RequestDependenciesOptions,
): RequestDependencies {
  const { targets, quotas, releases, counts } = options;
  const serviceTimes = new ServiceTimes();
  const splitter = new TrafficSplitter();
  const retryBudgets = new Map<string, RetryBudget>();
  const localityWeights = new LocalityWeights();
  const routeSizes = new RouteSizes();
  let document: Document | undefined;
  let routes = new RouteTable([]);
  let apiKeys = new ApiKeyTable([]);
  let servicesById = new Map<string, Service>();
  let topPriorities = new Map<string, number>();
  let heldServices: ReadonlySet<string> = new Set();

  function retryBudgetOf(service: string): RetryBudget {
    let retryBudget = retryBudgets.get(service);
    if (retryBudget === undefined) {
      retryBudget = new RetryBudget();
      retryBudgets.set(service, retryBudget);
    }
    return retryBudget;
  }

  function usabilityInputs(
    { service, route, organisation, triedTargetIds }: RequestState,
    versionRule: VersionRule,
  ): UsabilityInputs {
    return {
      route,
      organisation,
      triedTargetIds,
      versionRule,
      evacuatedZones: options.evacuatedZones(),
      coldRatePerS: servicesById.get(service)?.coldRatePerS ?? 0,
      coldStartCandidates: options.coldStartCandidates,
      limitCandidates: options.limitCandidates,
    };
  }

  function findUsableByRule(
    request: RequestState,
    versionRule: VersionRule,
    nowMs: number,
  ): TargetState[] {
    return findUsableTargets(
      targets.ofService(request.service),
      usabilityInputs(request, versionRule),
      nowMs,
    );
  }

  return {
    configure(next) {
      document = next;
      routes = new RouteTable(next.routes);
      apiKeys = new ApiKeyTable(next.organisations);
      servicesById = new Map(
        next.services.map((service) => [service.id, service]),
      );
      topPriorities = findTopPriorities(next.routes);
      heldServices = findHeldServices(next.routes);
    },
    document: () => document,
    findHostRefusal: options.findHostRefusal,
    latestDeadlineMs: options.latestDeadlineMs,
    findRoute: (host, path) => routes.findRoute(host, path),
    findOrganisation: (digest) => apiKeys.findOrganisation(digest),
    needsKeys: () => (document?.organisations.length ?? 0) > 0,
    takeQuotaToken: (id, nowMs) => quotas.admit(id, nowMs),
    refundQuotaToken: (id, nowMs) => quotas.refund(id, nowMs),
    pickService: (route, affinityHash) =>
      splitter.pickService(route, affinityHash),
    findUsableTargets(request, nowMs) {
      const { service, route, versionBucket } = request;
      const versionRule = releases.getVersionRule(
        service,
        route.id,
        versionBucket,
      );
      const usable = findUsableByRule(request, versionRule, nowMs);
      if (usable.length > 0) return usable;
      // If the chosen version has no usable target, others may be used.
      const fallbackRule = releases.getVersionRule(service, route.id, 1);
      return findUsableByRule(request, fallbackRule, nowMs);
    },
    findStatedDelayMs(request, nowMs) {
      const { service, route } = request;
      // As above, any version but the one under release may be used.
      const versionRule = releases.getVersionRule(service, route.id, 1);
      return findStatedDelayMs(
        targets.ofService(service),
        usabilityInputs(request, versionRule),
        nowMs,
      );
    },
    chooseTarget(usable, { keyHash, route, bodyBytes }, nowMs) {
      const costs = options.distanceCosts();
      const objectiveMs = route.objectiveMs || DEFAULT_OBJECTIVE_MS;
      const savingMs = costs.regionRoundTripMs +
        costs.regionMsPerKib * routeSizes.sizeClassBytes(route.id) / 1_024;
      return chooseTarget(
        usable,
        {
          keyHash,
          serviceTime: expectedServiceTime(route),
          objectiveMs,
          transferBytes: bodyBytes + routeSizes.responseBytes(route.id),
          localityWeight: localityWeights.weightOf(
            route.id,
            savingMs,
            objectiveMs,
          ),
          hostLocality: options.hostLocality,
        },
        costs,
        nowMs,
      );
    },
    beginAttempt: (request, state, nowMs) =>
      targets.beginAttempt(state, request.keyHash, nowMs),
    endAttempt(handle, end, nowMs) {
      const { target, statedLimit } = handle.state;
      const previousPerS = statedLimit.limitPerS;
      targets.endAttempt(handle, end, nowMs);
      const { limitPerS } = statedLimit;
      if (limitPerS !== previousPerS) options.onLimitChanged(target, limitPerS);
    },
    recordStatement({ state }, statement, nowMs) {
      const { availability, target } = state;
      const wasLeaving = availability.isLeaving;
      targets.recordStatement(state, statement, nowMs);
      options.onStatement(target, statement, {
        isNew: availability.isLeaving !== wasLeaving ||
          statement.refusesForMs > 0,
      });
    },
    recordUnreachable: (id, nowMs) =>
      targets.get(id)?.health.recordOutcome("unreachable", nowMs),
    recordVersionResult({ service, route }, { target }, { isBad }) {
      const { version } = target;
      counts.recordResponse({ service, routeId: route.id, version }, isBad);
    },
    estimateServiceTime: expectedServiceTime,
    recordServiceTime: (route, serviceTimeMs, { isWarm }) =>
      serviceTimes.recordServiceTime(route, serviceTimeMs, { isWarm }),
    recordResponseBytes: ({ route, bodyBytes }, bytes) =>
      routeSizes.recordRequest(route.id, bodyBytes, bytes),
    addToRetryBudget: (service, nowMs) =>
      retryBudgetOf(service).recordRequest(options.retryBounds(), nowMs),
    takeRetryToken: (service, nowMs) =>
      retryBudgetOf(service).takeToken(
        options.retryBounds(),
        options.hostCount(),
        nowMs,
      ),
    usageCounter: options.usageCounter,
    isBlocked: options.isBlocked,
    checkAdmission(
      { deadlineMs, arrivedMs, route, organisation, service },
      candidate,
      nowMs,
    ) {
      const objectiveMs = route.objectiveMs || Infinity;
      return checkAdmission({
        candidate,
        remainingMs: deadlineMs - nowMs,
        remainingObjectiveMs: objectiveMs - (nowMs - arrivedMs),
        objectiveMs,
        isLowPriority: isLowPriority({
          routePriority: route.priority,
          organisationPriority: organisation?.priority,
          topPriority: topPriorities.get(service),
        }),
      });
    },
    decideHold({ service, route, arrivedMs }, candidate, nowMs) {
      const { load, pace } = candidate.state;
      // A target with a steady pace works off its queue in a predictable time, so
      // a request gains little by waiting here; small fleets served slightly less.
      if (!heldServices.has(service) || !pace.isStated) {
        return { type: "send" };
      }
      const { queueWaitMs, expectedResponseMs, roundTripMs } = candidate;
      return decideHold({
        queueWaitMs,
        expectedResponseMs,
        serviceTimeMs: expectedResponseMs - queueWaitMs - roundTripMs,
        loadAgeMs: nowMs - load.lastReportMs,
        isFilledByHost: load.inFlightAttempts >= load.slots,
        objectiveAtMs: arrivedMs + (route.objectiveMs || Infinity),
      }, nowMs);
    },
    isTargetPathLost: options.isTargetPathLost,
    isTargetPathInDoubt: options.isTargetPathInDoubt,
    chooseRelayHost: ({ route, organisation, triedRelayHostIds }, nowMs) =>
      chooseRelayHost(options.livePeers(nowMs), {
        region: options.hostLocality.region,
        homeRegions: [route.homeRegions, organisation?.homeRegions ?? []],
        triedHostIds: triedRelayHostIds,
        random: options.random,
      }),
    isHostLive: (hostId, nowMs) =>
      options.livePeers(nowMs).some(({ id }) => id === hostId),
    random: options.random,
  };

  function expectedServiceTime({ id, objectiveMs }: Route) {
    return serviceTimes.expectedServiceTime(id, objectiveMs);
  }
}
