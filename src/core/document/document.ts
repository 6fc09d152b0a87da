/**
 * Schema and checks of the configuration document: routes, services,
 * organisations and limits on callers. Platforms translate their own
 * configuration format into it.
 *
 * @module
 */
import * as z from "zod";

const nonEmptyText = z.string().min(1);
const nonNegative = z.number().nonnegative();

const splitPart = z.object({
  service: nonEmptyText,
  /** Share of the route's requests, relative to the other parts. */
  weight: nonNegative,
});

const route = z.object({
  id: nonEmptyText,
  /** Value of the host header, compared without case. */
  host: nonEmptyText,
  /** Start of the paths that match; begins and ends with a slash. */
  pathPrefix: z.string().regex(/^\/([^?#\s]*\/)?$/),
  /** Division of the route's requests over services. */
  parts: z.array(splitPart).min(1),
  /** Whether a request may safely run more than once. */
  idempotent: z.boolean(),
  /** Longest time from arrival to response; 0 for no limit. */
  timeoutMs: nonNegative,
  /** Latency objective; 0 for none. */
  objectiveMs: nonNegative,
  /** Urgency under overload; 0 is the most urgent. */
  priority: nonNegative,
  /** Attempts on targets for one request, the first one included. */
  maxAttempts: z.number().int().min(1),
  /** Whether requests need no API key. */
  open: z.boolean(),
  /**
   * Whether requests for one object should reach the same target, which runs
   * them faster while the object is in its cache.
   */
  sticky: z.boolean(),
  /** Regions whose targets may serve the route; empty for all. */
  homeRegions: z.array(nonEmptyText),
});

const service = z.object({
  id: nonEmptyText,
  healthPath: z.string().startsWith("/"),
  /** Connections that a target accepts from all its clients together. */
  maxConnections: z.number().int().min(1),
  /**
   * Requests per second that a target tolerates during its cold start; 0 if not
   * stated.
   */
  coldRatePerS: nonNegative,
});

const organisation = z.object({
  id: nonEmptyText,
  /** SHA-256 of each valid API key, in hex. */
  keyDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/)),
  /** Overrides the priority of the route. */
  priority: nonNegative.optional(),
  /** Requests per second over all hosts; 0 for no limit. */
  ratePerS: nonNegative,
  /** Requests at once that may exceed the rate, over all hosts. */
  burst: nonNegative,
  /** Regions whose targets may serve the organisation; empty for all. */
  homeRegions: z.array(nonEmptyText),
});

const callerLimits = z.object({
  maxHeaderBytes: z.number().int().min(1),
  maxBodyBytes: nonNegative,
  headerTimeoutMs: nonNegative,
  idleTimeoutMs: nonNegative,
});

/** Schema of the configuration document. */
export const documentSchema = z.object({
  /** Increases with each change; hosts ignore documents that are older. */
  version: nonNegative,
  routes: z.array(route),
  services: z.array(service),
  organisations: z.array(organisation),
  limits: callerLimits,
});

/** A document that matches the schema. */
export type Document = z.infer<typeof documentSchema>;
/** A route: requests with one host and path prefix. */
export type Route = Document["routes"][number];
/** A service: a group of targets that run the same requests. */
export type Service = Document["services"][number];
/** An organisation: the owner of API keys and of a request rate. */
export type Organisation = Document["organisations"][number];

/**
 * Finds faults that the schema cannot express: routes with unknown services or
 * without any weight, and keys that two organisations share.
 *
 * @returns A sentence for each problem; empty if the document is valid.
 */
export function findProblems(document: Document): string[] {
  const problems: string[] = [];
  const serviceIds = new Set(document.services.map(({ id }) => id));
  const organisationIds = new Map<string, string>();
  for (const route of document.routes) {
    const { id, parts } = route;
    for (const { service } of parts) {
      if (!serviceIds.has(service)) {
        problems.push(`route ${id} names the unknown service ${service}`);
      }
    }
    if (parts.every(({ weight }) => weight === 0)) {
      problems.push(`route ${id} has no part with a weight above 0`);
    }
  }
  for (const { id, keyDigests } of document.organisations) {
    for (const digest of keyDigests) {
      const otherId = organisationIds.get(digest);
      if (otherId !== undefined && otherId !== id) {
        problems.push(`organisations ${otherId} and ${id} share a key`);
      }
      organisationIds.set(digest, id);
    }
  }
  return problems;
}
