/**
 * Evaluates the releases periodically and applies the effects: logs, reports to
 * other hosts, and outcomes that are written to the store.
 *
 * @module
 */
import type { Membership } from "../../core/membership/membership.ts";
import type { Releases } from "../../core/release/releases.ts";
import type { ReleaseEffect } from "../../core/release/types.ts";
import { UNSTORED_REVISION } from "../../core/store/restored_objects.ts";
import type { ObjectCodec } from "../store/object_codec.ts";
import { type ObjectStore, StoreError } from "../store/object_store.ts";
import type { Log } from "../telemetry/log.ts";
import type { StoreReplica } from "./store_replica.ts";

/** Options of a `ReleaseRunner`. */
export interface ReleaseRunnerOptions {
  readonly releases: Releases;
  readonly membership: Membership;
  readonly replica: StoreReplica;
  readonly store: ObjectStore;
  readonly codec: ObjectCodec;
  readonly log: Log;
  readonly nowMs: () => number;
  /** Whether a route leads to a service in the current document. */
  readonly leadsTo: (routeId: string, service: string) => boolean;
  /** Whether this host performs a task in the store for all hosts. */
  readonly isTaskOwner: (task: string) => boolean;
  /** Requests a report to the other hosts at once. */
  readonly requestReport: () => void;
}

/** Runs the releases of all services. */
export class ReleaseRunner {
  readonly #options: ReleaseRunnerOptions;

  constructor(options: ReleaseRunnerOptions) {
    this.#options = options;
  }

  /** Evaluates all releases. Called several times per second. */
  tick(): void {
    const { releases, membership, replica, nowMs, isTaskOwner } = this.#options;
    const atMs = nowMs();
    const isCurrent = replica.isCurrent("releases");
    const effects = releases.tick({
      // The restored store may hold another outcome than this host knows.
      storeAgeMs: isCurrent ? replica.availability.ageMs : Infinity,
      hasQuorum:
        2 * (membership.livePeers(atMs).length + 1) > membership.peers().length,
      leadsTo: this.#options.leadsTo,
      isTaskOwner: (service) => isCurrent && isTaskOwner(`release ${service}`),
    }, atMs);
    for (const effect of effects) this.#applyEffect(effect);
  }

  #applyEffect(effect: ReleaseEffect): void {
    const { log, requestReport } = this.#options;
    switch (effect.type) {
      case "stop":
        log.event("version_stopped", {
          service: effect.service,
          version: effect.version,
          reason: effect.reason,
        });
        return requestReport();
      case "share":
        return log.event("version_share", {
          service: effect.service,
          version: effect.version,
          share: effect.share,
          reason: effect.reason,
        });
      case "write":
        this.#writeOutcome(effect);
    }
  }

  async #writeOutcome(
    { order, outcome, reason }: Extract<ReleaseEffect, { type: "write" }>,
  ): Promise<void> {
    const { store, codec, log, replica } = this.#options;
    // The operator has not written the order to the restored store again.
    if (order.revision === UNSTORED_REVISION) return;
    const logFields = {
      service: order.service,
      version: order.version,
      outcome,
      reason,
      revision: order.revision,
    };
    try {
      const status = codec.encodeOutcome(order, outcome);
      await store.putStatus(
        "releases",
        order.service,
        status,
        order.revision,
      );
      replica.recordResponse();
      log.event("release_written", logFields);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      // The next tick decides again, from the state that the watch reports.
      log.warn("release_not_written", { ...logFields, error: error.message });
      if (error.kind === "unanswered") replica.recordFailure(error.message);
    }
  }
}
