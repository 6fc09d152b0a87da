/**
 * Connects the request pipeline with what an entry host knows.
 *
 * @module
 */
import { ApiKeyTable } from "../../core/auth/api_key_table.ts";
import { checkAdmission } from "../../core/balance/admission.ts";
import {
  chooseTarget,
  type DistanceCosts,
} from "../../core/balance/choose_target.ts";
import { LocalityWeights } from "../../core/balance/locality_weights.ts";
import { RouteSizes } from "../../core/balance/route_sizes.ts";
import { TrafficSplitter } from "../../core/balance/traffic_splitter.ts";
import { findUsableTargets } from "../../core/balance/usable_targets.ts";
import type { Document, Route, Service } from "../../core/document/document.ts";
import { RouteTable } from "../../core/document/route_table.ts";
import type { Quotas } from "../../core/limits/quotas.ts";
import type { Releases } from "../../core/release/releases.ts";
import type { VersionRule } from "../../core/release/types.ts";
import type { VersionCounts } from "../../core/release/version_counts.ts";
import type { PipelineDependencies } from "../../core/request/dependencies.ts";
import type { RefusalReason, RequestState } from "../../core/request/types.ts";
import {
  type RetryBounds,
  RetryBudget,
} from "../../core/retry/retry_budget.ts";
import type { ColdStartSenders } from "../../core/targets/cold_start_limit.ts";
import { ServiceTimes } from "../../core/targets/service_times.ts";
import type {
  TargetState,
  TargetTable,
} from "../../core/targets/target_table.ts";
import type { Locality, Random } from "../../core/types.ts";

/** Assumed objective of a route without one, in milliseconds. */
const DEFAULT_OBJECTIVE_MS = 500;

/** What the parts are built from. */
export interface RequestPartsOptions {
  readonly place: Locality;
  readonly targets: TargetTable;
  readonly quotas: Quotas;
  readonly releases: Releases;
  readonly counts: VersionCounts;
  readonly random: Random;
  readonly refusesAll: (nowMs: number) => RefusalReason | undefined;
  readonly evacuatedZones: () => ReadonlySet<string>;
  readonly coldSenders: () => ColdStartSenders;
  readonly distance: () => DistanceCosts;
  readonly retryBounds: () => RetryBounds;
  /** Number of hosts that take requests, this one included. */
  readonly hostCount: () => number;
  readonly isBlocked: (fingerprint: string) => boolean;
}

/** Parts that follow the document. */
export interface RequestParts extends PipelineDependencies {
  /** Takes over a document. */
  configure(document: Document): void;
}

/** Rank of the most urgent route of each service. */
function urgencyOf(routes: readonly Route[]): Map<string, number> {
  const urgency = new Map<string, number>();
  for (const { parts, priority } of routes) {
    for (const { service } of parts) {
      const known = urgency.get(service) ?? Infinity;
      urgency.set(service, Math.min(known, priority));
    }
  }
  return urgency;
}

