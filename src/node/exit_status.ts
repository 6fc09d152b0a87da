/**
 * Exit statuses of the programs, and the error that ends a program with one.
 *
 * @module
 */
import VError from "verror";

/** Exit statuses, the same for every program. */
export const EXIT_STATUS = {
  ok: 0,
  internal: 1,
  usage: 2,
  settings: 3,
  document: 4,
  addressInUse: 5,
  unreachable: 6,
} as const;

/** Name of an exit status. */
export type ExitName = keyof typeof EXIT_STATUS;

/** Error that ends a program with one line on standard error. */
export class ExitError extends VError {
  readonly exitName: ExitName;

  constructor(exitName: ExitName, message: string) {
    super({ name: "ExitError" }, "%s", message);
    this.exitName = exitName;
  }
}

/**
 * Runs a program. An error is written to standard error and ends the process
 * with its exit status; any error but `ExitError` is `internal` and is written
 * with its stack.
 *
 * The line is lost if nobody reads standard error; the process ends all the
 * same.
 *
 * @param name Name of the program, which starts the line.
 * @param onFailure Called before the process ends with an error.
 */
export async function runProgram(
  name: string,
  main: () => Promise<void>,
  onFailure?: (exitName: ExitName, reason: string) => Promise<void>,
): Promise<void> {
  process.stderr.on("error", () => {});
  try {
    await main();
  } catch (error) {
    const exitName = error instanceof ExitError ? error.exitName : "internal";
    const message = error instanceof ExitError
      ? error.message
      : String(error instanceof Error ? error.stack : error);
    process.stderr.write(`${name}: ${message}\n`);
    await onFailure?.(exitName, message);
    process.exit(EXIT_STATUS[exitName]);
  }
}

/** Formats the end of a help text: examples and all exit statuses. */
export function formatHelp(examples: readonly string[]): string {
  const statusLines = Object.entries(EXIT_STATUS)
    .map(([name, status]) => `  ${status}  ${name}`);
  return [
    "",
    "Examples:",
    ...examples.map((example) => `  ${example}`),
    "",
    "Exit statuses:",
    ...statusLines,
  ].join("\n");
}
