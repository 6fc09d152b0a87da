/**
 * Responses of a host about itself and the fleet: lookups, readiness, metrics
 * and the description for operators.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { chooseHosts } from "../../core/lookup/choose_hosts.ts";
import type { Membership } from "../../core/membership/membership.ts";
import type { HostAddress, HostState } from "../../core/membership/types.ts";
import type { Releases } from "../../core/release/releases.ts";
import type { EntrySettings } from "../../core/settings/entry_settings.ts";
import type { TargetTable } from "../../core/targets/target_table.ts";
import type { Locality } from "../../core/types.ts";
import type { Metrics } from "../telemetry/metrics.ts";
import type { ObjectApplier } from "./object_applier.ts";
import { CONFIRMED_KINDS } from "./replica_policies.ts";
import type { StoreReplica } from "./store_replica.ts";

/** Time for which a lookup may be cached, unless the settings allow less. */
const LOOKUP_TTL_MS = 2_000;

/** Response to a lookup. */
export interface LookupResponse {
  /** Addresses of the hosts that the caller should use. */
  readonly addresses: readonly string[];
  /** Time for which the caller may use them. */
  readonly ttlMs: number;
}

/** Options of `HostEndpoints`. */
export interface HostEndpointsOptions {
  readonly self: HostAddress;
  /** Build that this process runs. */
  readonly build: string;
  readonly state: () => HostState;
  readonly settings: () => EntrySettings;
  readonly membership: Membership;
  readonly targets: TargetTable;
  readonly releases: Releases;
  readonly applier: ObjectApplier;
  readonly replica: StoreReplica;
  readonly metrics: Metrics;
  readonly requestsInProgress: () => number;
  /** Number of requests that this host holds, by service. */
  readonly queueLengths: () => ReadonlyMap<string, number>;
  /** Whether this host reaches targets. */
  readonly hasTargetPath: () => boolean;
  /** Describes the usage reports; `undefined` if there are none. */
  readonly describeUsage: () => unknown;
  readonly nowMs: () => number;
}

/** Creates responses that need no target. */
export class HostEndpoints {
  readonly #options: HostEndpointsOptions;

  constructor(options: HostEndpointsOptions) {
    this.#options = options;
  }

  /**
   * Returns the hosts that a caller should use.
   *
   * @param caller Region and availability zone of the caller.
   * @param hostName Host name of the routes that the caller is going to use.
   */
  lookUp(caller: Locality, hostName: string): LookupResponse {
    const { self, state, membership, applier, metrics, settings, nowMs } =
      this.#options;
    const hasTargetPath = this.#options.hasTargetPath();
    const readyPeers = membership.livePeers(nowMs())
      .filter((host) => host.state === "ready");
    const hosts = [
      ...(state() === "ready" ? [{ ...self, hasTargetPath }] : []),
      ...readyPeers,
    ];
    // Hosts that reach no target relay requests, which takes longer.
    const reaching = hosts.filter((host) => host.hasTargetPath);
    const preferredRegions = applier.document?.routes
      .filter((route) => route.host === hostName)
      .flatMap(({ homeRegions }) => homeRegions) ?? [];
    const chosen = chooseHosts(reaching.length > 0 ? reaching : hosts, caller, {
      preferredRegions,
    });
    metrics.lookups.inc({ answer: chosen.length > 0 ? "hosts" : "none" });
    return {
      addresses: chosen.map(({ callerAddress }) => callerAddress),
      ttlMs: Math.min(LOOKUP_TTL_MS, settings().bounds.maxLookupTtlMs),
    };
  }

  /** Responds to a readiness check: 200 if the host is ready, otherwise 503. */
  serveReadiness(res: ServerResponse): void {
    const isReady = this.#options.state() === "ready";
    res.writeHead(isReady ? 200 : 503, { "content-length": "0" });
    res.end();
  }

  /** Responds with the metrics as text. */
  serveMetrics(_req: IncomingMessage, res: ServerResponse): void {
    const { metrics, membership, replica, targets, requestsInProgress, nowMs } =
      this.#options;
    const livePeers = membership.livePeers(nowMs());
    metrics.liveHosts.set(livePeers.length);
    metrics.hostBuilds.reset();
    for (const { build } of [...livePeers, this.#options]) {
      metrics.hostBuilds.inc({ build });
    }
    metrics.requestsInProgress.set(requestsInProgress());
    metrics.queuedRequests.reset();
    for (const [service, length] of this.#options.queueLengths()) {
      metrics.queuedRequests.set({ service }, length);
    }
    metrics.storeAgeSeconds.set(replica.availability.ageMs / 1_000);
    for (const kind of CONFIRMED_KINDS) {
      const ageS = replica.confirmedAgeMs(kind) / 1_000;
      metrics.viewAgeSeconds.set({ kind }, ageS);
    }
    metrics.targets.reset();
    metrics.limitedTargets.reset();
    for (const { target: { service }, statedLimit } of targets.all()) {
      metrics.targets.inc({ service });
      if (statedLimit.limitPerS === undefined) continue;
      metrics.limitedTargets.inc({ service });
    }
    metrics.registry.metrics().then((text) => {
      res.writeHead(200, { "content-type": metrics.registry.contentType });
      res.end(text);
    }, () => res.destroy());
  }

  /** Describes the state of this host to operators, as a JSON value. */
  describe(): unknown {
    const { self, state, applier, replica, membership, releases, nowMs } =
      this.#options;
    return {
      host: self,
      build: this.#options.build,
      state: state(),
      hasTargetPath: this.#options.hasTargetPath(),
      documentVersion: applier.document?.version,
      storeAgeMs: Math.round(replica.availability.ageMs),
      viewAgesMs: Object.fromEntries(
        CONFIRMED_KINDS.map((kind) => [
          kind,
          Math.round(replica.confirmedAgeMs(kind)),
        ]),
      ),
      liveHosts: membership.livePeers(nowMs())
        .map(({ id, state, build }) => ({ id, state, build })),
      evacuatedZones: [...applier.evacuatedZones],
      stoppedVersions: releases.getStoppedVersions(),
      requestsInProgress: this.#options.requestsInProgress(),
      usage: this.#options.describeUsage(),
      queuedRequests: Object.fromEntries(this.#options.queueLengths()),
    };
  }
}
