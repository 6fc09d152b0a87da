import { test } from "node:test";
import { openSnapshots } from "../../testing/snapshot.ts";
import { computeUsableFraction, type WindowUse } from "./window_division.ts";

const matchSnapshot = await openSnapshots(import.meta.url);

/** Uses of a window of 100 by two other hosts, beside a share of 0.4. */
const CASES: Record<string, readonly (Partial<WindowUse>)[]> = {
  "all within their shares": [{ admitted: 30 }, { admitted: 20 }],
  "one beyond its share": [{ admitted: 65 }, { admitted: 10 }],
  "one beyond what the other leaves": [{ admitted: 60 }, { admitted: 28 }],
  "all used by others": [{ admitted: 80 }, { admitted: 40 }],
  "a silent host with its share": [{ admitted: 30, isFixed: true }, {}],
  "a silent host with less": [{ admitted: 10, isFixed: true }, {}],
  "no share beside this host": [{ share: 0 }, { share: 0 }],
};

// Guards against limits that add up to more than the window after shares have
// moved, and against limits below the shares while nobody exceeds its own.
test("hosts divide what others have left of a window", (t) => {
  const fractions = Object.entries(CASES).map(([name, uses]) => {
    const fraction = computeUsableFraction(
      { ownShare: 0.4, limit: 100 },
      uses.map((use) => ({
        admitted: 0,
        share: 0.3,
        isFixed: false,
        ...use,
      })),
    );
    return `${name}: ${fraction.toFixed(3)}`;
  });
  matchSnapshot(t, fractions);
});
