/**
 * Registration of this host in the store, and removal of the registrations of
 * hosts that no longer exist.
 *
 * @module
 */
import type { Membership } from "../../core/membership/membership.ts";
import { StaleRegistrations } from "../../core/membership/stale_registrations.ts";
import type { HostAddress } from "../../core/membership/types.ts";
import type { Random } from "../../core/types.ts";
import type { ObjectCodec } from "../store/object_codec.ts";
import { type ObjectStore, StoreError } from "../store/object_store.ts";
import { logUnexpectedError } from "../telemetry/guard.ts";
import type { Log } from "../telemetry/log.ts";
import type { StoreReplica } from "./store_replica.ts";

/** Mean delay between two attempts to register this host. */
const MEAN_RETRY_DELAY_MS = 700;
/** Time between two checks for stale registrations. */
const STALE_CHECK_INTERVAL_MS = 30_000;

/** Options of a `HostRegistration`. */
export interface HostRegistrationOptions {
  readonly self: HostAddress;
  readonly store: ObjectStore;
  readonly codec: ObjectCodec;
  readonly replica: StoreReplica;
  readonly membership: Membership;
  readonly log: Log;
  readonly random: Random;
  readonly nowMs: () => number;
  /** Whether this host performs a task in the store for all hosts. */
  readonly isTaskOwner: (task: string) => boolean;
  readonly isStopping: () => boolean;
}

/** Registers this host and removes stale registrations of others. */
export class HostRegistration {
  readonly #options: HostRegistrationOptions;
  readonly #staleRegistrations = new StaleRegistrations();
  #lastStaleCheckMs: number;
  #isRegistering = false;
  /** Epoch of the store in which this host was found or made registered. */
  #registeredEpoch: number | undefined;

  constructor(options: HostRegistrationOptions) {
    this.#options = options;
    this.#lastStaleCheckMs = options.nowMs();
  }

  /** Registers this host, retrying until it succeeds or the host stops. */
  async register(): Promise<void> {
    const { self, store, codec, replica, log, random } = this.#options;
    if (this.#isRegistering) return;
    this.#isRegistering = true;
    while (!this.#options.isStopping()) {
      try {
        await store.put("hosts", self.id, codec.encodeHost(self));
        replica.recordResponse();
        log.event("registered");
        break;
      } catch (error) {
        if (error instanceof StoreError) replica.recordFailure(error.message);
        else logUnexpectedError(log, "register", error);
        await sleep(MEAN_RETRY_DELAY_MS * (0.5 + random()));
      }
    }
    this.#isRegistering = false;
  }

  /** Removes this host's registration; a failure is only logged. */
  async deregister(): Promise<void> {
    const { self, store, log } = this.#options;
    await store.remove("hosts", self.id).catch((error: Error) =>
      log.event("not_deregistered", { reason: error.message })
    );
  }

  /** Checks the registrations if a check is due. */
  tick(): void {
    const { nowMs, membership, replica, self } = this.#options;
    const atMs = nowMs();
    const view = replica.view("hosts");
    const { epoch } = view.position;
    this.#registeredEpoch ??= view.isEmpty ? undefined : epoch;
    const isRestored = epoch !== (this.#registeredEpoch ?? epoch);
    const isCheckDue = atMs - this.#lastStaleCheckMs >= STALE_CHECK_INTERVAL_MS;
    if (!isRestored && !isCheckDue) return;
    const registeredIds = [...view.objects()].map(({ name }) => name);
    // A restored store may lack the registration, and other hosts may have
    // removed it during a partition.
    this.#registeredEpoch = epoch;
    if (!registeredIds.includes(self.id) && !this.#options.isStopping()) {
      this.register();
    }
    if (!isCheckDue) return;
    this.#lastStaleCheckMs = atMs;
    const livePeers = membership.livePeers(atMs);
    const staleIds = this.#staleRegistrations.tick(
      registeredIds,
      new Set([self.id, ...livePeers.map(({ id }) => id)]),
      {
        hasQuorum: 2 * (livePeers.length + 1) > registeredIds.length,
        nowMs: atMs,
      },
    );
    if (this.#options.isTaskOwner("forget hosts")) this.#removeStale(staleIds);
  }

  async #removeStale(ids: readonly string[]): Promise<void> {
    const { store, replica, log } = this.#options;
    for (const id of ids) {
      try {
        await store.remove("hosts", id);
        log.event("host_forgotten", { peer: id });
      } catch (error) {
        if (!(error instanceof StoreError)) throw error;
        replica.recordFailure(error.message);
      }
    }
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
