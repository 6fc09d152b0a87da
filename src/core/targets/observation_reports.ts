/**
 * Reports between hosts of the load and pace that targets state.
 *
 * A host sends to one target once in some seconds, while the load changes within
 * a fraction of a second. What the targets state to the other hosts tells it in
 * between. Only targets that state a pace are reported, as the load of others
 * changes with the requests alone.
 *
 * @module
 */
import { hash32, mix32 } from "../hash32.ts";
import type { Membership } from "../membership/membership.ts";
import type { TargetObservation } from "./target_observation.ts";
import type { TargetTable } from "./target_table.ts";

/** Age above which an observation tells nothing of the present load. */
const MAX_OBSERVATION_AGE_MS = 1_000;

/**
 * In one of so many windows, chosen for each host and target, a host relies on
 * its own attempts alone. A host that reports falsely that a target is busy or
 * slow then takes most of its requests from it, but not all, and the others go on
 * to hear from the target itself.
 */
const OWN_WINDOW_INTERVAL = 8;
const OWN_WINDOW_MS = 2_000;

/**
 * Observations that a host receives in a round of reports of the hosts of its
 * zone, and in one of the summaries of all zones. The senders share them, so that
 * a host receives 9 kB of them a second at most, however large the fleet is.
 */
const MAX_RECEIVED_FROM_HOSTS = 128;
const MAX_RECEIVED_FROM_ZONES = 192;
/** Targets whose observations are kept for the summary of a zone. */
const MAX_COLLECTED = 1_024;

/** Numbers of the observations of a report, by what became of them. */
export interface ObservationCounts {
  readonly recorded: number;
  /**
   * Too old, older than what was known, of an unknown target, or in a window in
   * which this host relies on its own attempts.
   */
  readonly ignored: number;
}

/** Options of `ObservationReports`. */
export interface ObservationReportsOptions {
  readonly targets: TargetTable;
  /** This host. */
  readonly self: { readonly id: string };
  /** The hosts that share what a host receives. */
  readonly membership: Pick<Membership, "directPeers" | "zoneCount">;
  /** Called with the number of observations of other hosts by result. */
  readonly onRecorded?: (
    result: keyof ObservationCounts,
    count: number,
  ) => void;
}

/** Creates and applies the observations in reports of hosts and zones. */
export class ObservationReports {
  readonly #options: ObservationReportsOptions;
  readonly #hostHash: number;
  readonly #ofZone = new ZoneObservations();
  #reportedMs = -Infinity;

  constructor(options: ObservationReportsOptions) {
    this.#options = options;
    this.#hostHash = hash32(options.self.id);
  }

  /** Returns what targets stated to this host since the last report. */
  createReport(nowMs: number): TargetObservation[] {
    const { targets, membership } = this.#options;
    const hostCount = membership.directPeers().length + 1;
    const observations = createObservationReport(targets, {
      sinceMs: this.#reportedMs,
      maxCount: Math.ceil(MAX_RECEIVED_FROM_HOSTS / hostCount),
    }, nowMs);
    this.#reportedMs = nowMs;
    this.#ofZone.add(observations, nowMs);
    return observations;
  }

  /** Returns what targets stated to the hosts of the zone since the last call. */
  createZoneReport(nowMs: number): TargetObservation[] {
    const { zoneCount } = this.#options.membership;
    const maxCount = Math.ceil(MAX_RECEIVED_FROM_ZONES / zoneCount);
    return this.#ofZone.take(maxCount, nowMs);
  }

  /** Applies the observations of another host. */
  applyReport(
    observations: readonly TargetObservation[],
    { isInOwnZone }: { isInOwnZone: boolean },
    nowMs: number,
  ): void {
    const bounded = observations.slice(0, MAX_RECEIVED_FROM_HOSTS);
    if (isInOwnZone) this.#ofZone.add(bounded, nowMs);
    this.#record(bounded, nowMs);
  }

  /** Applies the observations of another zone. */
  applyZoneReport(
    observations: readonly TargetObservation[],
    nowMs: number,
  ): void {
    this.#record(observations.slice(0, MAX_RECEIVED_FROM_ZONES), nowMs);
  }

