/**
 * Command line of an entry host.
 *
 * @module
 */
import { ExitError, formatHelp } from "../exit_status.ts";

/** What the command line asks for. */
export interface EntryArguments {
  /** Whether the settings are checked and nothing is started. */
  readonly checkOnly: boolean;
}

/**
 * Parses the command line. The parser is loaded only when there are arguments,
 * as each start of a host pays for what it loads.
 *
 * @throws {ExitError} `usage`.
 */
export async function parseEntryArguments(
  args: readonly string[],
): Promise<EntryArguments> {
  if (args.length === 0) return { checkOnly: false };
  const { Command, CommanderError } = await import("commander");
  const command = new Command("cranberry-entry")
    .description("Serves look-ups and requests on one host.")
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
  return { checkOnly: command.opts<{ check?: boolean }>().check === true };
}