/** Creates the parts. */
export function createRequestParts(options: RequestPartsOptions): RequestParts {
  const { targets, quotas, releases, counts } = options;
  const times = new ServiceTimes();
  const splitter = new TrafficSplitter();
  const budgets = new Map<string, RetryBudget>();
  const localityWeights = new LocalityWeights();
  const sizes = new RouteSizes();
  let document: Document | undefined;
  let routes = new RouteTable([]);
  let keys = new ApiKeyTable([]);
  let services = new Map<string, Service>();
  let urgency = new Map<string, number>();

  function budgetOf(service: string): RetryBudget {
    let budget = budgets.get(service);
    if (budget === undefined) {
      budget = new RetryBudget();
      budgets.set(service, budget);
    }
    return budget;
  }

  function usableUnder(
    request: RequestState,
    rule: VersionRule,
    nowMs: number,
  ): TargetState[] {
    const { service, route, organisation, triedTargetIds: tried } = request;
    return findUsableTargets(targets.ofService(service), {
      route,
      organisation,
      triedTargetIds: tried,
      versionRule: rule,
      evacuatedZones: options.evacuatedZones(),
      coldRatePerS: services.get(service)?.coldRatePerS ?? 0,
      coldStartSenders: options.coldSenders,
    }, nowMs);
  }

  return {
    configure(next) {
      document = next;
      routes = new RouteTable(next.routes);
      keys = new ApiKeyTable(next.organisations);
      services = new Map(next.services.map((one) => [one.id, one]));
      urgency = urgencyOf(next.routes);
    },
    document: () => document,
    findHostRefusal: options.refusesAll,
    findRoute: (host, path) => routes.findRoute(host, path),
    findOrganisation: (digest) => keys.findOrganisation(digest),
    needsKeys: () => (document?.organisations.length ?? 0) > 0,
    takeQuotaToken: (id, nowMs) => quotas.admit(id, nowMs),
    refundQuotaToken: (id, nowMs) => quotas.refund(id, nowMs),
    pickService: (route, objectHash) => splitter.pickService(route, objectHash),
    findUsableTargets(request, nowMs) {
      const { service, route, versionBucket: unit } = request;
      const rule = releases.getVersionRule(service, route.id, unit);
      const usable = usableUnder(request, rule, nowMs);
      if (usable.length > 0) return usable;
      // A new version without a usable target leaves its part to the others.
      const rest = releases.getVersionRule(service, route.id, 1);
      return usableUnder(request, rest, nowMs);
    },
    chooseTarget(usable, { keyHash, route, bodyBytes }, nowMs) {
      const costs = options.distance();
      const objectiveMs = route.objectiveMs || DEFAULT_OBJECTIVE_MS;
      const savingMs = costs.regionRoundTripMs +
        costs.regionMsPerKib * sizes.sizeClassBytes(route.id) / 1_024;
      return chooseTarget(
        usable,
        {
          keyHash,
          serviceTime: expectedTime(route),
          objectiveMs,
          transferBytes: bodyBytes + sizes.responseBytes(route.id),
          localityWeight: localityWeights.weightOf(
            route.id,
            savingMs,
            objectiveMs,
          ),
          hostLocality: options.place,
        },
        costs,
        nowMs,
      );
    },
    beginAttempt: (request, state, nowMs) =>
      targets.beginAttempt(state, request.keyHash, nowMs),
    endAttempt: (flight, end, nowMs) => targets.endAttempt(flight, end, nowMs),
    recordUnreachable: (id, nowMs) =>
      targets.get(id)?.health.recordOutcome("unreachable", nowMs),
    recordVersionResult({ service, route }, { target }, { isBad: bad }) {
      const { version } = target;
      counts.recordResponse({ service, routeId: route.id, version }, bad);
    },
    estimateServiceTime: expectedTime,
    recordServiceTime: (route, workMs, { isWarm: warm }) =>
      times.recordServiceTime(route, workMs, { isWarm: warm }),
    recordResponseBytes: ({ route, bodyBytes }, bytes) =>
      sizes.recordRequest(route.id, bodyBytes, bytes),
    addToRetryBudget: (service, nowMs) =>
      budgetOf(service).recordRequest(options.retryBounds(), nowMs),
    takeRetryToken: (service, nowMs) =>
      budgetOf(service).tryAcquire(
        options.retryBounds(),
        options.hostCount(),
        nowMs,
      ),
    isBlocked: options.isBlocked,
    checkAdmission(
      { deadlineMs, arrivedMs, route, service },
      candidate,
      nowMs,
    ) {
      const objectiveMs = route.objectiveMs || Infinity;
      return checkAdmission({
        candidate,
        remainingMs: deadlineMs - nowMs,
        remainingObjectiveMs: objectiveMs - (nowMs - arrivedMs),
        objectiveMs,
        isLowPriority:
          route.priority > (urgency.get(service) ?? route.priority),
      });
    },
    random: options.random,
  };

  function expectedTime({ id, objectiveMs }: Route) {
    return times.expectedServiceTime(id, objectiveMs);
  }
}
