/**
 * Applies changes of the store's objects to an entry host: the configuration
 * document, targets, releases, evacuated zones and registered hosts.
 *
 * @module
 */
import type { Document } from "../../core/document/document.ts";
import type { Membership } from "../../core/membership/membership.ts";
import type { Releases } from "../../core/release/releases.ts";
import type { ContentVersion } from "../../core/store/content_version.ts";
import type { KindView, ViewChanges } from "../../core/store/kind_view.ts";
import type { StoreAvailability } from "../../core/store/store_availability.ts";
import type { ObjectKind, StoredObject } from "../../core/store/types.ts";
import { DepartedTargets } from "../../core/targets/departed_targets.ts";
import {
  earliestStartsByVersion,
  LapsedRegistrations,
} from "../../core/targets/registrations.ts";
import type { TargetTable } from "../../core/targets/target_table.ts";
import type { ObjectCodec } from "../store/object_codec.ts";
import type { Log } from "../telemetry/log.ts";

/** Options of an `ObjectApplier`. */
export interface ObjectApplierOptions {
  readonly codec: ObjectCodec;
  /** Returns the replica of a kind. */
  readonly view: (kind: ObjectKind) => KindView;
  readonly storeAvailability: () => StoreAvailability;
  readonly targets: TargetTable;
  readonly releases: Releases;
  readonly membership: Membership;
  readonly log: Log;
  readonly nowMs: () => number;
  /** Called after a valid document was applied. */
  readonly onDocumentApplied: (document: Document) => void;
  /** Called with the address of a target that drains or was removed. */
  readonly onTargetLeaving: (address: string) => void;
  /** Called when the registered hosts may have changed. */
  readonly onHostsChanged: () => void;
}

/** Formats the rate limit of each organisation for the log. */
function formatRates(document: Document | undefined): Map<string, string> {
  return new Map(
    document?.organisations.map(({ id, ratePerS, burst }) => [
      id,
      `${ratePerS}/s+${burst}`,
    ]),
  );
}

/** Decodes changed objects and applies them. */
export class ObjectApplier {
  readonly #options: ObjectApplierOptions;
  readonly #lapsedRegistrations = new LapsedRegistrations();
  readonly #departedTargets = new DepartedTargets();
  /** Versions of the registrations that were applied last, by target. */
  readonly #targetVersions = new Map<string, ContentVersion | undefined>();
  #evacuatedZones: ReadonlySet<string> = new Set();
  #document: Document | undefined;

  constructor(options: ObjectApplierOptions) {
    this.#options = options;
  }

  /** The current document; `undefined` before the first one. */
  get document(): Document | undefined {
    return this.#document;
  }

  /** Zones whose targets receive no requests. */
  get evacuatedZones(): ReadonlySet<string> {
    return this.#evacuatedZones;
  }

  /**
   * Applies changes of a kind.
   *
   * @param changes Changes that the replica of the kind contains already.
   */
  apply(kind: ObjectKind, changes: ViewChanges): void {
    switch (kind) {
      case "document":
        return this.#applyDocument();
      case "targets":
        return this.#applyTargets(changes);
      case "releases":
        return this.#applyReleases();
      case "evacuations":
        return this.#applyEvacuations();
      case "hosts":
        return this.#applyHosts();
    }
  }

