import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { ERROR_RESPONSES } from "./core/errors.ts";
import { EXIT_STATUS } from "./node/exit_status.ts";
import { createMetrics } from "./node/telemetry/metrics.ts";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));
const page = (name: string) => readFileSync(join(ROOT, "docs", name), "utf8");

// Guards against answers that callers can't look up.
test("the callers' page has each error kind with its answer", () => {
  const text = page("CALLERS.md").replaceAll(/ +/g, " ");
  for (const [kind, { status, ran }] of Object.entries(ERROR_RESPONSES)) {
    assert.ok(text.includes(`| \`${kind}\` | ${status} | ${ran} |`), kind);
  }
});

// Guards against metrics and log lines that operators can't look up.
test("the operators' page has each metric and each event", async () => {
  const text = page("OPERATIONS.md");
  for (const { name } of await createMetrics().registry.getMetricsAsJSON()) {
    assert.ok(text.includes(`\`${name}\``), name);
  }
  const folders = [join(ROOT, "src/node"), join(ROOT, "platform")];
  const sources = folders.flatMap((folder) =>
    readdirSync(folder, { recursive: true, encoding: "utf8" })
      .filter((name) => name.endsWith(".ts") && !name.endsWith("_test.ts"))
      .map((name) => readFileSync(join(folder, name), "utf8"))
  );
  const events = sources.flatMap((source) => [
    ...source.matchAll(/log\.(?:event|warn|request)\("(\w+)"/g),
  ]).map((match) => match[1]);
  assert.ok(events.length > 20);
  for (const event of events) assert.ok(text.includes(`\`${event}\``), event);
});

// Guards against exit statuses that scripts can't look up.
test("the page of settings has each exit status", () => {
  const text = page("SETTINGS.md").replaceAll(/ +/g, " ");
  for (const [name, status] of Object.entries(EXIT_STATUS)) {
    assert.ok(text.includes(`| ${status} | \`${name}\` |`), name);
  }
});