  #record(observations: readonly TargetObservation[], nowMs: number): void {
    if (observations.length === 0) return;
    const { targets, onRecorded } = this.#options;
    const { recorded, ignored } = recordObservations(
      targets,
      observations,
      { hostHash: this.#hostHash },
      nowMs,
    );
    onRecorded?.("recorded", recorded);
    onRecorded?.("ignored", ignored);
  }
}

/**
 * Returns what targets stated to this host after a time, up to `maxCount` of the
 * newest.
 *
 * @param sinceMs Time of the last report of this host.
 */
export function createObservationReport(
  targets: TargetTable,
  { sinceMs, maxCount }: { sinceMs: number; maxCount: number },
  nowMs: number,
): TargetObservation[] {
  const oldestMs = Math.max(sinceMs, nowMs - MAX_OBSERVATION_AGE_MS);
  const observations: TargetObservation[] = [];
  for (const { hash, load, latestReport } of targets.all()) {
    if (latestReport?.pacePercent === undefined) continue;
    if (load.lastReportMs <= oldestMs) continue;
    const { running, waiting, pacePercent } = latestReport;
    observations.push({
      targetHash: hash,
      running,
      waiting,
      pacePercent,
      ageMs: nowMs - load.lastReportMs,
    });
  }
  return takeNewest(observations, maxCount);
}

/**
 * Records what targets stated to other hosts.
 *
 * @param options `hostHash`: hash of this host's id.
 */
export function recordObservations(
  targets: TargetTable,
  observations: readonly TargetObservation[],
  { hostHash }: { hostHash: number },
  nowMs: number,
): ObservationCounts {
  let recorded = 0;
  const windowHash = mix32(hostHash, Math.floor(nowMs / OWN_WINDOW_MS));
  for (const observation of observations) {
    const isOwnWindow =
      mix32(windowHash, observation.targetHash) % OWN_WINDOW_INTERVAL === 0;
    if (isOwnWindow) continue;
    const state = targets.getByHash(observation.targetHash);
    const ageMs = Math.max(0, observation.ageMs);
    if (state === undefined || !(ageMs <= MAX_OBSERVATION_AGE_MS)) continue;
    if (state.recordObservation(observation, nowMs - ageMs)) recorded += 1;
  }
  return { recorded, ignored: observations.length - recorded };
}

/** Collects the newest observation of each target for the zone's summary. */
export class ZoneObservations {
  readonly #byTarget = new Map<
    number,
    { observation: TargetObservation; observedMs: number }
  >();

  /** Adds the observations of a host of the zone. */
  add(observations: readonly TargetObservation[], nowMs: number): void {
    for (const observation of observations) {
      const observedMs = nowMs - Math.max(0, observation.ageMs);
      const other = this.#byTarget.get(observation.targetHash);
      if (other !== undefined && other.observedMs >= observedMs) continue;
      if (other === undefined && !this.#makeRoom(nowMs)) continue;
      this.#byTarget.set(observation.targetHash, { observation, observedMs });
    }
  }

  /** Returns up to `maxCount` of the newest, and forgets all. */
  take(maxCount: number, nowMs: number): TargetObservation[] {
    const observations: TargetObservation[] = [];
    for (const { observation, observedMs } of this.#byTarget.values()) {
      const ageMs = nowMs - observedMs;
      if (ageMs > MAX_OBSERVATION_AGE_MS) continue;
      observations.push({ ...observation, ageMs });
    }
    this.#byTarget.clear();
    return takeNewest(observations, maxCount);
  }

  /** Returns whether one more target can be added. */
  #makeRoom(nowMs: number): boolean {
    if (this.#byTarget.size < MAX_COLLECTED) return true;
    for (const [targetHash, { observedMs }] of this.#byTarget) {
      if (nowMs - observedMs <= MAX_OBSERVATION_AGE_MS) continue;
      this.#byTarget.delete(targetHash);
    }
    return this.#byTarget.size < MAX_COLLECTED;
  }
}

function takeNewest(
  observations: TargetObservation[],
  maxCount: number,
): TargetObservation[] {
  if (observations.length <= maxCount) return observations;
  return observations.sort((a, b) => a.ageMs - b.ageMs).slice(0, maxCount);
}
