/**
 * Takes changes of the store's objects into the parts of an entry host.
 *
 * @module
 */
import type { Document } from "../../core/document/document.ts";
import type { Membership } from "../../core/membership/membership.ts";
import type { Releases } from "../../core/release/releases.ts";
import type { KindView, ViewChanges } from "../../core/store/kind_view.ts";
import type { StoreAvailability } from "../../core/store/store_availability.ts";
import type { ObjectKind } from "../../core/store/types.ts";
import {
  earliestStartsByVersion,
  LapsedRegistrations,
} from "../../core/targets/registrations.ts";
import type { TargetTable } from "../../core/targets/target_table.ts";
import type { ObjectCodec } from "../store/object_codec.ts";
import type { Log } from "../telemetry/log.ts";

/** What the reader is built from. */
export interface ControlReaderOptions {
  readonly codec: ObjectCodec;
  readonly view: (kind: ObjectKind) => KindView;
  readonly store: () => StoreAvailability;
  readonly targets: TargetTable;
  readonly releases: Releases;
  readonly membership: Membership;
  readonly log: Log;
  readonly nowMs: () => number;
  /** A newer document is in force. */
  readonly onDocument: (document: Document) => void;
  /** A target is registered no more, or drains. */
  readonly onTargetLeaving: (address: string) => void;
  /** The registered hosts have changed. */
  readonly onHosts: () => void;
}

function ratesOf(document: Document | undefined): Map<string, string> {
  return new Map(
    document?.organisations.map(({ id, ratePerS, burst }) => [
      id,
      `${ratePerS}/s+${burst}`,
    ]),
  );
}

/** Applies changes of objects. */
export class ControlReader {
  readonly #options: ControlReaderOptions;
  readonly #lapse = new LapsedRegistrations();
  #evacuated: ReadonlySet<string> = new Set();
  #document: Document | undefined;

  constructor(options: ControlReaderOptions) {
    this.#options = options;
  }

  /** The document in force; `undefined` before the first one. */
  get document(): Document | undefined {
    return this.#document;
  }

  /** Zones whose targets get nothing. */
  get evacuatedZones(): ReadonlySet<string> {
    return this.#evacuated;
  }

  /** Applies changes of a kind. */
  apply(kind: ObjectKind, news: ViewChanges): void {
    switch (kind) {
      case "document":
        return this.#applyDocument();
      case "targets":
        return this.#applyTargets(news);
      case "releases":
        return this.#applyReleases();
      case "evacuations":
        return this.#applyEvacuations();
      case "hosts":
        return this.#applyHosts();
    }
  }

  /** Removes targets whose registration has lapsed for good. */
  tick(): void {
    const { store, nowMs, log } = this.#options;
    for (const id of this.#lapse.drainExpired(store(), nowMs())) {
      log.event("target_gone", { target: id, reason: "not registered again" });
      this.#removeTarget(id);
    }
  }

  #applyDocument(): void {
    const { codec, view, log, onDocument } = this.#options;
    const object = view("document").get(codec.documentName);
    if (object === undefined) return;
    const decoded = codec.decodeDocument(object.specification);
    if ("problems" in decoded) {
      return log.warn("document_rejected", {
        revision: object.revision,
        problems: decoded.problems.slice(0, 5),
      });
    }
    const { document } = decoded;
    const before = this.#document?.version;
    const earlierRates = ratesOf(this.#document);
    if (before !== undefined && document.version < before) {
      return log.warn("document_older", { version: document.version, before });
    }
    this.#document = document;
    log.event("document_applied", {
      version: document.version,
      before,
      revision: object.revision,
      storeAgeMs: this.#storeAgeMs(),
      changedRates: [...ratesOf(document)]
        .filter(([id, rate]) => earlierRates.get(id) !== rate)
        .map(([id, rate]) => `${id} ${rate}`),
    });
    onDocument(document);
  }

  #applyTargets({ changed, removed }: ViewChanges): void {
    const { codec, targets, log, nowMs, onTargetLeaving } = this.#options;
    for (const object of changed) {
      const registration = codec.decodeTarget(object);
      if (registration === undefined) {
        log.warn("target_unreadable", { target: object.name });
        this.#removeTarget(object.name);
        continue;
      }
      const before = targets.get(object.name)?.target;
      this.#lapse.recordRegistration(object.name);
      targets.put(registration, nowMs());
      log.event("target_changed", {
        target: object.name,
        service: registration.service,
        version: registration.version,
        zone: registration.availabilityZone,
        address: registration.address,
        draining: registration.isDraining,
        coldForMs: registration.coldForMs,
        revision: object.revision,
        known: before !== undefined,
      });
      if (registration.isDraining) onTargetLeaving(registration.address);
    }
    for (const id of removed) {
      if (this.#lapse.recordRemoval(id, this.#options.store(), nowMs())) {
        log.event("target_gone", { target: id, reason: "removed" });
        this.#removeTarget(id);
      } else log.event("target_lapsed", { target: id });
    }
    this.#noteVersions();
  }

  #removeTarget(id: string): void {
    const { targets, onTargetLeaving } = this.#options;
    const address = targets.get(id)?.target.address;
    targets.remove(id);
    if (address !== undefined) onTargetLeaving(address);
  }

  #noteVersions(): void {
    const { targets, releases } = this.#options;
    const known = [...targets.all()].map(({ target }) => target);
    for (const [service, versions] of earliestStartsByVersion(known)) {
      releases.recordVersions(service, versions);
    }
  }

  #applyReleases(): void {
    const { view, codec, releases, nowMs, log } = this.#options;
    const orders = [...view("releases").objects()].flatMap((object) => {
      const order = codec.decodeRelease(object);
      if (order === undefined) {
        log.warn("release_unreadable", { service: object.name });
      } else log.event("release_seen", { ...order });
      return order ?? [];
    });
    releases.setOrders(orders, nowMs());
  }

  #applyEvacuations(): void {
    const { view, log } = this.#options;
    const zones = [...view("evacuations").objects()].map(({ name }) => name);
    this.#evacuated = new Set(zones);
    log.event("evacuations_changed", { zones, storeAgeMs: this.#storeAgeMs() });
  }

  #applyHosts(): void {
    const { view, codec, membership, onHosts } = this.#options;
    const hosts = [...view("hosts").objects()]
      .map((object) => codec.decodeHost(object))
      .filter((host) => host !== undefined);
    membership.setRegistered(hosts);
    onHosts();
  }

  #storeAgeMs(): number {
    return Math.round(this.#options.store().ageMs);
  }
}
