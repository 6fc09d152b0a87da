import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, relative, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { test } from "node:test";

const CORE = dirname(fileURLToPath(import.meta.url)).replace("/dist/", "/");
const ALLOWED_PACKAGES = new Set(["zod"]);
const FORBIDDEN = [
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

function sourceFiles(): string[] {
  return readdirSync(CORE, { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".ts") && !name.endsWith("_test.ts"))
    .map((name) => join(CORE, name));
}

// Guards against input, output, clocks and random sources in the core.
test("core imports only itself and schema packages", () => {
  const files = sourceFiles();
  assert.ok(files.length > 10);
  const offences: string[] = [];
  for (const file of files) {
    const text = readFileSync(file, "utf8");
    for (const [, specifier] of text.matchAll(/from "([^"]+)"/g)) {
      const inside = specifier.startsWith(".") &&
        !relative(CORE, resolve(dirname(file), specifier)).startsWith("..");
      if (!inside && !ALLOWED_PACKAGES.has(specifier)) {
        offences.push(`${relative(CORE, file)} imports ${specifier}`);
      }
    }
    const code = text.replace(/\/\*[\s\S]*?\*\/|\/\/.*$/gm, "");
    for (const pattern of FORBIDDEN) {
      if (pattern.test(code)) {
        offences.push(`${relative(CORE, file)} uses ${pattern.source}`);
      }
    }
  }
  assert.deepEqual(offences, []);
});
