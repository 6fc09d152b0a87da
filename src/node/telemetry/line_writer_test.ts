import assert from "node:assert/strict";
import { test } from "node:test";
import { LineWriter, type WriteBytes } from "./line_writer.ts";

/** Result of one write: an error, or how many bytes were written. */
type WriteResult = string | number;

function createWriter(results: WriteResult[]) {
  let output = "";
  let omittedCount = 0;
  const writeBytes: WriteBytes = (bytes, onResult) => {
    const result = results.shift();
    // A write without a result never ends.
    if (result === undefined) return;
    if (typeof result === "string") {
      const error = Object.assign(new Error(result), { code: result });
      setImmediate(() => onResult(error, 0));
      return;
    }
    const written = bytes.subarray(0, result);
    output += written.toString();
    setImmediate(() => onResult(null, written.length));
  };
  const writer = new LineWriter(writeBytes, (count) => omittedCount += count);
  return { writer, output: () => output, omittedCount: () => omittedCount };
}

// Guards against a last write that waits for a reader without a limit, and
// against a buffer that grows while nobody reads.
test("lines that nobody reads are bounded and counted", async () => {
  const { writer, omittedCount } = createWriter([]);
  const line = "x".repeat(262_143) + "\n";
  for (let i = 0; i < 6; i++) writer.write(line);
  assert.equal(omittedCount(), 2);
  assert.equal(await writer.drain(50), 4);
});

// Guards against an output that stays silent, or whose lines can't be parsed,
// after a full disk has cut a line.
test("lines after a failed write start on a line of their own", async () => {
  const { writer, output, omittedCount } = createWriter([3, "ENOSPC", 99]);
  writer.write("first\n");
  assert.equal(await writer.drain(1_000), 0);
  assert.equal(omittedCount(), 1);
  writer.write("second\n");
  assert.equal(await writer.drain(1_000), 0);
  assert.equal(output(), "fir\nsecond\n");
});

// Guards against lines that are lost as the descriptor takes nothing for a time.
test("a write is repeated when the descriptor is not ready", async () => {
  const { writer, output, omittedCount } = createWriter(["EAGAIN", 99, 99]);
  writer.write("first\n");
  writer.flush();
  writer.write("second\n");
  assert.equal(await writer.drain(1_000), 0);
  assert.deepEqual([output(), omittedCount()], ["first\nsecond\n", 0]);
});
