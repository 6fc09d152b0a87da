/**
 * Comparison of a new version with the others at the same time.
 *
 * @module
 */
import type { Tally } from "./version_counts.ts";

/** Bad answers without which no version is found bad. */
const MIN_BAD = 4;
/** Part of bad answers below which a version is never found bad. */
const MIN_BAD_RATIO = 0.12;
/** Factor by which a bad version's part exceeds the other versions' part. */
const WORSE_FACTOR = 2.5;
/**
 * Answers on each route that show a version to be good. A version that fails
 * 40% of a route's requests passes eight answers with a chance of 2%.
 */
export const GOOD_ANSWERS = 8;
/** Part of a service's answers below which a route is not waited for. */
const MINOR_ROUTE_PART = 0.01;

/** Counts of the new version and the others by route. */
export interface Comparison {
  readonly newer: ReadonlyMap<string, Tally>;
  readonly older: ReadonlyMap<string, Tally>;
}

const NOTHING: Tally = { answers: 0, bad: 0 };

/** Returns why the new version is bad, or `undefined`. */
export function findFault({ newer, older }: Comparison): string | undefined {
  for (const [routeId, tally] of newer) {
    const reference = older.get(routeId) ?? sumOf(older);
    if (isWorse(tally, reference)) {
      return describe(`route ${routeId}`, tally, reference);
    }
  }
  const all = sumOf(newer);
  const reference = sumOf(older);
  return isWorse(all, reference)
    ? describe("all routes", all, reference)
    : undefined;
}

/** Routes of the service on which too little is known of the new version. */
export function routesWithoutEvidence({ newer, older }: Comparison): string[] {
  const all = sumOf(newer).answers + sumOf(older).answers;
  const routes = new Set([...newer.keys(), ...older.keys()]);
  return [...routes].filter((routeId) => {
    const known = newer.get(routeId)?.answers ?? 0;
    const part = (known + (older.get(routeId)?.answers ?? 0)) / all;
    return part >= MINOR_ROUTE_PART && known < GOOD_ANSWERS;
  });
}

function isWorse(tally: Tally, reference: Tally): boolean {
  if (tally.bad < MIN_BAD) return false;
  const ratio = tally.bad / tally.answers;
  // The added answers keep a reference of few answers from deciding.
  const others = (reference.bad + 1) / (reference.answers + 10);
  return ratio >= MIN_BAD_RATIO && ratio >= WORSE_FACTOR * others;
}

function sumOf(tallies: ReadonlyMap<string, Tally>): Tally {
  let sum = NOTHING;
  for (const { answers, bad } of tallies.values()) {
    sum = { answers: sum.answers + answers, bad: sum.bad + bad };
  }
  return sum;
}

function describe(what: string, tally: Tally, reference: Tally): string {
  return `${what}: ${tally.bad} of ${tally.answers} answers were bad, ` +
    `${reference.bad} of ${reference.answers} of the other versions`;
}
