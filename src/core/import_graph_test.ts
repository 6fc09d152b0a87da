import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, relative, resolve } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const CORE_DIRECTORY = dirname(fileURLToPath(import.meta.url)).replace(
  "/dist/",
  "/",
);
const ALLOWED_PACKAGES = new Set(["zod"]);
const FORBIDDEN_PATTERNS = [
  /\bDate\b/,
  /\bMath\.random\b/,
  /\bperformance\b/,
  /\bprocess\./,
  /\bset(Timeout|Interval|Immediate)\b/,
  /\bqueueMicrotask\b/,
  /\bfetch\(/,
  /\bBuffer\b/,
  /\bcrypto\./,
];

function listSourceFiles(): string[] {
  return readdirSync(CORE_DIRECTORY, { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".ts") && !name.endsWith("_test.ts"))
    .map((name) => join(CORE_DIRECTORY, name));
}

// Guards against input, output, clocks, timers and random sources in the core.
test("the core imports only itself and schema packages", () => {
  const files = listSourceFiles();
  assert.ok(files.length > 10);
  const violations: string[] = [];
  for (const file of files) {
    const text = readFileSync(file, "utf8");
    for (const [, specifier] of text.matchAll(/from "([^"]+)"/g)) {
      const isInCore = specifier.startsWith(".") &&
        !relative(CORE_DIRECTORY, resolve(dirname(file), specifier)).startsWith(
          "..",
        );
      if (!isInCore && !ALLOWED_PACKAGES.has(specifier)) {
        violations.push(
          `${relative(CORE_DIRECTORY, file)} imports ${specifier}`,
        );
      }
    }
    const code = text.replace(/\/\*[\s\S]*?\*\/|\/\/.*$/gm, "");
    for (const pattern of FORBIDDEN_PATTERNS) {
      if (pattern.test(code)) {
        violations.push(
          `${relative(CORE_DIRECTORY, file)} uses ${pattern.source}`,
        );
      }
    }
  }
  assert.deepEqual(violations, []);
});
