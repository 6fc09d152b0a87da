/**
 * Targets that have left, in case a restore of the store brings their
 * registrations back.
 *
 * A store that was restored from a copy lists targets that left after the copy
 * was made. Such a registration is ignored until the target states something
 * newer, or until it has outlasted the time in which the registration of a
 * silent target ends.
 *
 * @module
 */

import {
  compareContentVersions,
  type ContentVersion,
} from "../store/content_version.ts";

/** Departures that are remembered; far more than happen between two copies. */
const MAX_DEPARTURES = 1_024;
/**
 * Time for which a registration is ignored. The registration of a silent target
 * ends after three intervals of 1.5 s; the rest covers its propagation.
 */
const IGNORE_MS = 6_000;

interface Departure {
  readonly version: ContentVersion;
  /** Epoch of the store in which the target left. */
  readonly epoch: number;
  /** Time until which registrations are ignored; `undefined` before one. */
  ignoredUntilMs: number | undefined;
}

/** Decides whether the registration of a target that left is believed. */
export class DepartedTargets {
  readonly #departures = new Map<string, Departure>();

  /** Records that a target left, with the version of its last statement. */
  recordDeparture(id: string, version: ContentVersion, epoch: number): void {
    this.#departures.delete(id);
    this.#departures.set(id, { version, epoch, ignoredUntilMs: undefined });
    if (this.#departures.size <= MAX_DEPARTURES) return;
    const [oldestId] = this.#departures.keys();
    this.#departures.delete(oldestId);
  }

  /**
   * Whether a registration is believed. One that is ignored is returned by
   * `drainBelieved` later, unless its end is recorded before.
   */
  isBelieved(
    id: string,
    version: ContentVersion,
    { epoch, nowMs }: { epoch: number; nowMs: number },
  ): boolean {
    const departure = this.#departures.get(id);
    if (departure === undefined) return true;
    const isNewer = compareContentVersions(version, departure.version) > 0;
    if (epoch <= departure.epoch || isNewer) {
      this.#departures.delete(id);
      return true;
    }
    departure.ignoredUntilMs ??= nowMs + IGNORE_MS;
    return false;
  }

  /** Records that an ignored registration has ended. */
  recordEnd(id: string): void {
    const departure = this.#departures.get(id);
    if (departure !== undefined) departure.ignoredUntilMs = undefined;
  }

  /** Removes and returns the targets whose registration is believed now. */
  drainBelieved(nowMs: number): string[] {
    const ids = [...this.#departures]
      .filter(([, { ignoredUntilMs = Infinity }]) => nowMs >= ignoredUntilMs)
      .map(([id]) => id);
    for (const id of ids) this.#departures.delete(id);
    return ids;
  }
}
