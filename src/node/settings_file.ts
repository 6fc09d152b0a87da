/**
 * Reads and validates TOML settings files.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { parse, TomlError } from "smol-toml";
import type { z } from "zod";
import { ExitError } from "./exit_status.ts";

/**
 * Reads a settings file and validates it against a schema.
 *
 * @throws {ExitError} `settings`, with the path and every invalid field.
 */
export function readSettings<T>(path: string, schema: z.ZodType<T>): T {
  let text: string;
  try {
    text = readFileSync(path, "utf8");
  } catch (error) {
    throw new ExitError(
      "settings",
      `cannot read settings file ${path}: ${(error as Error).message}`,
    );
  }
  let value: unknown;
  try {
    value = parse(text);
  } catch (error) {
    const position = error instanceof TomlError
      ? `:${error.line}:${error.column}`
      : "";
    const reason = (error as Error).message.split("\n")[0];
    throw new ExitError("settings", `${path}${position}: ${reason}`);
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const problems = parsed.error.issues.map((issue) =>
    `${issue.path.join(".") || "(file)"}: ${issue.message}`
  );
  throw new ExitError("settings", `${path}: ${problems.join("; ")}`);
}
