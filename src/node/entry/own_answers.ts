/**
 * Answers of a host about itself and the fleet: look-ups, readiness, metrics
 * and its description for operators.
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
import type { ControlReader } from "./control_reader.ts";
import type { ControlState } from "./control_state.ts";

/** Time for which a look-up answer may be kept, if the bound allows it. */
const LOOKUP_TTL_MS = 2_000;

/** Hosts that a caller should use. */
export interface LookupAnswer {
  readonly addresses: readonly string[];
  readonly ttlMs: number;
}

/** What answers are built from. */
export interface OwnAnswersOptions {
  readonly self: HostAddress;
  readonly state: () => HostState;
  readonly settings: () => EntrySettings;
  readonly membership: Membership;
  readonly targets: TargetTable;
  readonly releases: Releases;
  readonly reader: ControlReader;
  readonly control: ControlState;
  readonly metrics: Metrics;
  /** Requests in progress. */
  readonly inProgress: () => number;
  readonly nowMs: () => number;
}

/** Answers that need no target. */
export class OwnAnswers {
  readonly #options: OwnAnswersOptions;

  constructor(options: OwnAnswersOptions) {
    this.#options = options;
  }

  /** Hosts that a caller should use for a host name. */
  lookup(caller: Locality, hostName: string): LookupAnswer {
    const { self, state, membership, reader, metrics, settings, nowMs } =
      this.#options;
    const others = membership.livePeers(nowMs())
      .filter((host) => host.state === "ready");
    const hosts = [...(state() === "ready" ? [self] : []), ...others];
    const preferredRegions = reader.document?.routes
      .filter((route) => route.host === hostName)
      .flatMap(({ homeRegions }) => homeRegions) ?? [];
    const chosen = chooseHosts(hosts, caller, { preferredRegions });
    metrics.lookups.inc({ answer: chosen.length > 0 ? "hosts" : "none" });
    return {
      addresses: chosen.map(({ callerAddress }) => callerAddress),
      ttlMs: Math.min(LOOKUP_TTL_MS, settings().bounds.maxLookupTtlMs),
    };
  }

  /** Answers the readiness check. */
  ready(res: ServerResponse): void {
    const isReady = this.#options.state() === "ready";
    res.writeHead(isReady ? 200 : 503, { "content-length": "0" });
    res.end();
  }

  /** Answers with the metrics as text. */
  metrics(_req: IncomingMessage, res: ServerResponse): void {
    const { metrics, membership, control, targets, inProgress, nowMs } =
      this.#options;
    metrics.liveHosts.set(membership.livePeers(nowMs()).length);
    metrics.requestsInProgress.set(inProgress());
    metrics.storeAgeSeconds.set(control.outlook.ageMs / 1_000);
    metrics.targets.reset();
    for (const { target } of targets.all()) {
      metrics.targets.inc({ service: target.service });
    }
    metrics.registry.metrics().then((text) => {
      res.writeHead(200, { "content-type": metrics.registry.contentType });
      res.end(text);
    }, () => res.destroy());
  }

  /** What this host believes, for operators. */
  describe(): unknown {
    const { self, state, reader, control, membership, releases, nowMs } =
      this.#options;
    return {
      host: self,
      state: state(),
      documentVersion: reader.document?.version,
      storeAgeMs: Math.round(control.outlook.ageMs),
      liveHosts: membership.livePeers(nowMs())
        .map((host) => ({ id: host.id, state: host.state })),
      evacuatedZones: [...reader.evacuatedZones],
      stoppedVersions: releases.getStoppedVersions(),
      requestsInProgress: this.#options.inProgress(),
    };
  }
}
