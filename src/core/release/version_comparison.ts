/**
 * Comparison of a new version with the others at the same time.
 *
 * @module
 */
import { binomialTail } from "./binomial.ts";
import type { ResponseCounts } from "./version_counts.ts";

/**
 * Chance of a wrong reversal in one look at one route. A release of 16 s is
 * looked at 160 times, but successive looks share most answers.
 */
const MAX_CHANCE = 1e-3;
/** Chance below which a version is not yet taken as good. */
const SUSPICION_CHANCE = 0.1;
/** Factor by which the new version's part of bad answers may be higher. */
const TOLERANCE = 1.5;
/** Part of bad answers that alone never shows a version to be bad. */
const BACKGROUND_RATIO = 0.12;
/** Factor on the other versions' part of bad answers for the same test. */
const BACKGROUND_FACTOR = 2.5;
/** Answers that are added to the other versions', against chance. */
const PRIOR_ANSWERS = 10;
/**
 * Answers on each route that show a version to be good. A version that fails
 * 40% of a route's requests passes eight answers with a chance of 2%.
 */
export const MIN_RESPONSES_PER_ROUTE = 8;
/** Part of a service's answers below which a route is not waited for. */
const MINOR_ROUTE_PART = 0.01;

/** Counts of the new version and the others by route. */
export interface VersionComparison {
  readonly newer: ReadonlyMap<string, ResponseCounts>;
  readonly older: ReadonlyMap<string, ResponseCounts>;
}

const NOTHING: ResponseCounts = { answers: 0, bad: 0 };

/** Returns why the new version is bad, or `undefined`. */
export function findFault(comparison: VersionComparison): string | undefined {
  return findWorse(comparison, MAX_CHANCE);
}

/** Returns why the new version may be bad, or `undefined`. */
export function findSuspectedFault(
  comparison: VersionComparison,
): string | undefined {
  return findWorse(comparison, SUSPICION_CHANCE);
}

function findWorse(
  { newer, older }: VersionComparison,
  maxChance: number,
): string | undefined {
  for (const [routeId, tally] of newer) {
    const reference = older.get(routeId) ?? NOTHING;
    if (chanceOf(tally, reference) < maxChance) {
      return describe(`route ${routeId}`, tally, reference);
    }
  }
  const all = sumOf(newer);
  const reference = sumOf(older);
  return chanceOf(all, reference) < maxChance
    ? describe("all routes", all, reference)
    : undefined;
}

/** Routes of the service on which too little is known of the new version. */
export function findRoutesLackingResponses(
  { newer, older }: VersionComparison,
): string[] {
  const all = sumOf(newer).answers + sumOf(older).answers;
  const routes = new Set([...newer.keys(), ...older.keys()]);
  return [...routes].filter((routeId) => {
    const known = newer.get(routeId)?.answers ?? 0;
    const part = (known + (older.get(routeId)?.answers ?? 0)) / all;
    return part >= MINOR_ROUTE_PART && known < MIN_RESPONSES_PER_ROUTE;
  });
}

/**
 * Chance that a version which is not worse has this many bad answers: by its
 * part of all bad answers against its part of all answers, or by its own part
 * of bad answers against what is bad anyway. The second test decides when
 * most requests use the new version already.
 */
function chanceOf(newer: ResponseCounts, older: ResponseCounts): number {
  if (newer.bad === 0) return 1;
  const part = newer.answers / (newer.answers + older.answers);
  const fairChance = TOLERANCE * part / (1 - part + TOLERANCE * part);
  const comparison = older.answers < PRIOR_ANSWERS
    ? 1
    : binomialTail(newer.bad, newer.bad + older.bad, fairChance);
  const background = BACKGROUND_FACTOR * older.bad /
    (older.answers + PRIOR_ANSWERS);
  const alone = binomialTail(
    newer.bad,
    newer.answers,
    Math.max(BACKGROUND_RATIO, background),
  );
  return Math.min(comparison, alone);
}

function sumOf(tallies: ReadonlyMap<string, ResponseCounts>): ResponseCounts {
  let sum = NOTHING;
  for (const { answers, bad } of tallies.values()) {
    sum = { answers: sum.answers + answers, bad: sum.bad + bad };
  }
  return sum;
}

function describe(
  what: string,
  tally: ResponseCounts,
  reference: ResponseCounts,
): string {
  return `${what}: ${tally.bad} of ${tally.answers} answers were bad, ` +
    `${reference.bad} of ${reference.answers} of the other versions`;
}
