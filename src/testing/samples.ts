/**
 * Sample values for tests.
 *
 * @module
 */
import type {
  Document,
  Organisation,
  Route,
  Service,
} from "../core/document/document.ts";
import type { Registration } from "../core/targets/types.ts";

/** A route with defaults. */
export function sampleRoute(options: Partial<Route> = {}): Route {
  return {
    id: "stock",
    host: "stock.example",
    pathPrefix: "/stock/",
    parts: [{ service: "stockdesk", weight: 1 }],
    idempotent: true,
    timeoutMs: 1_000,
    objectiveMs: 400,
    priority: 1,
    maxAttempts: 2,
    open: false,
    sticky: true,
    homeRegions: [],
    ...options,
  };
}

/** A service with defaults. */
export function sampleService(options: Partial<Service> = {}): Service {
  return {
    id: "stockdesk",
    healthPath: "/health",
    maxConnections: 300,
    coldRatePerS: 8,
    ...options,
  };
}

/** An organisation with defaults. */
export function sampleOrganisation(
  options: Partial<Organisation> = {},
): Organisation {
  return {
    id: "drivers",
    keyDigests: [],
    ratePerS: 0,
    burst: 0,
    homeRegions: [],
    ...options,
  };
}

/** A document with defaults. */
export function sampleDocument(options: Partial<Document> = {}): Document {
  return {
    version: 1,
    routes: [sampleRoute()],
    services: [sampleService()],
    organisations: [],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    ...options,
  };
}

/** A registration with defaults. */
export function sampleTarget(
  options: Partial<Registration> = {},
): Registration {
  return {
    id: "target-1",
    startedMs: 1_000,
    service: "stockdesk",
    address: "192.0.2.1:8080",
    availabilityZone: "north-a",
    region: "north",
    version: "v1",
    slots: 4,
    isDraining: false,
    coldForMs: 0,
    ...options,
  };
}
