/**
 * Memory that many holders share, up to a limit.
 *
 * @module
 */

/** Counts the bytes that are held at present. */
export class ByteBudget {
  readonly #limitBytes: number;
  #heldBytes = 0;

  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /** Number of bytes that are held. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Takes bytes, or none and returns false if they exceed the limit. */
  take(bytes: number): boolean {
    if (this.#heldBytes + bytes > this.#limitBytes) return false;
    this.#heldBytes += bytes;
    return true;
  }

  /** Returns bytes that were taken. */
  release(bytes: number): void {
    this.#heldBytes -= bytes;
  }
}
