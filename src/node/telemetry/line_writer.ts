/**
 * Buffered output of lines to a descriptor whose reader may be slow, stop to
 * read, or go away.
 *
 * @module
 */
import { fstatSync, write as writeFile } from "node:fs";
import { Socket } from "node:net";

/** Minimum of buffered bytes for a write between two flushes. */
const BATCH_BYTES = 8_192;
/** Buffered bytes above which lines are omitted. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Delay before a write is repeated that the descriptor did not take. */
const RETRY_DELAY_MS = 50;

/**
 * Writes a part of the bytes or all of them, and reports how many, or the
 * error. It never blocks the calling thread.
 */
export type WriteBytes = (
  bytes: Buffer,
  onResult: (error: NodeJS.ErrnoException | null, writtenBytes: number) => void,
) => void;

/**
 * Opens a descriptor for writing.
 *
 * A write by `fs` to a pipe or socket that nobody reads occupies a thread
 * until it is read, and the process cannot exit before. A `Socket` waits for
 * the descriptor in the event loop instead.
 */
export function openDescriptor(descriptor: number): WriteBytes {
  const stat = fstatSync(descriptor);
  const socket = stat.isFIFO() || stat.isSocket()
    ? openSocket(descriptor)
    : undefined;
  if (socket === undefined) {
    return (bytes, onResult) => writeFile(descriptor, bytes, onResult);
  }
  // Each write reports its error to its callback, too.
  socket.on("error", () => {});
  socket.unref();
  return (bytes, onResult) =>
    socket.write(bytes, (error) => onResult(error ?? null, bytes.length));
}

/** Opens a pipe or stream socket; `undefined` for a socket of another type. */
function openSocket(descriptor: number): Socket | undefined {
  try {
    return new Socket({ fd: descriptor, readable: false, writable: true });
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    if (code === "ERR_INVALID_FD_TYPE") return undefined;
    throw error;
  }
}

/** Collects lines and writes them in batches, one batch at a time. */
export class LineWriter {
  readonly #writeBytes: WriteBytes;
  readonly #onOmitted: (lineCount: number) => void;
  #lines: string[] = [];
  #bufferedBytes = 0;
  /** Number of lines in the batch that is being written; 0 without one. */
  #batchLines = 0;
  /** Whether the output ends within a line, as the rest could not be written. */
  #isLineCut = false;
  #idleCallbacks: (() => void)[] = [];

  /** @param onOmitted Called with the number of lines that are not written. */
  constructor(
    writeBytes: WriteBytes,
    onOmitted: (lineCount: number) => void,
  ) {
    this.#writeBytes = writeBytes;
    this.#onOmitted = onOmitted;
  }

  /** Adds a line, or omits it if the buffer is full. */
  write(line: string): void {
    const bytes = Buffer.byteLength(line);
    if (this.#bufferedBytes + bytes > MAX_BUFFERED_BYTES) {
      return this.#onOmitted(1);
    }
    this.#lines.push(line);
    this.#bufferedBytes += bytes;
    if (this.#bufferedBytes >= BATCH_BYTES) this.flush();
  }

  /** Starts to write the buffered lines, unless a write is in progress. */
  flush(): void {
    if (this.#batchLines > 0 || this.#lines.length === 0) return;
    const text = this.#lines.join("");
    this.#batchLines = this.#lines.length;
    this.#lines = [];
    this.#writeRest(Buffer.from(this.#isLineCut ? `\n${text}` : text));
  }

  /**
   * Writes the buffered lines and waits until all are written, for a limited
   * time.
   *
   * @returns The number of lines that were not written in time.
   */
  async drain(timeoutMs: number): Promise<number> {
    let timer: NodeJS.Timeout | undefined;
    const timedOut = new Promise<void>((resolve) => {
      timer = setTimeout(resolve, timeoutMs);
    });
    this.flush();
    await Promise.race([this.#whenIdle(), timedOut]);
    clearTimeout(timer);
    return this.#batchLines + this.#lines.length;
  }

  #whenIdle(): Promise<void> {
    if (this.#batchLines === 0) return Promise.resolve();
    return new Promise((resolve) => this.#idleCallbacks.push(resolve));
  }

  #writeRest(bytes: Buffer): void {
    this.#writeBytes(bytes, (error, writtenBytes) => {
      if (error?.code === "EAGAIN") {
        setTimeout(() => this.#writeRest(bytes), RETRY_DELAY_MS);
      } else if (error !== null) {
        this.#onOmitted(this.#batchLines);
        this.#endBatch();
      } else {
        const rest = bytes.subarray(writtenBytes);
        this.#isLineCut = rest.length > 0;
        if (rest.length > 0) this.#writeRest(rest);
        else this.#endBatch();
      }
    });
  }

  #endBatch(): void {
    this.#batchLines = 0;
    this.#bufferedBytes = this.#lines.reduce(
      (sum, line) => sum + Buffer.byteLength(line),
      0,
    );
    if (this.#bufferedBytes >= BATCH_BYTES || this.#idleCallbacks.length > 0) {
      this.flush();
    }
    if (this.#batchLines > 0) return;
    for (const resolve of this.#idleCallbacks.splice(0)) resolve();
  }
}
