/**
 * Sample objects for tests. Each function returns valid defaults in which the
 * given fields are replaced.
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

/** Returns a route with defaults. */
export function sampleRoute(overrides: Partial<Route> = {}): Route {
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
    ...overrides,
  };
}

/** Returns a service with defaults. */
export function sampleService(overrides: Partial<Service> = {}): Service {
  return {
    id: "stockdesk",
    healthPath: "/health",
    maxConnections: 300,
    coldRatePerS: 8,
    ...overrides,
  };
}

/** Returns an organisation with defaults. */
export function sampleOrganisation(
  overrides: Partial<Organisation> = {},
): Organisation {
  return {
    id: "drivers",
    keyDigests: [],
    ratePerS: 0,
    burst: 0,
    homeRegions: [],
    ...overrides,
  };
}

/** Returns a document with one route and its service. */
export function sampleDocument(overrides: Partial<Document> = {}): Document {
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
    ...overrides,
  };
}

/** Returns a registration of a target with defaults. */
export function sampleRegistration(
  overrides: Partial<Registration> = {},
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
    ...overrides,
  };
}
