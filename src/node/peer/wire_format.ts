/**
 * Reads and writes the binary format of Protobuf.
 *
 * @module
 */

/** Types of the values on the wire; groups are not supported. */
export const WIRE_TYPES = {
  varint: 0,
  fixed64: 1,
  lengthDelimited: 2,
  fixed32: 5,
} as const;

/** Longest varint, which holds 64 bits. */
const MAX_VARINT_BYTES = 10;
const MAX_UINT32 = 0xffff_ffff;
const INITIAL_BYTES = 2_048;

/** Reads values one after the other. */
export class MessageReader {
  readonly #buffer: Buffer;
  #at = 0;
  /** End of the message that is being read. */
  #end: number;

  constructor(bytes: Uint8Array) {
    this.#buffer = Buffer.from(
      bytes.buffer,
      bytes.byteOffset,
      bytes.byteLength,
    );
    this.#end = bytes.byteLength;
  }

  /** Whether the message that is being read is complete. */
  get isAtEnd(): boolean {
    return this.#at >= this.#end;
  }

  /** Reads a varint and returns its low 32 bits. */
  uint32(): number {
    let value = 0;
    for (let i = 0; i < MAX_VARINT_BYTES; i++) {
      const byte = this.#buffer[this.#advance(1)];
      if (i < 5) value |= (byte & 0x7f) << (7 * i);
      if (byte < 0x80) return value >>> 0;
    }
    throw new RangeError("a number is too long");
  }

  /** Reads a varint and returns whether it is not 0. */
  bool(): boolean {
    let isTrue = false;
    for (let i = 0; i < MAX_VARINT_BYTES; i++) {
      const byte = this.#buffer[this.#advance(1)];
      isTrue ||= (byte & 0x7f) !== 0;
      if (byte < 0x80) return isTrue;
    }
    throw new RangeError("a number is too long");
  }

  fixed32(): number {
    return this.#buffer.readUInt32LE(this.#advance(4));
  }

  float(): number {
    return this.#buffer.readFloatLE(this.#advance(4));
  }

  double(): number {
    return this.#buffer.readDoubleLE(this.#advance(8));
  }

  string(): string {
    const length = this.uint32();
    const start = this.#advance(length);
    return this.#buffer.toString("utf8", start, start + length);
  }

  /** Returns a view of the bytes. */
  bytes(): Uint8Array {
    const length = this.uint32();
    const start = this.#advance(length);
    const { buffer, byteOffset } = this.#buffer;
    return new Uint8Array(buffer, byteOffset + start, length);
  }

  /** Begins a message in this one. Returns the end of this one. */
  enter(): number {
    const length = this.uint32();
    const end = this.#end;
    if (length > end - this.#at) throw new RangeError("a message is cut short");
    this.#end = this.#at + length;
    return end;
  }

  /** Ends a message that `enter` began, at whose end the reader is. */
  leave(end: number): void {
    this.#end = end;
  }

  /** Skips a value. */
  skip(wireType: number): void {
    switch (wireType) {
      case WIRE_TYPES.varint:
        return void this.bool();
      case WIRE_TYPES.fixed64:
        return void this.#advance(8);
      case WIRE_TYPES.lengthDelimited:
        return void this.#advance(this.uint32());
      case WIRE_TYPES.fixed32:
        return void this.#advance(4);
      default:
        throw new RangeError(`wire type ${wireType} is not supported`);
    }
  }

  /** Moves on by a number of bytes. Returns the position before. */
  #advance(length: number): number {
    const start = this.#at;
    if (length > this.#end - start) {
      throw new RangeError("a message is cut short");
    }
    this.#at = start + length;
    return start;
  }
}

/** Writes values one after the other. */
export class MessageWriter {
  #buffer = Buffer.allocUnsafe(INITIAL_BYTES);
  #length = 0;

  /** Returns what was written. */
  finish(): Uint8Array {
    return this.#buffer.subarray(0, this.#length);
  }

  tag(fieldNumber: number, wireType: number): void {
    this.uint32((fieldNumber << 3) | wireType);
  }

  uint32(value: number): void {
    if (!Number.isInteger(value) || value < 0 || value > MAX_UINT32) {
      throw new RangeError(`${value} is no uint32`);
    }
    this.#reserve(5);
    let rest = value;
    while (rest > 0x7f) {
      this.#buffer[this.#length++] = (rest & 0x7f) | 0x80;
      rest >>>= 7;
    }
    this.#buffer[this.#length++] = rest;
  }

  fixed32(value: number): void {
    this.#reserve(4);
    this.#length = this.#buffer.writeUInt32LE(value, this.#length);
  }

  float(value: number): void {
    this.#reserve(4);
    this.#length = this.#buffer.writeFloatLE(value, this.#length);
  }

  double(value: number): void {
    this.#reserve(8);
    this.#length = this.#buffer.writeDoubleLE(value, this.#length);
  }

  string(value: string): void {
    const start = this.fork();
    // A character takes three bytes at most, and one outside of the basic plane
    // four, which counts as two.
    this.#reserve(3 * value.length);
    this.#length += this.#buffer.write(value, this.#length, "utf8");
    this.join(start);
  }

  bytes(value: Uint8Array): void {
    this.uint32(value.length);
    this.#reserve(value.length);
    this.#buffer.set(value, this.#length);
    this.#length += value.length;
  }

  /** Begins a part that its length precedes. Returns its start for `join`. */
  fork(): number {
    // Most parts are shorter than 128 bytes, whose length takes one byte.
    this.#reserve(1);
    this.#length += 1;
    return this.#length;
  }

  /** Ends a part and writes its length before it. */
  join(start: number): void {
    const length = this.#length - start;
    let lengthBytes = 1;
    while (length >= 2 ** (7 * lengthBytes)) lengthBytes += 1;
    this.#reserve(lengthBytes - 1);
    if (lengthBytes > 1) {
      this.#buffer.copyWithin(start + lengthBytes - 1, start, this.#length);
    }
    this.#length = start - 1;
    this.uint32(length);
    this.#length += length;
  }

  #reserve(byteCount: number): void {
    const required = this.#length + byteCount;
    if (required <= this.#buffer.length) return;
    const buffer = Buffer.allocUnsafe(
      Math.max(required, 2 * this.#buffer.length),
    );
    this.#buffer.copy(buffer, 0, 0, this.#length);
    this.#buffer = buffer;
  }
}