  /**
   * Removes targets that did not register again in time, and adds targets whose
   * registration came back with a restored store and has lasted. Called several
   * times per second.
   */
  tick(): void {
    const { storeAvailability, nowMs, log, view } = this.#options;
    for (const id of this.#departedTargets.drainBelieved(nowMs())) {
      const object = view("targets").get(id);
      if (object !== undefined) this.#putTarget(object);
    }
    for (
      const id of this.#lapsedRegistrations.drainExpired(
        storeAvailability(),
        nowMs(),
      )
    ) {
      log.event("target_gone", { target: id, reason: "not registered again" });
      this.#removeTarget(id);
    }
  }

  #applyDocument(): void {
    const { codec, view, log, onDocumentApplied } = this.#options;
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
    const previousVersion = this.#document?.version;
    const previousRates = formatRates(this.#document);
    if (previousVersion !== undefined && document.version < previousVersion) {
      return log.warn("document_older", {
        version: document.version,
        before: previousVersion,
      });
    }
    this.#document = document;
    log.event("document_applied", {
      version: document.version,
      before: previousVersion,
      revision: object.revision,
      storeAgeMs: this.#storeAgeMs(),
      changedRates: [...formatRates(document)]
        .filter(([id, rate]) => previousRates.get(id) !== rate)
        .map(([id, rate]) => `${id} ${rate}`),
    });
    onDocumentApplied(document);
  }

  #applyTargets({ changed, removed }: ViewChanges): void {
    const { log, nowMs, codec, view } = this.#options;
    for (const object of changed) {
      const { name, revision } = object;
      const version = codec.contentVersion("targets", object);
      const { epoch } = view("targets").position;
      const isBelieved = version === undefined ||
        this.#departedTargets.isBelieved(name, version, {
          epoch,
          nowMs: nowMs(),
        });
      if (isBelieved) this.#putTarget(object);
      else log.event("target_ignored", { target: name, version, revision });
    }
    for (const id of removed) {
      this.#departedTargets.recordEnd(id);
      if (
        this.#lapsedRegistrations.recordRemoval(
          id,
          this.#options.storeAvailability(),
          nowMs(),
        )
      ) {
        log.event("target_gone", { target: id, reason: "removed" });
        this.#removeTarget(id);
      } else log.event("target_lapsed", { target: id });
    }
    this.#recordVersions();
  }

  #putTarget(object: StoredObject): void {
    const { codec, targets, log, nowMs, onTargetLeaving } = this.#options;
    const { name, revision } = object;
    const registration = codec.decodeTarget(object);
    if (registration === undefined) {
      log.warn("target_unreadable", { target: name });
      return this.#removeTarget(name);
    }
    const previousTarget = targets.get(name)?.target;
    this.#lapsedRegistrations.recordRegistration(name);
    targets.put(registration, nowMs());
    this.#targetVersions.set(name, codec.contentVersion("targets", object));
    log.event("target_changed", {
      target: name,
      service: registration.service,
      version: registration.version,
      zone: registration.availabilityZone,
      address: registration.address,
      draining: registration.isDraining,
      coldForMs: registration.coldForMs,
      revision,
      known: previousTarget !== undefined,
    });
    if (registration.isDraining) onTargetLeaving(registration.address);
  }

  #removeTarget(id: string): void {
    const { targets, onTargetLeaving, view } = this.#options;
    const target = targets.get(id)?.target;
    const version = this.#targetVersions.get(id);
    this.#targetVersions.delete(id);
    if (target === undefined) return;
    targets.remove(id);
    if (version !== undefined) {
      const { epoch } = view("targets").position;
      this.#departedTargets.recordDeparture(id, version, epoch);
    }
    onTargetLeaving(target.address);
  }

  #recordVersions(): void {
    const { targets, releases } = this.#options;
    const registeredTargets = [...targets.all()].map(({ target }) => target);
    for (
      const [service, startedMsByVersion] of earliestStartsByVersion(
        registeredTargets,
      )
    ) {
      releases.recordVersions(service, startedMsByVersion);
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
    this.#evacuatedZones = new Set(zones);
    log.event("evacuations_changed", { zones, storeAgeMs: this.#storeAgeMs() });
  }

  #applyHosts(): void {
    const { view, codec, membership, onHostsChanged } = this.#options;
    const hosts = [...view("hosts").objects()]
      .map((object) => codec.decodeHost(object))
      .filter((host) => host !== undefined);
    membership.setRegistered(hosts);
    onHostsChanged();
  }

  #storeAgeMs(): number {
    return Math.round(this.#options.storeAvailability().ageMs);
  }
}
