/**
 * A growing buffer of received bytes.
 *
 * A list of the received chunks would keep the memory that each is a part of:
 * for a chunk of one byte, up to the 64 KiB that were read from the socket.
 *
 * @module
 */

const MIN_CAPACITY_BYTES = 1_024;
/** Up to this size, a loop copies faster than a call of `Buffer.copy`. */
const MAX_LOOP_BYTES = 32;

/** Collects bytes in memory of its own. */
export class ByteBuffer {
  #bytes = Buffer.alloc(0);
  #length = 0;

  /** Number of bytes. */
  get length(): number {
    return this.#length;
  }

  /** Copies a chunk, or the part of it between two offsets, to the end. */
  append(chunk: Buffer, start = 0, end = chunk.length): void {
    const length = this.#length + end - start;
    if (length > this.#bytes.length) {
      const capacity = Math.max(
        MIN_CAPACITY_BYTES,
        length,
        // An empty buffer fits its first chunk, which is often the only one.
        2 * this.#length,
      );
      // Not from the pool of Node.js, as the buffer is kept for some time.
      const grown = Buffer.allocUnsafeSlow(capacity);
      this.#bytes.copy(grown, 0, 0, this.#length);
      this.#bytes = grown;
    }
    if (end - start > MAX_LOOP_BYTES) {
      chunk.copy(this.#bytes, this.#length, start, end);
    } else {
      for (let i = start; i < end; i++) {
        this.#bytes[this.#length + i - start] = chunk[i];
      }
    }
    this.#length = length;
  }

  /** Returns the bytes, which later appends do not change. */
  view(): Buffer {
    return this.#bytes.subarray(0, this.#length);
  }

  /** Removes all bytes and releases their memory. */
  clear(): void {
    this.#bytes = Buffer.alloc(0);
    this.#length = 0;
  }
}
