/**
 * Releases of all services: which versions requests may use, and how a new
 * version's share grows or ends.
 *
 * Every host holds the counts of all hosts and stops a bad version by itself.
 * Raising a share needs more: recent contact with the store, where an outcome
 * may have been written, and reports of most hosts.
 *
 * @module
 */
import {
  findFault,
  findRoutesLackingResponses,
  findSuspectedFault,
  type VersionComparison,
} from "./version_comparison.ts";
import {
  computeRouteShares,
  evaluationMs,
  evaluationShare,
  shareAfterEvaluation,
} from "./share_schedule.ts";
import type {
  ReleaseBounds,
  ReleaseEffect,
  ReleaseOrder,
  ReleaseProgress,
  StoppedVersion,
  VersionRule,
} from "./types.ts";
import type { ResponseCounts, VersionCounts } from "./version_counts.ts";

/** Age of the last contact with the store above which no share is raised. */
const MAX_STORE_AGE_MS = 2_500;
/** Time between two attempts to write the same outcome. */
const WRITE_INTERVAL_MS = 600;
/** Part of the time after which a version in doubt is stopped. */
const DOUBT_TIME_PART = 0.95;
/** Length of the window of recent counts, for rates. */
const RECENT_S = 2;

interface ReleaseState {
  order: ReleaseOrder;
  firstSeenMs: number;
  /** When the version was found good; `undefined` before. */
  goodMs: number | undefined;
  share: number;
  routeShares: ReadonlyMap<string, number>;
  writtenMs: number;
}

/** What is known at a tick. */
export interface ReleaseInputs {
  /** Age of the last answer of the store. */
  readonly storeAgeMs: number;
  /** Whether most hosts have reported recently. */
  readonly hasQuorum: boolean;
  /** Whether this host writes the outcome of a service's release. */
  readonly isTaskOwner: (service: string) => boolean;
}

/** All releases as this host sees them. */
export class Releases {
  #counts: VersionCounts;
  #bounds: () => ReleaseBounds;
  #states = new Map<string, ReleaseState>();
  #stopped = new Map<string, Map<string, string>>();
  /** Versions that are in use without a release, by service. */
  #base = new Map<string, ReadonlySet<string>>();

  constructor(counts: VersionCounts, bounds: () => ReleaseBounds) {
    this.#counts = counts;
    this.#bounds = bounds;
  }

  /** Takes over the ordered releases. */
  setOrders(orders: readonly ReleaseOrder[], nowMs: number): void {
    const gone = new Set(this.#states.keys());
    for (const order of orders) {
      gone.delete(order.service);
      const known = this.#states.get(order.service);
      if (known === undefined || known.order.version !== order.version) {
        this.#states.set(order.service, {
          order,
          firstSeenMs: nowMs,
          goodMs: undefined,
          share: evaluationShare(this.#bounds().exposureShare),
          routeShares: new Map(),
          writtenMs: -Infinity,
        });
      } else known.order = order;
      if (order.outcome === "rolled_back") {
        this.stop({ ...order, reason: "the store holds it as rolled back" });
      }
      if (order.outcome === "complete") {
        this.#base.set(order.service, new Set([order.version]));
      }
    }
    for (const service of gone) this.#states.delete(service);
  }

  /**
   * Takes over the versions of a service's targets. Versions that appear
   * without an order get no traffic, except for the first ones.
   *
   * @param versions Versions with the earliest start of a target of each.
   */
  recordVersions(service: string, versions: ReadonlyMap<string, number>): void {
    const ordered = this.#states.get(service)?.order.version;
    const known = this.#base.get(service);
    if (known !== undefined && known.size > 0) return;
    let oldest: string | undefined;
    for (const [version, startedMs] of versions) {
      if (version === ordered) continue;
      if (startedMs < (versions.get(oldest ?? "") ?? Infinity)) {
        oldest = version;
      }
    }
    if (oldest !== undefined) this.#base.set(service, new Set([oldest]));
  }

