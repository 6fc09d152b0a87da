/**
 * Command line for operators: shows the state of a host and checks documents.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { Command, CommanderError } from "commander";
import { documentSchema, findProblems } from "../../core/document/document.ts";
import { NO_POSITION } from "../../core/store/position.ts";
import { OBJECT_KINDS } from "../../core/store/types.ts";
import { ExitError, formatHelp } from "../exit_status.ts";
import { describeHost, fetchObjects } from "../peer/peer_calls.ts";

/** Time limit for the response of a host. */
const CALL_TIMEOUT_MS = 3_000;

/** Options of `runCtl`. */
export interface CtlOptions {
  /** Writes one line of output. */
  readonly print: (line: string) => void;
}

/**
 * Runs one command.
 *
 * @throws {ExitError} `usage`, `document` or `unreachable`.
 */
export async function runCtl(
  args: readonly string[],
  { print }: CtlOptions,
): Promise<void> {
  const command = new Command("cranberry-ctl")
    .description("Shows the state of entry hosts and checks documents.")
    .addHelpText(
      "after",
      formatHelp([
        "cranberry-ctl describe 192.0.2.7:7600",
        "cranberry-ctl objects 192.0.2.7:7600 targets",
        "cranberry-ctl check document.json",
      ]),
    )
    .exitOverride()
    .configureOutput({
      writeErr: () => {},
      writeOut: (text) => print(text.trimEnd()),
    });
  command.command("describe")
    .alias("status")
    .argument("<address>", "peer address of a host")
    .description("show a host's state: live hosts, versions, evacuations")
    .action(async (address: string) => {
      const description = await callHost(
        address,
        () => describeHost(address, CALL_TIMEOUT_MS),
      );
      print(JSON.stringify(description, null, 2));
    });
  command.command("objects")
    .argument("<address>", "peer address of a host")
    .argument("<kind>", OBJECT_KINDS.join(", "))
    .description("print a host's copy of the store's objects, one per line")
    .action((address: string, kind: string) =>
      printObjects({ address, kind, print })
    );
  command.command("check")
    .argument("<file>", "document in JSON")
    .description("check a document without applying it")
    .action((file: string) => checkDocument(file, print));
  try {
    await command.parseAsync(args, { from: "user" });
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error;
    if (error.exitCode !== 0) throw new ExitError("usage", error.message);
  }
}

async function printObjects(
  { address, kind, print }: {
    address: string;
    kind: string;
    print: (line: string) => void;
  },
): Promise<void> {
  const objectKind = OBJECT_KINDS.find((name) => name === kind);
  if (objectKind === undefined) {
    throw new ExitError(
      "usage",
      `unknown kind ${kind}; expected one of ${OBJECT_KINDS.join(", ")}`,
    );
  }
  const positions = new Map([[objectKind, NO_POSITION]]);
  const deltas = await callHost(
    address,
    () => fetchObjects(address, positions, CALL_TIMEOUT_MS),
  );
  for (const object of deltas.get(objectKind)?.objects ?? []) {
    print(JSON.stringify(object));
  }
}

/** Makes a call to a host and reports a failure as `unreachable`. */
async function callHost<T>(
  address: string,
  call: () => Promise<T>,
): Promise<T> {
  try {
    return await call();
  } catch (error) {
    const reason = (error as Error).message;
    throw new ExitError("unreachable", `${address}: ${reason}`);
  }
}

function checkDocument(file: string, print: (line: string) => void): void {
  let value: unknown;
  try {
    value = JSON.parse(readFileSync(file, "utf8"));
  } catch (error) {
    throw new ExitError("document", `${file}: ${(error as Error).message}`);
  }
  const parsed = documentSchema.safeParse(value);
  const problems = parsed.success
    ? findProblems(parsed.data)
    : parsed.error.issues.map(({ path, message }) =>
      `${path.join(".") || "(document)"}: ${message}`
    );
  if (problems.length > 0) {
    throw new ExitError("document", `${file}: ${problems.join("; ")}`);
  }
  print(`${file}: version ${parsed.data?.version} is valid`);
}
