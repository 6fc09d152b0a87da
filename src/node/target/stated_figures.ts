/**
 * Reads the figures that a target states of itself in the headers of a
 * response.
 *
 * A header may gain further figures at any time. The known ones are read and
 * what was not read is named in the result, so that it can be counted: a header
 * that is dropped as a whole takes the load of all targets from the estimates.
 *
 * @module
 */
import type { LoadReport } from "../../core/targets/types.ts";
import type { HeaderNames } from "../header_names.ts";
import type { ResponseHead } from "./types.ts";

/** Headers with figures, by what they state. */
type FigureHeader = "load" | "limitPerS" | "coldForMs";

/** A header of a response that was not read as a whole. */
export interface UnreadFigures {
  /** What the header states. */
  readonly header: FigureHeader;
  /** Further figures follow the known ones, or a known one is malformed. */
  readonly reason: "further" | "malformed";
}

/** Figures that a response states; those that it does not are absent. */
export interface StatedFigures {
  readonly load?: LoadReport;
  /** Requests per second that the target accepts from all hosts together. */
  readonly limitPerS?: number;
  /** Remaining cold start of the target. */
  readonly coldForMs?: number;
  /** Headers of which a part was not read. */
  readonly unread: readonly UnreadFigures[];
}

/**
 * Number of figures of the load that are known: running, waiting, slots, and the
 * pace, which only some targets state.
 */
const LOAD_FIGURES = 4;
const MIN_LOAD_FIGURES = 3;
/** Whole numbers, so that a sum of them stays exact. */
const WHOLE_FIGURE = /^\d{1,9}$/;
const DECIMAL_FIGURE = /^\d{1,9}(?:\.\d{1,9})?$/;

/** Reads the figures of a response; an absent response states none. */
export function readStatedFigures(
  head: ResponseHead | undefined,
  headerNames: HeaderNames,
): StatedFigures {
  const unread: UnreadFigures[] = [];
  if (head === undefined) return { unread };
  /** Reads up to `count` figures; fewer are enough from `minCount` on. */
  const read = (
    header: FigureHeader,
    format: RegExp,
    count: number,
    minCount = count,
  ) => {
    const value = findHeader(head, headerNames[header]);
    if (value === undefined) return undefined;
    const figures = value.split(",").map((figure) => figure.trim());
    const known = figures.slice(0, count);
    let wellFormed = known.findIndex((text) => !format.test(text));
    if (wellFormed < 0) wellFormed = known.length;
    if (wellFormed < known.length || known.length < minCount) {
      unread.push({ header, reason: "malformed" });
    } else if (figures.length > count) {
      unread.push({ header, reason: "further" });
    }
    if (wellFormed < minCount) return undefined;
    return known.slice(0, wellFormed).map(Number);
  };
  const load = read("load", WHOLE_FIGURE, LOAD_FIGURES, MIN_LOAD_FIGURES);
  const limit = read("limitPerS", DECIMAL_FIGURE, 1);
  const cold = read("coldForMs", DECIMAL_FIGURE, 1);
  return {
    load: load && {
      running: load[0],
      waiting: load[1],
      slots: load[2],
      // A pace of 0 is none, as no work takes no time.
      ...(load[3] > 0 ? { pacePercent: load[3] } : {}),
    },
    limitPerS: limit?.[0],
    // A target that is not cold states 0 or nothing.
    coldForMs: cold?.[0] || undefined,
    unread,
  };
}

/** Finds the value of a header; an empty name is never found. */
export function findHeader(
  head: ResponseHead,
  name: string,
): string | undefined {
  return findHeaders(head, name)[0];
}

/** Finds all values of a header. */
export function findHeaders(
  { rawHeaders }: ResponseHead,
  name: string,
): string[] {
  if (name === "") return [];
  const values: string[] = [];
  for (let i = 0; i < rawHeaders.length; i += 2) {
    if (rawHeaders[i].toLowerCase() === name) values.push(rawHeaders[i + 1]);
  }
  return values;
}
