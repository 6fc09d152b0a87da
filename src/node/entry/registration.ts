/**
 * Registration of hosts in the store: this one's own, and the removal of those
 * that are gone.
 *
 * @module
 */
import { StaleRegistrations } from "../../core/membership/stale_registrations.ts";
import type { Membership } from "../../core/membership/membership.ts";
import type { HostAddress } from "../../core/membership/types.ts";
import type { Random } from "../../core/types.ts";
import type { ObjectCodec } from "../store/object_codec.ts";
import { type ObjectStore, StoreError } from "../store/object_store.ts";
import type { Log } from "../telemetry/log.ts";
import type { ControlState } from "./control_state.ts";

/** Time between two attempts to register this host. */
const RETRY_MS = 700;
/** Time between two looks for hosts that are gone. */
const LOOK_MS = 30_000;

/** What a registration is built from. */
export interface RegistrationOptions {
  readonly self: HostAddress;
  readonly store: ObjectStore;
  readonly codec: ObjectCodec;
  readonly control: ControlState;
  readonly membership: Membership;
  readonly log: Log;
  readonly random: Random;
  readonly nowMs: () => number;
  /** Whether this host does a task in the store for all. */
  readonly holdsStoreDuty: (duty: string) => boolean;
  /** Whether this host stops. */
  readonly isStopping: () => boolean;
}

/** Registers this host and forgets others. */
export class Registration {
  readonly #options: RegistrationOptions;
  readonly #forgotten = new StaleRegistrations();
  #lookedMs: number;
  #registering = false;

  constructor(options: RegistrationOptions) {
    this.#options = options;
    this.#lookedMs = options.nowMs();
  }

  /** Registers this host, trying until the store answers. */
  async register(): Promise<void> {
    const { self, store, codec, control, log, random } = this.#options;
    if (this.#registering) return;
    this.#registering = true;
    while (!this.#options.isStopping()) {
      try {
        await store.put("hosts", self.id, codec.encodeHost(self));
        control.noteAnswer();
        log.event("registered");
        break;
      } catch (error) {
        if (!(error instanceof StoreError)) throw error;
        control.noteFailure(error.message);
        await sleep(RETRY_MS * (0.5 + random()));
      }
    }
    this.#registering = false;
  }

  /** Removes this host's registration. */
  async deregister(): Promise<void> {
    const { self, store, log } = this.#options;
    await store.remove("hosts", self.id).catch((error: Error) =>
      log.event("not_deregistered", { reason: error.message })
    );
  }

  /** Looks for hosts that are gone, if it is time. */
  tick(): void {
    const { nowMs, membership, control, self } = this.#options;
    const atMs = nowMs();
    if (atMs - this.#lookedMs < LOOK_MS) return;
    this.#lookedMs = atMs;
    const registered = [...control.view("hosts").objects()]
      .map(({ name }) => name);
    // Others may have forgotten this host while it was cut off.
    if (!registered.includes(self.id) && !this.#options.isStopping()) {
      this.register();
    }
    const live = membership.livePeers(atMs);
    const gone = this.#forgotten.tick(
      registered,
      new Set([self.id, ...live.map(({ id }) => id)]),
      {
        hasQuorum: 2 * (live.length + 1) > registered.length,
        nowMs: atMs,
      },
    );
    if (this.#options.holdsStoreDuty("forget hosts")) this.#remove(gone);
  }

  async #remove(ids: readonly string[]): Promise<void> {
    const { store, control, log } = this.#options;
    for (const id of ids) {
      try {
        await store.remove("hosts", id);
        log.event("host_forgotten", { peer: id });
      } catch (error) {
        if (!(error instanceof StoreError)) throw error;
        control.noteFailure(error.message);
      }
    }
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
