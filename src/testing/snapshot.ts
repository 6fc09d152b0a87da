/**
 * Snapshot tests with `node:test`.
 *
 * Snapshots are stored in `__snapshots__` beside the source file of the test.
 * `UPDATE_SNAPSHOTS=1 npm test` writes them, but never when `CI` is set.
 *
 * @module
 */
import { after, type TestContext } from "node:test";
import { fileURLToPath } from "node:url";
import { SnapshotClient } from "@vitest/snapshot";
import { NodeSnapshotEnvironment } from "@vitest/snapshot/environment";

/**
 * Compares a value with the stored snapshot of a test; throws if they differ.
 */
export type MatchSnapshot = (test: TestContext, value: unknown) => void;

/**
 * Loads the snapshots of a test file. Call it once, before the tests.
 *
 * @param moduleUrl `import.meta.url` of the test file.
 */
export async function openSnapshots(moduleUrl: string): Promise<MatchSnapshot> {
  const compiledPath = fileURLToPath(moduleUrl);
  const sourcePath = compiledPath.replace("/dist/", "/").replace(
    /\.js$/,
    ".ts",
  );
  const mayWrite = process.env.UPDATE_SNAPSHOTS === "1" &&
    process.env.CI === undefined;
  const client = new SnapshotClient();
  await client.setup(sourcePath, {
    updateSnapshot: mayWrite ? "all" : "none",
    snapshotEnvironment: new NodeSnapshotEnvironment({
      snapshotsDirName: "__snapshots__",
    }),
    snapshotFormat: { printBasicPrototype: false, escapeString: false },
  });
  after(async () => {
    await client.finish(sourcePath);
  });
  return (test, value) => {
    client.assert({
      received: value,
      filepath: sourcePath,
      name: test.fullName,
    });
  };
}
