/**
 * Releases of all services: which versions a request may use, how the share
 * of a new version grows, and how a release ends.
 *
 * Every host has the response counts of all hosts and stops a bad version by
 * itself. To raise a share, it also needs recent contact with the store, where
 * the release may have ended already, and recent reports from most hosts.
 *
 * The shell passes in the orders, the versions of the targets and the other
 * hosts' reports, calls `tick`, and executes the effects that it returns.
 *
 * @module
 */
import {
  computeEvaluationMs,
  computeEvaluationShare,
  computeRouteShares,
  computeShareAfterEvaluation,
} from "./share_schedule.ts";
import { StoppedVersions } from "./stopped_versions.ts";
import type {
  ReleaseBounds,
  ReleaseEffect,
  ReleaseOrder,
  ReleaseProgress,
  StoppedVersion,
  VersionRule,
} from "./types.ts";
import {
  findFault,
  findRoutesLackingResponses,
  findSuspectedFault,
  type VersionComparison,
} from "./version_comparison.ts";
import type { ResponseCounts, VersionCounts } from "./version_counts.ts";

/** Time since the last contact with the store from which no share is raised. */
const MAX_STORE_AGE_MS = 2_500;
/** Shortest time between two attempts to write an outcome. */
const WRITE_INTERVAL_MS = 600;
/**
 * Fraction of the release's duration after which a version that has not been
 * found good is stopped if it is still suspected of a fault.
 */
const SUSPICION_DEADLINE_FRACTION = 0.95;
/** Length of the recent window of `VersionCounts`. */
const RECENT_WINDOW_S = 2;

/** State of an ordered release. */
interface ReleaseState {
  order: ReleaseOrder;
  /** Time at which the first of the hosts saw the order. */
  firstSeenMs: number;
  /** Time at which the version was found good; `undefined` before. */
  foundGoodMs: number | undefined;
  /** Fraction of the service's requests that may use the version. */
  share: number;
  /** Shares of single routes during the evaluation, in place of `share`. */
  routeShares: ReadonlyMap<string, number>;
  /** Time of the last attempt to write the outcome. */
  lastWriteMs: number;
  /**
   * Whether the store has held the outcome `complete` for this order. A store
   * that is restored from a copy may list an earlier outcome again.
   */
  wasCompleted: boolean;
}

/** Inputs of a tick. */
export interface ReleaseInputs {
  /** Time since the last contact with the store. */
  readonly storeAgeMs: number;
  /** Whether this host has recent reports from most hosts. */
  readonly hasQuorum: boolean;
  /** Whether a route leads to a service in the current document. */
  readonly leadsTo: (routeId: string, service: string) => boolean;
  /** Whether this host is to write the outcome of the service's release. */
  readonly isTaskOwner: (service: string) => boolean;
}

/** Releases of all services, as one host sees them. */
export class Releases {
  #counts: VersionCounts;
  #bounds: () => ReleaseBounds;
  /** Ordered releases by service. */
  #states = new Map<string, ReleaseState>();
  readonly #stoppedVersions = new StoppedVersions();
  /** Versions that get the traffic outside a release, by service. */
  #baseVersions = new Map<string, ReadonlySet<string>>();

  constructor(counts: VersionCounts, bounds: () => ReleaseBounds) {
    this.#counts = counts;
    this.#bounds = bounds;
  }

  /**
   * Replaces the ordered releases. A release whose service and version are in
   * the previous orders too keeps its progress.
   */
  setOrders(orders: readonly ReleaseOrder[], nowMs: number): void {
    const removed = new Set(this.#states.keys());
    for (const order of orders) {
      removed.delete(order.service);
      const previous = this.#states.get(order.service);
      if (previous === undefined || previous.order.version !== order.version) {
        this.#states.set(order.service, {
          order,
          firstSeenMs: nowMs,
          foundGoodMs: undefined,
          share: computeEvaluationShare(this.#bounds().exposureShare),
          routeShares: new Map(),
          lastWriteMs: -Infinity,
          wasCompleted: false,
        });
      } else previous.order = order;
      if (order.outcome === "rolled_back") {
        this.stopVersion({
          ...order,
          reason: "the store lists the release as rolled back",
        });
      }
      if (order.outcome === "complete") {
        this.#baseVersions.set(order.service, new Set([order.version]));
        const state = this.#states.get(order.service);
        if (state !== undefined) state.wasCompleted = true;
      }
    }
    for (const service of removed) this.#states.delete(service);
  }

