/**
 * Snapshots under `node:test`.
 *
 * Snapshots are kept in `__snapshots__` beside the test's source file. They
 * are written by `UPDATE_SNAPSHOTS=1 npm test`, and never when `CI` is set.
 *
 * @module
 */
import { fileURLToPath } from "node:url";
import { after, type TestContext } from "node:test";
import { SnapshotClient } from "@vitest/snapshot";
import { NodeSnapshotEnvironment } from "@vitest/snapshot/environment";

/** Compares a value with the stored snapshot of a test. */
export type MatchSnapshot = (test: TestContext, value: unknown) => void;

/**
 * Prepares snapshots for a test file.
 *
 * @param moduleUrl `import.meta.url` of the test file.
 */
export async function openSnapshots(moduleUrl: string): Promise<MatchSnapshot> {
  const compiled = fileURLToPath(moduleUrl);
  const source = compiled.replace("/dist/", "/").replace(/\.js$/, ".ts");
  const mayWrite = process.env.UPDATE_SNAPSHOTS === "1" &&
    process.env.CI === undefined;
  const client = new SnapshotClient();
  await client.setup(source, {
    updateSnapshot: mayWrite ? "all" : "none",
    snapshotEnvironment: new NodeSnapshotEnvironment({
      snapshotsDirName: "__snapshots__",
    }),
    snapshotFormat: { printBasicPrototype: false, escapeString: false },
  });
  after(async () => {
    await client.finish(source);
  });
  return (test, value) => {
    client.assert({
      received: value,
      filepath: source,
      name: test.fullName,
    });
  };
}
