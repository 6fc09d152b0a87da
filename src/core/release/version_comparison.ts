/**
 * Compares the responses of a new version with those of the other versions in
 * the same time.
 *
 * @module
 */
import { binomialTail } from "./binomial.ts";
import type { ResponseCounts } from "./version_counts.ts";

/**
 * P-value below which a version is bad. It is the probability of a wrong
 * rollback in one evaluation of one route. A release of 16 s is evaluated 160
 * times, but successive evaluations share most responses.
 */
const FAULT_P_VALUE = 1e-3;
/** P-value below which a version is not yet found good. */
const SUSPICION_P_VALUE = 0.1;
/**
 * Tolerated ratio of the new version's fraction of bad responses to that of
 * the other versions.
 */
const TOLERATED_BAD_RATIO = 1.5;
/** Fraction of bad responses up to which it alone does not show a fault. */
const BACKGROUND_BAD_FRACTION = 0.12;
/**
 * Ratio of a version's fraction of bad responses to that of the others up to
 * which it alone does not show a fault.
 */
const BACKGROUND_BAD_RATIO = 2.5;
/**
 * Responses that are added to those of the other versions, so that few of them
 * weigh little. With fewer than these the versions are not compared.
 */
const PRIOR_RESPONSES = 10;
/**
 * Responses on each route that are needed to find a version good. A version
 * that fails 40% of a route's requests has eight good responses in a row with
 * a probability of 2%.
 */
export const MIN_RESPONSES_PER_ROUTE = 8;
/**
 * Fraction of a service's responses below which a route needs none for the
 * version to be found good.
 */
const MINOR_ROUTE_FRACTION = 0.01;

/** Responses of the new version and of all others, by route. */
export interface VersionComparison {
  readonly newVersionCounts: ReadonlyMap<string, ResponseCounts>;
  readonly otherVersionCounts: ReadonlyMap<string, ResponseCounts>;
}

const NO_RESPONSES: ResponseCounts = { answers: 0, bad: 0 };

/** Returns why the new version is bad, or `undefined` without a fault. */
export function findFault(comparison: VersionComparison): string | undefined {
  return findDifference(comparison, FAULT_P_VALUE);
}

/** Returns why the new version may be bad, or `undefined`. */
export function findSuspectedFault(
  comparison: VersionComparison,
): string | undefined {
  return findDifference(comparison, SUSPICION_P_VALUE);
}

/** Describes the first route, or all routes together, with a lower p-value. */
function findDifference(
  { newVersionCounts, otherVersionCounts }: VersionComparison,
  maxPValue: number,
): string | undefined {
  for (const [routeId, counts] of newVersionCounts) {
    const reference = otherVersionCounts.get(routeId) ?? NO_RESPONSES;
    if (computePValue(counts, reference) < maxPValue) {
      return describeDifference(`route ${routeId}`, counts, reference);
    }
  }
  const total = sumCounts(newVersionCounts);
  const reference = sumCounts(otherVersionCounts);
  return computePValue(total, reference) < maxPValue
    ? describeDifference("all routes", total, reference)
    : undefined;
}

/**
 * Returns the routes on which the new version has too few responses to be
 * found good.
 */
export function findRoutesLackingResponses(
  { newVersionCounts, otherVersionCounts }: VersionComparison,
): string[] {
  const total = sumCounts(newVersionCounts).answers +
    sumCounts(otherVersionCounts).answers;
  const routes = new Set([
    ...newVersionCounts.keys(),
    ...otherVersionCounts.keys(),
  ]);
  return [...routes].filter((routeId) => {
    const responses = newVersionCounts.get(routeId)?.answers ?? 0;
    const routeFraction =
      (responses + (otherVersionCounts.get(routeId)?.answers ?? 0)) / total;
    return routeFraction >= MINOR_ROUTE_FRACTION &&
      responses < MIN_RESPONSES_PER_ROUTE;
  });
}

/**
 * Returns the probability that a version which is no worse than tolerated has
 * at least this many bad responses. It is the lower result of two tests. The
 * first compares the version's fraction of all bad responses with its fraction
 * of all responses. The second compares its own fraction of bad responses with
 * the background, and decides when most requests use the new version already.
 */
function computePValue(
  counts: ResponseCounts,
  reference: ResponseCounts,
): number {
  if (counts.bad === 0) return 1;
  const trafficShare = counts.answers / (counts.answers + reference.answers);
  const toleratedBadFraction = TOLERATED_BAD_RATIO * trafficShare /
    (1 - trafficShare + TOLERATED_BAD_RATIO * trafficShare);
  const comparativePValue = reference.answers < PRIOR_RESPONSES
    ? 1
    : binomialTail(
      counts.bad,
      counts.bad + reference.bad,
      toleratedBadFraction,
    );
  const backgroundBadFraction = BACKGROUND_BAD_RATIO * reference.bad /
    (reference.answers + PRIOR_RESPONSES);
  const backgroundPValue = binomialTail(
    counts.bad,
    counts.answers,
    Math.max(BACKGROUND_BAD_FRACTION, backgroundBadFraction),
  );
  return Math.min(comparativePValue, backgroundPValue);
}

function sumCounts(
  countsByRoute: ReadonlyMap<string, ResponseCounts>,
): ResponseCounts {
  let sum = NO_RESPONSES;
  for (const { answers, bad } of countsByRoute.values()) {
    sum = { answers: sum.answers + answers, bad: sum.bad + bad };
  }
  return sum;
}

function describeDifference(
  scope: string,
  counts: ResponseCounts,
  reference: ResponseCounts,
): string {
  return `${scope}: ${counts.bad} of ${counts.answers} responses were bad, ` +
    `against ${reference.bad} of ${reference.answers} from other versions`;
}
