/**
 * Detects that this host has lost its own path to the targets, as opposed to
 * targets that have failed. Only new connections count as evidence: responses
 * on open connections may go on while no new connection can be established.
 *
 * @module
 */
import type { Target } from "./types.ts";

/**
 * Distinct targets, in several zones, whose connections must fail in a row
 * before the path counts as lost; fewer if fewer are registered.
 */
const MIN_FAILED_TARGETS = 4;
const MIN_FAILED_ZONES = 2;
/** Failures older than this say nothing about the path. */
const FAILURE_TTL_MS = 5_000;
/** Time between two rounds of probes while connections fail. */
const PROBE_INTERVAL_MS = 250;
/** Probes per round. */
const PROBES_PER_ROUND = 3;

/** Tracks whether this host reaches targets. */
export class TargetPath {
  /** Times of the failures since the last established connection, by address. */
  readonly #failuresMs = new Map<string, number>();
  readonly #targets: () => Iterable<{ readonly target: Target }>;
  #needsProbes = false;
  #lostSinceMs: number | undefined;
  #lastProbesMs = -Infinity;
  #probeOffset = 0;

  /** @param targets Returns the registered targets. */
  constructor(targets: () => Iterable<{ readonly target: Target }>) {
    this.#targets = targets;
  }

  /** Whether no target is reached. */
  get isLost(): boolean {
    return this.#lostSinceMs !== undefined;
  }

  /**
   * Whether connections to several targets failed and none has been established
   * since.
   */
  get isInDoubt(): boolean {
    return this.isLost || this.#failuresMs.size > 1;
  }

  /** Time for which the path has been lost; 0 if it is not. */
  lostForMs(nowMs: number): number {
    return this.#lostSinceMs === undefined ? 0 : nowMs - this.#lostSinceMs;
  }

  /** Records that a connection to a target was established. */
  recordConnected(): void {
    this.#failuresMs.clear();
    this.#needsProbes = false;
    this.#lostSinceMs = undefined;
  }

  /**
   * Records that a target does not respond on an open connection, upon which
   * other targets are probed.
   */
  recordSilence(): void {
    this.#needsProbes = true;
  }

  /** Records that a connection to a target could not be established. */
  recordFailure(address: string, nowMs: number): void {
    this.#needsProbes = true;
    this.#failuresMs.delete(address);
    this.#failuresMs.set(address, nowMs);
    if (this.isLost) return;
    for (const [failedAddress, failedMs] of this.#failuresMs) {
      if (nowMs - failedMs < FAILURE_TTL_MS) break;
      this.#failuresMs.delete(failedAddress);
    }
    const registered = this.#count(() => true);
    const failed = this.#count((target) =>
      this.#failuresMs.has(target.address)
    );
    const hasFailed = failed.targets > 0 &&
      failed.targets >= Math.min(MIN_FAILED_TARGETS, registered.targets) &&
      failed.zones >= Math.min(MIN_FAILED_ZONES, registered.zones);
    if (hasFailed) this.#lostSinceMs = nowMs;
  }

  /**
   * Returns the targets to which connections should be opened now to find out
   * whether the path is lost or regained. Targets that have not failed, in zones
   * without a failure, come first, as their answer says most.
   */
  takeProbes(nowMs: number): Target[] {
    if (!this.#needsProbes) return [];
    if (nowMs - this.#lastProbesMs < PROBE_INTERVAL_MS) return [];
    this.#lastProbesMs = nowMs;
    const targets = [...this.#targets()].map(({ target }) => target);
    if (targets.length === 0) return [];
    // Successive rounds probe other targets.
    this.#probeOffset = (this.#probeOffset + PROBES_PER_ROUND) % targets.length;
    const rotated = [
      ...targets.slice(this.#probeOffset),
      ...targets.slice(0, this.#probeOffset),
    ];
    const failedZones = new Set(
      targets.filter(({ address }) => this.#failuresMs.has(address))
        .map(({ availabilityZone }) => availabilityZone),
    );
    const evidenceRank = ({ address, availabilityZone }: Target) =>
      (this.#failuresMs.has(address) ? 2 : 0) +
      (failedZones.has(availabilityZone) ? 1 : 0);
    return rotated.sort((a, b) => evidenceRank(a) - evidenceRank(b))
      .slice(0, PROBES_PER_ROUND);
  }

  #count(isIncluded: (target: Target) => boolean) {
    const zones = new Set<string>();
    let targets = 0;
    for (const { target } of this.#targets()) {
      if (!isIncluded(target)) continue;
      targets += 1;
      zones.add(target.availabilityZone);
    }
    return { targets, zones: zones.size };
  }
}
