import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ByteBuffer } from "./byte_buffer.ts";

// Guards against bytes that are lost or moved when the buffer grows, and against
// a view that later bytes change.
test("holds all bytes in their order", () => {
  fc.assert(
    fc.property(fc.array(fc.uint8Array({ maxLength: 3_000 })), (chunks) => {
      const buffer = new ByteBuffer();
      const views: Buffer[] = [];
      for (const chunk of chunks) {
        buffer.append(Buffer.from(chunk));
        views.push(buffer.view());
      }
      chunks.forEach((_, i) => {
        const expected = Buffer.concat(chunks.slice(0, i + 1));
        assert.deepEqual(views[i], expected);
      });
      buffer.clear();
      assert.equal(buffer.length, 0);
    }),
    { numRuns: 50 },
  );
});

// Guards against small parts that keep the memory of the reads they came in.
test("keeps no memory of the chunks", () => {
  const buffer = new ByteBuffer();
  for (let n = 0; n < 1_000; n++) {
    buffer.append(Buffer.alloc(65_536).subarray(0, 1));
  }
  assert.ok(buffer.view().buffer.byteLength <= 2_048);
});
