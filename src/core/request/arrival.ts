/**
 * Checks of a request on arrival.
 *
 * @module
 */
import { hash32, hashToUnitInterval, mix32 } from "../hash32.ts";
import type { Document, Organisation, Route } from "../document/document.ts";
import type { PipelineParts } from "./parts.ts";
import type { Arrival, Obstacle, RequestState } from "./types.ts";

/** Time that a request may take when neither caller nor route limits it. */
const DEFAULT_TIMEOUT_MS = 30_000;

/** Result of the checks. */
export type ArrivalResult =
  | { readonly request: RequestState }
  | {
    readonly obstacle: Obstacle;
    readonly route?: Route;
    readonly organisation?: Organisation;
  };

/** Checks a request and returns its state or the reason to refuse it. */
export function checkArrival(
  arrival: Arrival,
  parts: PipelineParts,
  nowMs: number,
): ArrivalResult {
  const early = parts.refusesAll(nowMs);
  if (early !== undefined) return { obstacle: early };
  const document = parts.document();
  if (document === undefined) {
    return refuse("host_starting", "no configuration yet");
  }
  if (arrival.malformed) return refuse("bad_request", "malformed header");
  if (arrival.headerBytes > document.limits.maxHeaderBytes) {
    return refuse("header_too_large", `${arrival.headerBytes} header bytes`);
  }
  const route = parts.findRoute(arrival.host, arrival.path);
  if (route === undefined) {
    return refuse("route_unknown", `no route at version ${document.version}`);
  }
  const owner = identify(arrival, route, parts);
  if ("obstacle" in owner) return { ...owner, route };
  const { organisation } = owner;
  const known = { route, organisation };
  if (arrival.bodyBytes > document.limits.maxBodyBytes) {
    return {
      obstacle: {
        kind: "body_too_large",
        why: `${arrival.bodyBytes} body bytes`,
      },
      ...known,
    };
  }
  const quota = organisation === undefined
    ? undefined
    : parts.admit(organisation.id, nowMs);
  if (quota !== undefined && !quota.admitted) {
    const why = "the organisation's share of the rate is used up";
    const retryAfterMs = quota.waitMs;
    return { obstacle: { kind: "over_rate", why, retryAfterMs }, ...known };
  }
  return {
    request: createRequest(arrival, {
      route,
      organisation,
      document,
      parts,
      nowMs,
    }),
  };
}

function refuse(kind: Obstacle["kind"], why: string): ArrivalResult {
  return { obstacle: { kind, why } };
}

/** Finds out for whom a request is to run. */
function identify(
  { keyDigest }: Arrival,
  route: Route,
  parts: PipelineParts,
): { organisation: Organisation | undefined } | { obstacle: Obstacle } {
  const organisation = keyDigest === ""
    ? undefined
    : parts.findOrganisation(keyDigest);
  if (organisation !== undefined || route.open || !parts.needsKeys()) {
    return { organisation };
  }
  const version = parts.document()?.version;
  return {
    obstacle: keyDigest === ""
      ? { kind: "key_missing", why: "no key" }
      : { kind: "key_rejected", why: `key unknown at version ${version}` },
  };
}

function createRequest(
  arrival: Arrival,
  { route, organisation, parts, nowMs }: {
    route: Route;
    organisation: Organisation | undefined;
    document: Document;
    parts: PipelineParts;
    nowMs: number;
  },
): RequestState {
  const { requestId, objectKey, timeoutMs, bodyBytes } = arrival;
  const objectHash = objectKey === ""
    ? Math.floor(parts.random() * 2 ** 32)
    : hash32(objectKey);
  const service = parts.pickService(route, objectHash);
  const placed = mix32(hash32(service), objectHash);
  const limitMs = Math.min(
    timeoutMs > 0 ? timeoutMs : Infinity,
    route.timeoutMs > 0 ? route.timeoutMs : Infinity,
  );
  return {
    requestId,
    route,
    service,
    organisation,
    arrivedMs: nowMs,
    deadlineMs: nowMs + (limitMs === Infinity ? DEFAULT_TIMEOUT_MS : limitMs),
    keyHash: route.sticky && objectKey !== "" ? placed : undefined,
    unit: hashToUnitInterval(mix32(placed, VERSION_SALT)),
    phase: "reading",
    fingerprint: "",
    bodyBytes: Math.max(0, bodyBytes),
    attempts: 0,
    mayHaveRun: false,
    tried: [],
    current: undefined,
    answerStarted: false,
    hasFailure: false,
  };
}

/** Keeps the choice of a version independent of the choice of a target. */
const VERSION_SALT = hash32("version");
