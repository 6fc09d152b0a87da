import assert from "node:assert/strict";
import { after, test } from "node:test";
import { createSettingsFolder } from "../testing/processes.ts";
import { SettingsSource } from "./settings_source.ts";

const folder = createSettingsFolder();
after(() => folder.dispose());

function parseNumber(text: string): number {
  const value = Number(text);
  if (Number.isNaN(value)) throw new Error("not a number");
  return value;
}

// Guards against an invalid file that is reported as unchanged at the next look,
// so that operators take it for accepted.
test("an invalid file is rejected until it is replaced", () => {
  const path = folder.writeText("n", "1");
  const source = new SettingsSource(path, parseNumber);
  assert.deepEqual(source.reload(), { type: "unchanged" });
  folder.writeText("n", "x");
  const rejected = { type: "rejected", reason: "not a number" };
  assert.deepEqual(source.reload(), { ...rejected, isRepeated: false });
  assert.deepEqual(source.reload(), { ...rejected, isRepeated: true });
  assert.equal(source.current, 1);
  folder.writeText("n", "1");
  assert.deepEqual(source.reload(), { type: "unchanged" });
  folder.writeText("n", "2");
  assert.deepEqual(source.reload(), { type: "changed" });
  assert.equal(source.current, 2);
});

// Guards against settings that stay outdated, as the file was replaced between
// two reads of it and then counts as unchanged.
test("a file that is replaced while it is read is read again", () => {
  const path = folder.writeText("r", "1");
  const source = new SettingsSource(path, (text) => {
    folder.writeText("r", "2");
    return parseNumber(text);
  });
  assert.equal(source.current, 1);
  assert.deepEqual(source.reload(), { type: "changed" });
  assert.equal(source.current, 2);
});