  /** Stops a version for good. Returns whether that was news. */
  stop({ service, version, reason }: StoppedVersion): boolean {
    let versions = this.#stopped.get(service);
    if (versions === undefined) {
      versions = new Map();
      this.#stopped.set(service, versions);
    }
    if (versions.has(version)) return false;
    versions.set(version, reason);
    return true;
  }

  /** All stopped versions, for the other hosts. */
  stoppedVersions(): StoppedVersion[] {
    return [...this.#stopped].flatMap(([service, versions]) =>
      [...versions].map(([version, reason]) => ({ service, version, reason }))
    );
  }

  /** How far the open releases are, for the other hosts. */
  progress(nowMs: number): ReleaseProgress[] {
    return [...this.#states.values()]
      .filter((state) => !this.#isOver(state))
      .map(({ order: { service, version }, firstSeenMs, goodMs }) => ({
        service,
        version,
        seenForMs: nowMs - firstSeenMs,
        goodForMs: goodMs === undefined ? undefined : nowMs - goodMs,
      }));
  }

  /**
   * Takes over how far a release is on another host, as this one may have
   * started after the order.
   */
  recordProgress(progress: readonly ReleaseProgress[], nowMs: number): void {
    for (const { service, version, seenForMs, goodForMs } of progress) {
      const state = this.#states.get(service);
      if (state === undefined || state.order.version !== version) continue;
      state.firstSeenMs = Math.min(state.firstSeenMs, nowMs - seenForMs);
      if (goodForMs === undefined) continue;
      state.goodMs = Math.min(state.goodMs ?? Infinity, nowMs - goodForMs);
    }
  }

  /** Services with a release that is not over. */
  servicesInRelease(): ReadonlySet<string> {
    return new Set(
      [...this.#states.values()]
        .filter((state) => !this.#isOver(state))
        .map(({ order }) => order.service),
    );
  }

  /**
   * Returns which versions a request may use.
   *
   * @param unit Number from 0 up to 1 of the request's object, so that the
   * same objects use the new version throughout.
   */
  getVersionRule(service: string, routeId: string, unit: number): VersionRule {
    const base = this.#base.get(service);
    const state = this.#states.get(service);
    if (state !== undefined && !this.#isOver(state)) {
      const { version } = state.order;
      const share = state.routeShares.get(routeId) ?? state.share;
      if (unit < share) return { type: "only", version };
    }
    if (base !== undefined && base.size === 1) {
      const [version] = base;
      return { type: "only", version };
    }
    return { type: "not", versions: this.#excluded(service) };
  }

  /** Evaluates all releases. Called a few times a second. */
  tick(inputs: ReleaseInputs, nowMs: number): ReleaseEffect[] {
    this.#counts.update(nowMs);
    const effects: ReleaseEffect[] = [];
    for (const state of this.#states.values()) {
      effects.push(...this.#step(state, inputs, nowMs));
    }
    return effects;
  }

  #step(
    state: ReleaseState,
    inputs: ReleaseInputs,
    nowMs: number,
  ): ReleaseEffect[] {
    const { order } = state;
    const { service, version } = order;
    if (order.outcome === "complete" || order.outcome === "rolled_back") {
      return [];
    }
    const reason = this.#stopped.get(service)?.get(version);
    if (reason !== undefined) {
      return this.#write(
        state,
        { outcome: "rolled_back", reason, inputs },
        nowMs,
      );
    }
    const fault = this.#findFault(order);
    if (fault !== undefined) {
      this.stop({ service, version, reason: fault });
      return [{ type: "stop", service, version, reason: fault }];
    }
    return this.#advance(state, inputs, nowMs);
  }

  #advance(
    state: ReleaseState,
    inputs: ReleaseInputs,
    nowMs: number,
  ): ReleaseEffect[] {
    const { order } = state;
    const { service, version, durationMs } = order;
    const mayRaise = inputs.storeAgeMs < MAX_STORE_AGE_MS &&
      inputs.hasQuorum;
    const seenForMs = nowMs - state.firstSeenMs;
    if (state.goodMs === undefined) {
      // The rates of routes are known only with the reports of most hosts.
      if (inputs.hasQuorum) this.#setRouteShares(state);
      else state.routeShares = new Map();
      const isDue = mayRaise && seenForMs >= evaluationMs(durationMs);
      const doubt = isDue ? this.#findDoubt(order) : "it is evaluated";
      if (doubt !== undefined) {
        return this.#wait(state, { doubt, inputs, seenForMs }, nowMs);
      }
      state.goodMs = nowMs;
    }
    // A share that may not be raised any further is kept.
    if (!mayRaise) return [];
    const share = shareAfterEvaluation(nowMs - state.goodMs, durationMs);
    if (share === undefined) {
      state.share = 1;
      const reason = "no fault was found up to the whole traffic";
      return this.#write(state, { outcome: "complete", reason, inputs }, nowMs);
    }
    if (share === state.share) return [];
    state.share = share;
    state.routeShares = new Map();
    const reason = "no fault was found at the share before";
    return [{ type: "share", service, version, share, reason }];
  }

  /** Keeps a version at its share; one in doubt at its deadline is bad. */
  #wait(
    state: ReleaseState,
    { doubt, inputs, seenForMs }: {
      doubt: string;
      inputs: ReleaseInputs;
      seenForMs: number;
    },
    nowMs: number,
  ): ReleaseEffect[] {
    const { order } = state;
    if (order.outcome === "ordered") {
      const reason = "the order was seen";
      return this.#write(state, { outcome: "running", reason, inputs }, nowMs);
    }
    const isSuspect = findSuspectedFault(this.#comparison(order)) !== undefined;
    if (seenForMs < order.durationMs * DOUBT_TIME_PART || !isSuspect) return [];
    const { service, version } = order;
    const reason = `in doubt near its deadline: ${doubt}`;
    this.stop({ service, version, reason });
    return [{ type: "stop", service, version, reason }];
  }

  #setRouteShares(state: ReleaseState): void {
    const { newer: recent, older: others } = this.#comparison(state.order, {
      recent: true,
    });
    const perS = new Map<string, number>();
    for (const routeId of new Set([...recent.keys(), ...others.keys()])) {
      const answers = answersOf(recent, routeId) + answersOf(others, routeId);
      perS.set(routeId, answers / RECENT_S);
    }
    const { exposureShare } = this.#bounds();
    state.routeShares = computeRouteShares(state.share, perS, exposureShare);
  }

