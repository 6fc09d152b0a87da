/**
 * Checks a request when its headers have arrived and creates its state.
 *
 * @module
 */
import type { Organisation, Route } from "../document/document.ts";
import { hash32, hashToUnitInterval, mix32 } from "../hash32.ts";
import { hasDotSegment } from "./request_path.ts";
import type { PipelineDependencies } from "./dependencies.ts";
import type { IncomingRequest, RefusalReason, RequestState } from "./types.ts";

/** Time until the deadline when neither caller nor route states one. */
const DEFAULT_TIMEOUT_MS = 30_000;

/** State of an accepted request, or why it is refused. */
export type ArrivalCheckResult =
  | { readonly request: RequestState }
  | {
    readonly refusalReason: RefusalReason;
    readonly route?: Route;
    readonly organisation?: Organisation;
  };

/**
 * Checks host state, headers, route, key, body length, deadline and quota, in
 * this order. The quota is not checked for a relayed request, as the host that
 * relays it has taken the token.
 */
export function checkArrival(
  incoming: IncomingRequest,
  dependencies: PipelineDependencies,
  nowMs: number,
): ArrivalCheckResult {
  const hostRefusal = dependencies.findHostRefusal(nowMs);
  if (hostRefusal !== undefined) return { refusalReason: hostRefusal };
  const document = dependencies.document();
  if (document === undefined) {
    return refuse("host_starting", "the host has no document yet");
  }
  if (incoming.malformation !== "") {
    return refuse("bad_request", incoming.malformation);
  }
  if (hasDotSegment(incoming.path)) {
    return refuse("bad_request", "the path has a segment of dots");
  }
  if (incoming.headerBytes > document.limits.maxHeaderBytes) {
    return refuse(
      "header_too_large",
      `the headers have ${incoming.headerBytes} bytes`,
    );
  }
  const route = dependencies.findRoute(incoming.host, incoming.path);
  if (route === undefined) {
    return refuse(
      "route_unknown",
      `no route matches in document version ${document.version}`,
    );
  }
  const identity = identifyCaller(incoming, route, dependencies);
  if ("refusalReason" in identity) return { ...identity, route };
  const { organisation } = identity;
  const context = { route, organisation };
  if (incoming.bodyBytes > document.limits.maxBodyBytes) {
    return {
      refusalReason: {
        kind: "body_too_large",
        reason: `the body has ${incoming.bodyBytes} bytes`,
      },
      ...context,
    };
  }
  const deadlineMs = computeDeadlineMs(incoming, route, nowMs);
  if (deadlineMs > dependencies.latestDeadlineMs()) {
    return {
      refusalReason: {
        kind: "host_leaving",
        reason: "this host may stop before the deadline of the request",
      },
      ...context,
    };
  }
  const isRelayed = incoming.relayedAttempts !== undefined;
  const quotaDecision = organisation === undefined || isRelayed
    ? undefined
    : dependencies.takeQuotaToken(organisation.id, nowMs);
  if (quotaDecision !== undefined && !quotaDecision.isAdmitted) {
    const reason = "this host's share of the organisation's rate is used up";
    const retryAfterMs = quotaDecision.retryAfterMs;
    return {
      refusalReason: { kind: "over_rate", reason, retryAfterMs },
      ...context,
    };
  }
  return {
    request: createRequest(incoming, {
      route,
      organisation,
      deadlineMs,
      dependencies,
      nowMs,
    }),
  };
}

function refuse(
  kind: RefusalReason["kind"],
  reason: string,
): ArrivalCheckResult {
  return { refusalReason: { kind, reason } };
}

/**
 * Checks a request that was held against the present document, if it has
 * changed: its route, its key and, if the key belongs to another organisation
 * now, that one's quota. A refused request keeps its token, for a refund.
 */
