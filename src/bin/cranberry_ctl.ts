#!/usr/bin/env node
/**
 * Entry point of `cranberry-ctl`, the command line for operators.
 *
 * @module
 */
import { runCtl } from "../node/ctl/program.ts";
import { runProgram } from "../node/exit_status.ts";

await runProgram(
  "cranberry-ctl",
  () =>
    runCtl(process.argv.slice(2), {
      print: (line) => process.stdout.write(`${line}\n`),
    }),
);
