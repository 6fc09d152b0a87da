/**
 * Carries out what releases decide.
 *
 * @module
 */
import type { Membership } from "../../core/membership/membership.ts";
import type { Releases } from "../../core/release/releases.ts";
import type { ReleaseEffect } from "../../core/release/types.ts";
import type { ObjectCodec } from "../store/object_codec.ts";
import { type ObjectStore, StoreError } from "../store/object_store.ts";
import type { Log } from "../telemetry/log.ts";
import type { ControlState } from "./control_state.ts";

/** What a runner is built from. */
export interface ReleaseRunnerOptions {
  readonly releases: Releases;
  readonly membership: Membership;
  readonly control: ControlState;
  readonly store: ObjectStore;
  readonly codec: ObjectCodec;
  readonly log: Log;
  readonly nowMs: () => number;
  /** Whether this host does a task in the store for all. */
  readonly holdsStoreDuty: (duty: string) => boolean;
  /** Tells other hosts at once. */
  readonly push: () => void;
}

/** Runs releases. */
export class ReleaseRunner {
  readonly #options: ReleaseRunnerOptions;

  constructor(options: ReleaseRunnerOptions) {
    this.#options = options;
  }

  /** Evaluates all releases. Called a few times a second. */
  tick(): void {
    const { releases, membership, control, nowMs, holdsStoreDuty } =
      this.#options;
    const at = nowMs();
    const effects = releases.tick({
      storeAgeMs: control.outlook.ageMs,
      hasQuorum:
        2 * (membership.livePeers(at).length + 1) > membership.peers().length,
      isTaskOwner: (service) => holdsStoreDuty(`release ${service}`),
    }, at);
    for (const effect of effects) this.#carryOut(effect);
  }

  #carryOut(effect: ReleaseEffect): void {
    const { log, push } = this.#options;
    switch (effect.type) {
      case "stop":
        log.event("version_stopped", {
          service: effect.service,
          version: effect.version,
          reason: effect.reason,
        });
        return push();
      case "share":
        return log.event("version_share", {
          service: effect.service,
          version: effect.version,
          share: effect.share,
          reason: effect.reason,
        });
      case "write":
        this.#write(effect);
    }
  }

  async #write(
    { order, outcome, reason }: Extract<ReleaseEffect, { type: "write" }>,
  ): Promise<void> {
    const { store, codec, log, control } = this.#options;
    const fields = {
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
      control.noteAnswer();
      log.event("release_written", fields);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      // The watch shows what is stored, so the next tick decides on that.
      log.warn("release_not_written", { ...fields, error: error.message });
      if (error.kind === "unanswered") control.noteFailure(error.message);
    }
  }
}
