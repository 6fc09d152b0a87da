/**
 * Record of a run and its exit status.
 *
 * @module
 */
import { writeFileSync } from "node:fs";

/** Time after which a run is given up; it may take 120 s. */
const MAX_RUN_MS = 117_000;

/** Lines of what was sent, answered and run. */
export class Record {
  readonly #lines: string[] = [];
  readonly #startMs = performance.now();

  /** Adds a line with the time since the start of the run. */
  add(text: string, atMs = performance.now()): void {
    const seconds = ((atMs - this.#startMs) / 1_000).toFixed(3);
    this.#lines.push(`${seconds.padStart(8)} s  ${text}`);
  }

  /** Adds a line without a time. */
  note(text: string): void {
    this.#lines.push(text);
  }

  write(path: string): void {
    writeFileSync(path, this.#lines.join("\n") + "\n");
  }
}

/** Whether the disruption is part of the run. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

/**
 * Runs a case and exits: with 1 if the rule was broken, 0 if it held, and 2 if
 * the case could not run.
 *
 * @param number Number of the case, which is its folder.
 * @param run Returns whether the rule was broken.
 */
export async function runCase(
  number: number,
  run: (record: Record) => Promise<boolean>,
): Promise<never> {
  const record = new Record();
  for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.once(signal, () => process.exit(2));
  }
  record.note(
    HAS_TROUBLE ? "with the disruption" : "without the disruption (TROUBLE=0)",
  );
  let status = 2;
  const timedOut = new Promise<never>((_, reject) =>
    setTimeout(() => reject(new Error("it takes too long")), MAX_RUN_MS)
  );
  try {
    status = await Promise.race([run(record), timedOut]) ? 1 : 0;
    record.note(status === 1 ? "the rule was broken" : "the rule held");
  } catch (error) {
    record.note(`could not run: ${(error as Error).stack}`);
  }
  record.write(`review/${number}/record.txt`);
  console.log(
    `case ${number}: ${["held", "broken", "could not run"][status]}`,
  );
  process.exit(status);
}