  #findFault(order: ReleaseOrder): string | undefined {
    return findFault(this.#comparison(order, { recent: true })) ??
      findFault(this.#comparison(order));
  }

  /** Why the version can't be taken as good yet; `undefined` if it can. */
  #findDoubt(order: ReleaseOrder): string | undefined {
    const comparison = this.#comparison(order);
    if (comparison.newer.size === 0) return "it has no answers";
    const [lacking] = findRoutesLackingResponses(comparison);
    if (lacking !== undefined) return `route ${lacking} has few answers`;
    return findSuspectedFault(comparison);
  }

  #comparison(
    { service, version }: ReleaseOrder,
    { recent = false }: { recent?: boolean } = {},
  ): VersionComparison {
    return {
      newer: this.#counts.countsByRoute(service, version, { recent }),
      older: this.#counts.countsByRoute(service, version, {
        recent,
        except: true,
      }),
    };
  }

  #write(
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
    if (nowMs - state.writtenMs < WRITE_INTERVAL_MS) return [];
    state.writtenMs = nowMs;
    return [{ type: "write", order, outcome, reason }];
  }

  #isOver({ order }: ReleaseState): boolean {
    return order.outcome === "complete" || order.outcome === "rolled_back" ||
      (this.#stopped.get(order.service)?.has(order.version) ?? false);
  }

  #excluded(service: string): ReadonlySet<string> {
    const versions = new Set(this.#stopped.get(service)?.keys() ?? []);
    const open = this.#states.get(service);
    if (open !== undefined) versions.add(open.order.version);
    return versions;
  }
}

function answersOf(
  tallies: ReadonlyMap<string, ResponseCounts>,
  routeId: string,
) {
  return tallies.get(routeId)?.answers ?? 0;
}
