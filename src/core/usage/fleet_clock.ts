/**
 * Common wall clock of the hosts: the median of their clocks, so that neither a
 * clock that is wrong nor one that jumps moves requests to other windows.
 *
 * @module
 */

/** Time after which the clock of a silent host no longer counts. */
const SAMPLE_LIFETIME_MS = 5_000;

interface ClockSample {
  /** Unix time less this host's monotonic time. */
  readonly offsetMs: number;
  readonly receivedMs: number;
}

/** Estimates the common wall clock from the clocks of the hosts. */
export class FleetClock {
  readonly #samples = new Map<string, ClockSample>();
  #offsetMs = 0;

  /** @param clockMs Unix time of this host's clock. */
  constructor(clockMs: number, nowMs: number) {
    this.update(clockMs, nowMs);
  }

  /** Records the clock of another host, as its report states it. */
  recordPeer(hostId: string, clockMs: number, nowMs: number): void {
    if (!Number.isFinite(clockMs) || clockMs <= 0) return;
    const offsetMs = clockMs - nowMs;
    this.#samples.set(hostId, { offsetMs, receivedMs: nowMs });
  }

  /** Computes the common clock again, with this host's own one. */
  update(clockMs: number, nowMs: number): void {
    for (const [hostId, { receivedMs }] of this.#samples) {
      if (nowMs - receivedMs >= SAMPLE_LIFETIME_MS) {
        this.#samples.delete(hostId);
      }
    }
    const offsets = [
      clockMs - nowMs,
      ...[...this.#samples.values()].map(({ offsetMs }) => offsetMs),
    ].sort((a, b) => a - b);
    this.#offsetMs = offsets[Math.floor((offsets.length - 1) / 2)];
  }

  /** Converts a time on the monotonic clock to the common Unix time. */
  toWallMs(monotonicMs: number): number {
    return monotonicMs + this.#offsetMs;
  }
}