export function recheckHeldRequest(
  request: RequestState,
  dependencies: PipelineDependencies,
  nowMs: number,
): ArrivalCheckResult {
  const document = dependencies.document();
  if (document === undefined || document.version === request.documentVersion) {
    return { request };
  }
  const { incoming } = request;
  const route = dependencies.findRoute(incoming.host, incoming.path);
  if (route === undefined) {
    return refuse(
      "route_unknown",
      `no route matches in document version ${document.version}`,
    );
  }
  const identity = identifyCaller(incoming, route, dependencies);
  if ("refusalReason" in identity) return identity;
  const { organisation } = identity;
  const previousId = request.organisation?.id;
  if (!request.isRelayed && organisation?.id !== previousId) {
    if (organisation !== undefined) {
      const { isAdmitted, retryAfterMs } = dependencies.takeQuotaToken(
        organisation.id,
        nowMs,
      );
      if (!isAdmitted) {
        const reason =
          "this host's share of the organisation's rate is used up";
        return { refusalReason: { kind: "over_rate", reason, retryAfterMs } };
      }
    }
    if (previousId !== undefined) {
      dependencies.refundQuotaToken(previousId, nowMs);
    }
  }
  const { arrivedMs, fingerprint, bodyBytes, phase } = request;
  const rechecked = createRequest(incoming, {
    route,
    organisation,
    deadlineMs: Math.min(
      request.deadlineMs,
      computeDeadlineMs(incoming, route, arrivedMs),
    ),
    dependencies,
    nowMs: arrivedMs,
  });
  const staysInService = route.parts.some(({ service, weight }) =>
    service === request.service && weight > 0
  );
  return {
    request: {
      ...rechecked,
      // A split that still has a part for the service keeps its proportions.
      ...(staysInService
        ? {
          service: request.service,
          keyHash: route.sticky ? request.keyHash : undefined,
          versionBucket: request.versionBucket,
        }
        : {}),
      fingerprint,
      bodyBytes,
      phase,
    },
  };
}

/** Finds the caller's organisation, or why the key does not suffice. */
function identifyCaller(
  { keyDigest }: IncomingRequest,
  route: Route,
  dependencies: PipelineDependencies,
):
  | { organisation: Organisation | undefined }
  | { refusalReason: RefusalReason } {
  const organisation = keyDigest === ""
    ? undefined
    : dependencies.findOrganisation(keyDigest);
  if (organisation !== undefined || route.open || !dependencies.needsKeys()) {
    return { organisation };
  }
  const version = dependencies.document()?.version;
  return {
    refusalReason: keyDigest === ""
      ? { kind: "key_missing", reason: "the request has no key" }
      : {
        kind: "key_rejected",
        reason: `the key is not in document version ${version}`,
      },
  };
}

/** Returns the earlier deadline of caller and route. */
function computeDeadlineMs(
  { timeoutMs }: IncomingRequest,
  route: Route,
  nowMs: number,
): number {
  const limitMs = Math.min(
    timeoutMs > 0 ? timeoutMs : Infinity,
    route.timeoutMs > 0 ? route.timeoutMs : Infinity,
  );
  return nowMs + (limitMs === Infinity ? DEFAULT_TIMEOUT_MS : limitMs);
}

function createRequest(
  incoming: IncomingRequest,
  { route, organisation, deadlineMs, dependencies, nowMs }: {
    route: Route;
    organisation: Organisation | undefined;
    deadlineMs: number;
    dependencies: PipelineDependencies;
    nowMs: number;
  },
): RequestState {
  const { requestId, affinityKey, bodyBytes } = incoming;
  const affinityHash = affinityKey === ""
    ? Math.floor(dependencies.random() * 2 ** 32)
    : hash32(affinityKey);
  const service = dependencies.pickService(route, affinityHash);
  const keyHash = mix32(hash32(service), affinityHash);
  return {
    requestId,
    incoming,
    documentVersion: dependencies.document()?.version ?? 0,
    route,
    service,
    organisation,
    arrivedMs: nowMs,
    deadlineMs,
    keyHash: route.sticky && affinityKey !== "" ? keyHash : undefined,
    versionBucket: hashToUnitInterval(mix32(keyHash, VERSION_SALT)),
    isRelayed: incoming.relayedAttempts !== undefined,
    maxAttempts: Math.min(
      route.maxAttempts,
      incoming.relayedAttempts ?? Infinity,
    ),
    phase: "reading",
    fingerprint: "",
    bodyBytes: Math.max(0, bodyBytes),
    countedAttempts: 0,
    mayHaveRun: false,
    triedTargetIds: [],
    triedRelayHostIds: [],
    currentAttempt: undefined,
    isRelayInFlight: false,
    hasResponseStarted: false,
    hasFailureResponse: false,
  };
}

/** Makes the choice of a version independent of the choice of a target. */
const VERSION_SALT = hash32("version");
