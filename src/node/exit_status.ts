/**
 * Exit statuses of the programs and the error that carries one.
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

/** Ends a program with one line on standard error and an exit status. */
export class ExitError extends VError {
  readonly exitName: ExitName;

  constructor(exitName: ExitName, message: string) {
    super({ name: "ExitError" }, "%s", message);
    this.exitName = exitName;
  }
}

/** Runs a program and turns its errors into one line and an exit status. */
export async function runProgram(
  name: string,
  main: () => Promise<void>,
): Promise<void> {
  try {
    await main();
  } catch (error) {
    const exitName = error instanceof ExitError ? error.exitName : "internal";
    const text = error instanceof ExitError
      ? error.message
      : String(error instanceof Error ? error.stack : error);
    process.stderr.write(`${name}: ${text}\n`);
    process.exit(EXIT_STATUS[exitName]);
  }
}

/** Help text with examples and all exit statuses. */
export function formatHelp(examples: readonly string[]): string {
  const statuses = Object.entries(EXIT_STATUS)
    .map(([name, status]) => `  ${status}  ${name}`);
  return [
    "",
    "Examples:",
    ...examples.map((example) => `  ${example}`),
    "",
    "Exit statuses:",
    ...statuses,
  ].join("\n");
}