  /**
   * Records the versions of a service's targets. If the service has no base
   * version yet, the one with the earliest start becomes it. Versions that
   * appear later get no traffic without an order.
   *
   * @param startedMsByVersion Time at which the first target of each version
   * started.
   */
  recordVersions(
    service: string,
    startedMsByVersion: ReadonlyMap<string, number>,
  ): void {
    const orderedVersion = this.#states.get(service)?.order.version;
    const base = this.#baseVersions.get(service);
    if (base !== undefined && base.size > 0) return;
    let oldest: string | undefined;
    for (const [version, startedMs] of startedMsByVersion) {
      if (version === orderedVersion) continue;
      if (startedMs < (startedMsByVersion.get(oldest ?? "") ?? Infinity)) {
        oldest = version;
      }
    }
    if (oldest !== undefined) {
      this.#baseVersions.set(service, new Set([oldest]));
    }
  }

  /** Stops a version permanently. Returns false if it was stopped already. */
  stopVersion(stopped: StoppedVersion): boolean {
    return this.#stoppedVersions.stop(stopped);
  }

  /** Returns all stopped versions. */
  getStoppedVersions(): StoppedVersion[] {
    return this.#stoppedVersions.list();
  }

  /** Returns the progress of unfinished releases, to be sent to other hosts. */
  getProgress(nowMs: number): ReleaseProgress[] {
    return [...this.#states.values()]
      .filter((state) => !this.#hasEnded(state))
      .map(({ order: { service, version }, firstSeenMs, foundGoodMs }) => ({
        service,
        version,
        seenForMs: nowMs - firstSeenMs,
        goodForMs: foundGoodMs === undefined ? undefined : nowMs - foundGoodMs,
      }));
  }

  /**
   * Records the progress of releases on another host. The earlier time of both
   * hosts is kept, as this host may have started after the order was given.
   */
  recordProgress(progress: readonly ReleaseProgress[], nowMs: number): void {
    for (const { service, version, seenForMs, goodForMs } of progress) {
      const state = this.#states.get(service);
      if (state === undefined || state.order.version !== version) continue;
      state.firstSeenMs = Math.min(state.firstSeenMs, nowMs - seenForMs);
      if (goodForMs === undefined) continue;
      state.foundGoodMs = Math.min(
        state.foundGoodMs ?? Infinity,
        nowMs - goodForMs,
      );
    }
  }

  /** Returns the services with an unfinished release. */
  getServicesInRelease(): ReadonlySet<string> {
    return new Set(
      [...this.#states.values()]
        .filter((state) => !this.#hasEnded(state))
        .map(({ order }) => order.service),
    );
  }

  /**
   * Returns the rule for the versions that a request may use. Requests whose
   * bucket is below the share of the new version use it.
   *
   * @param versionBucket Number from 0 to 1, derived from the hash of the
   * request's affinity key, so that an object that uses the new version keeps
   * using it as the share grows. 1 never selects the new version.
   */
  getVersionRule(
    service: string,
    routeId: string,
    versionBucket: number,
  ): VersionRule {
    const base = this.#baseVersions.get(service);
    const state = this.#states.get(service);
    if (state !== undefined && !this.#hasEnded(state)) {
      const { version } = state.order;
      const share = state.routeShares.get(routeId) ?? state.share;
      if (versionBucket < share) return { type: "only", version };
    }
    if (base !== undefined && base.size === 1) {
      const [version] = base;
      return { type: "only", version };
    }
    return { type: "not", versions: this.#getExcludedVersions(service) };
  }

  /** Evaluates all releases. Called a few times a second. */
  tick(inputs: ReleaseInputs, nowMs: number): ReleaseEffect[] {
    this.#counts.retainServices(this.getServicesInRelease());
    this.#counts.update(nowMs);
    const effects: ReleaseEffect[] = [];
    for (const state of this.#states.values()) {
      effects.push(...this.#evaluate(state, inputs, nowMs));
    }
    return effects;
  }

  /**
   * Writes the outcome if the version is stopped, stops it if it has a fault,
   * or else advances the release.
   */
  #evaluate(
    state: ReleaseState,
    inputs: ReleaseInputs,
    nowMs: number,
  ): ReleaseEffect[] {
    const { order } = state;
    const { service, version } = order;
    if (order.outcome === "complete" || order.outcome === "rolled_back") {
      return [];
    }
    if (state.wasCompleted) {
      return this.#writeOutcome(state, {
        outcome: "complete",
        reason: "the store has lost the outcome",
        inputs,
      }, nowMs);
    }
    const reason = this.#stoppedVersions.getReason(service, version);
    if (reason !== undefined) {
      return this.#writeOutcome(
        state,
        { outcome: "rolled_back", reason, inputs },
        nowMs,
      );
    }
    const fault = this.#findFault(order);
    if (fault !== undefined) {
      this.stopVersion({ service, version, reason: fault });
      return [{ type: "stop", service, version, reason: fault }];
    }
    return this.#advance(state, inputs, nowMs);
  }

  /**
   * Finds the version good when its evaluation is over, then raises the share
   * or completes the release when that is due.
   */
  #advance(
    state: ReleaseState,
    inputs: ReleaseInputs,
    nowMs: number,
  ): ReleaseEffect[] {
    const { order } = state;
    const { service, version, durationMs } = order;
    const mayRaiseShare = inputs.storeAgeMs < MAX_STORE_AGE_MS &&
      inputs.hasQuorum;
    const seenForMs = nowMs - state.firstSeenMs;
    if (state.foundGoodMs === undefined) {
      // The request rates of the routes are known only with a quorum.
      if (inputs.hasQuorum) this.#setRouteShares(state);
      else state.routeShares = new Map();
      const holdReason = seenForMs < computeEvaluationMs(durationMs)
        ? "the evaluation has not ended"
        : this.#findHoldReason(order, inputs);
      if (holdReason !== undefined) {
        return this.#holdShare(state, { holdReason, inputs, seenForMs }, nowMs);
      }
      state.foundGoodMs = nowMs;
    }
    if (!mayRaiseShare) return [];
    const share = computeShareAfterEvaluation(
      nowMs - state.foundGoodMs,
      durationMs,
    );
    if (share === undefined) {
      state.share = 1;
      const reason = "no fault was found with all traffic";
      return this.#writeOutcome(
        state,
        { outcome: "complete", reason, inputs },
        nowMs,
      );
    }
    if (share === state.share) return [];
    state.share = share;
    state.routeShares = new Map();
    const reason = "no fault was found at the previous share";
    return [{ type: "share", service, version, share, reason }];
  }

