/**
 * The configuration document: routes, services, organisations and limits.
 *
 * @module
 */
import * as z from "zod";

const name = z.string().min(1);
const nonNegative = z.number().nonnegative();

const splitPart = z.object({
  service: name,
  /** Part of the route's requests, relative to the other parts. */
  weight: nonNegative,
});

const route = z.object({
  id: name,
  /** Value of the request's host header. */
  host: name,
  /** Begins and ends with a slash. */
  pathPrefix: z.string().regex(/^\/([^?#\s]*\/)?$/),
  /** Services that run the route's requests. */
  parts: z.array(splitPart).min(1),
  /** Whether a request may run more than once. */
  idempotent: z.boolean(),
  /** Longest time that a request is kept waiting; 0 without a limit. */
  timeoutMs: nonNegative,
  /** Time within which an answer is useful; 0 when none is stated. */
  objectiveMs: nonNegative,
  /** Rank, where 0 is the most urgent. */
  priority: nonNegative,
  /** Targets to which one request may be sent. */
  maxAttempts: z.number().int().min(1),
  /** Whether no key is needed. */
  open: z.boolean(),
  /** Whether a target that has handled an object works faster on it. */
  sticky: z.boolean(),
  /** Regions that may serve the route; empty for all. */
  homeRegions: z.array(name),
});

const service = z.object({
  id: name,
  healthPath: z.string().startsWith("/"),
  /** Connections that a target accepts from all callers together. */
  maxConnections: z.number().int().min(1),
  /** Requests a second that a cold target tolerates; 0 when unknown. */
  coldRatePerS: nonNegative,
});

const organisation = z.object({
  id: name,
  /** SHA-256 of each valid key, in hex. */
  keyDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/)),
  /** Rank that takes precedence over the route's; absent for the route's. */
  priority: nonNegative.optional(),
  /** Requests a second over all hosts; 0 without a limit. */
  ratePerS: nonNegative,
  /** Requests at once beyond the rate, over all hosts. */
  burst: nonNegative,
  /** Regions that may serve the organisation; empty for all. */
  homeRegions: z.array(name),
});

const callerLimits = z.object({
  maxHeaderBytes: z.number().int().min(1),
  maxBodyBytes: nonNegative,
  headerTimeoutMs: nonNegative,
  idleTimeoutMs: nonNegative,
});

/** Schema of the document. */
export const documentSchema = z.object({
  /** Grows with each document. */
  version: nonNegative,
  routes: z.array(route),
  services: z.array(service),
  organisations: z.array(organisation),
  limits: callerLimits,
});

/** A validated document. */
export type Document = z.infer<typeof documentSchema>;
/** One route of a document. */
export type Route = Document["routes"][number];
/** One service of a document. */
export type Service = Document["services"][number];
/** One organisation of a document. */
export type Organisation = Document["organisations"][number];

/**
 * Checks references between the parts of a document.
 *
 * @returns A sentence for each problem; empty when the document is sound.
 */
export function findProblems(document: Document): string[] {
  const problems: string[] = [];
  const services = new Set(document.services.map(({ id }) => id));
  const digests = new Map<string, string>();
  for (const route of document.routes) {
    const { id, parts } = route;
    for (const { service } of parts) {
      if (!services.has(service)) {
        problems.push(`route ${id} names the unknown service ${service}`);
      }
    }
    if (parts.every(({ weight }) => weight === 0)) {
      problems.push(`route ${id} has no part with a weight`);
    }
  }
  for (const { id, keyDigests } of document.organisations) {
    for (const digest of keyDigests) {
      const other = digests.get(digest);
      if (other !== undefined && other !== id) {
        problems.push(`organisations ${other} and ${id} share a key`);
      }
      digests.set(digest, id);
    }
  }
  return problems;
}
