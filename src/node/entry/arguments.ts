/**
 * Command line of an entry host.
 *
 * @module
 */
import { ExitError, formatHelp } from "../exit_status.ts";

/** Parsed arguments of the command line. */
export interface EntryArguments {
  /** Whether to check the settings and exit without starting the host. */
  readonly isCheckOnly: boolean;
}

/**
 * Parses the command line. The parser is loaded only if there are arguments, to
 * keep the start of a host fast. A request for help exits the process.
 *
 * @throws {ExitError} `usage`.
 */
export async function parseEntryArguments(
  args: readonly string[],
): Promise<EntryArguments> {
  if (args.length === 0) return { isCheckOnly: false };
  const { Command, CommanderError } = await import("commander");
  const command = new Command("cranberry-entry")
    .description("Runs an entry host, which serves lookups and requests.")
    .option("--check", "check the settings file and exit")
    .addHelpText("after", formatHelp(["cranberry-entry --check"]))
    .exitOverride()
    .configureOutput({ writeErr: () => {} });
  try {
    command.parse(args, { from: "user" });
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error;
    if (error.exitCode === 0) process.exit(0);
    throw new ExitError("usage", error.message);
  }
  return { isCheckOnly: command.opts<{ check?: boolean }>().check === true };
}