  /**
   * Keeps the share of a version that has not been found good. The release
   * changes from ordered to running. The version is stopped if it is still
   * suspected of a fault near the end of the release's duration.
   */
  #holdShare(
    state: ReleaseState,
    { holdReason, inputs, seenForMs }: {
      holdReason: string;
      inputs: ReleaseInputs;
      seenForMs: number;
    },
    nowMs: number,
  ): ReleaseEffect[] {
    const { order } = state;
    if (order.outcome === "ordered") {
      const reason = "the order was received; evaluation starts";
      return this.#writeOutcome(
        state,
        { outcome: "running", reason, inputs },
        nowMs,
      );
    }
    if (seenForMs < order.durationMs * SUSPICION_DEADLINE_FRACTION) return [];
    const suspicion = findSuspectedFault(this.#compare(order));
    if (suspicion === undefined) return [];
    const { service, version } = order;
    const reason = `suspected of a fault near the end of the release: ` +
      `${suspicion}; not found good before because ${holdReason}`;
    this.stopVersion({ service, version, reason });
    return [{ type: "stop", service, version, reason }];
  }

  #setRouteShares(state: ReleaseState): void {
    const { newVersionCounts, otherVersionCounts } = this.#compare(
      state.order,
      { onlyRecent: true },
    );
    const requestsPerS = new Map<string, number>();
    for (
      const routeId of new Set([
        ...newVersionCounts.keys(),
        ...otherVersionCounts.keys(),
      ])
    ) {
      const responses = countResponses(newVersionCounts, routeId) +
        countResponses(otherVersionCounts, routeId);
      requestsPerS.set(routeId, responses / RECENT_WINDOW_S);
    }
    const { exposureShare } = this.#bounds();
    state.routeShares = computeRouteShares(
      state.share,
      requestsPerS,
      exposureShare,
    );
  }

  #findFault(order: ReleaseOrder): string | undefined {
    return findFault(this.#compare(order, { onlyRecent: true })) ??
      findFault(this.#compare(order));
  }

  /** Returns why the version cannot be found good yet, or `undefined`. */
  #findHoldReason(
    order: ReleaseOrder,
    { storeAgeMs, hasQuorum, leadsTo }: ReleaseInputs,
  ): string | undefined {
    if (!hasQuorum) return "fewer than half of the hosts report";
    if (storeAgeMs >= MAX_STORE_AGE_MS) return "the store does not respond";
    const comparison = this.#compare(order);
    if (comparison.newVersionCounts.size === 0) {
      return "the version has no responses";
    }
    // A route that a configuration has moved to another service had responses
    // before, but the version gets none on it.
    const [routeId] = findRoutesLackingResponses(comparison)
      .filter((route) => leadsTo(route, order.service));
    if (routeId !== undefined) return `route ${routeId} has too few responses`;
    return findSuspectedFault(comparison);
  }

  #compare(
    { service, version }: ReleaseOrder,
    { onlyRecent = false }: { onlyRecent?: boolean } = {},
  ): VersionComparison {
    return {
      newVersionCounts: this.#counts.getCountsByRoute(service, version, {
        onlyRecent,
      }),
      otherVersionCounts: this.#counts.getCountsByRoute(service, version, {
        onlyRecent,
        excludesVersion: true,
      }),
    };
  }

  /**
   * Returns the effect that writes an outcome if this host is the task owner
   * and its last attempt is at least WRITE_INTERVAL_MS ago.
   */
  #writeOutcome(
    state: ReleaseState,
    { outcome, reason, inputs }: {
      outcome: "running" | "complete" | "rolled_back";
      reason: string;
      inputs: ReleaseInputs;
    },
    nowMs: number,
  ): ReleaseEffect[] {
    const { order } = state;
    if (!inputs.isTaskOwner(order.service)) return [];
    if (nowMs - state.lastWriteMs < WRITE_INTERVAL_MS) return [];
    state.lastWriteMs = nowMs;
    return [{ type: "write", order, outcome, reason }];
  }

  #hasEnded({ order, wasCompleted }: ReleaseState): boolean {
    return wasCompleted || order.outcome === "complete" ||
      order.outcome === "rolled_back" ||
      this.#stoppedVersions.getReason(order.service, order.version) !==
        undefined;
  }

  /** Returns the stopped versions and the one under release. */
  #getExcludedVersions(service: string): ReadonlySet<string> {
    const versions = new Set(this.#stoppedVersions.ofService(service));
    const state = this.#states.get(service);
    if (state !== undefined) versions.add(state.order.version);
    return versions;
  }
}

function countResponses(
  countsByRoute: ReadonlyMap<string, ResponseCounts>,
  routeId: string,
) {
  return countsByRoute.get(routeId)?.answers ?? 0;
}
