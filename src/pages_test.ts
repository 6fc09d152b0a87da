import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { ERROR_RESPONSES } from "./core/errors.ts";
import { EXIT_STATUS } from "./node/exit_status.ts";
import { createMetrics } from "./node/telemetry/metrics.ts";

const ROOT_DIRECTORY = fileURLToPath(new URL("../../", import.meta.url));
const readPage = (name: string) =>
  readFileSync(join(ROOT_DIRECTORY, "docs", name), "utf8");

// Guards against error kinds, or their status, that the page lacks or
// misstates.
test("the callers' page lists each error kind with its status", () => {
  const text = readPage("CALLERS.md").replaceAll(/ +/g, " ");
  for (const [kind, { status, ran }] of Object.entries(ERROR_RESPONSES)) {
    assert.ok(text.includes(`| \`${kind}\` | ${status} | ${ran} |`), kind);
  }
});

// Guards against metrics and log events that the page does not mention.
test("the operators' page lists each metric and each log event", async () => {
  const text = readPage("OPERATIONS.md");
  for (const { name } of await createMetrics().registry.getMetricsAsJSON()) {
    assert.ok(text.includes(`\`${name}\``), name);
  }
  const directories = [
    join(ROOT_DIRECTORY, "src/node"),
    join(ROOT_DIRECTORY, "platform"),
  ];
  const sources = directories.flatMap((directory) =>
    readdirSync(directory, { recursive: true, encoding: "utf8" })
      .filter((name) => name.endsWith(".ts") && !name.endsWith("_test.ts"))
      .map((name) => readFileSync(join(directory, name), "utf8"))
  );
  const events = sources.flatMap((source) => [
    ...source.matchAll(/log\.(?:event|warn|request)\("(\w+)"/g),
  ]).map((match) => match[1]);
  assert.ok(events.length > 20);
  for (const event of events) assert.ok(text.includes(`\`${event}\``), event);
});

// Guards against exit statuses that the page does not explain.
test("the settings page lists each exit status", () => {
  const text = readPage("SETTINGS.md").replaceAll(/ +/g, " ");
  for (const [name, status] of Object.entries(EXIT_STATUS)) {
    assert.ok(text.includes(`| ${status} | \`${name}\` |`), name);
  }
});
