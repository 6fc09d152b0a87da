/**
 * Settings of a running process, which can be reloaded from their file.
 *
 * @module
 */
import { readFileSync } from "node:fs";

/** Result of a reload. */
export type ReloadResult =
  | { readonly type: "unchanged" }
  | { readonly type: "changed" }
  /** The file cannot be read or is invalid; the previous settings remain. */
  | {
    readonly type: "rejected";
    readonly reason: string;
    /** Whether the same file was rejected before, for the same reason. */
    readonly isRepeated: boolean;
  };

/** Holds the current settings and reloads them on request. */
export class SettingsSource<T> {
  readonly #path: string;
  readonly #read: (path: string) => T;
  #text: string;
  #current: T;
  /** Reason of the last reload if it was rejected; "" otherwise. */
  #rejectionReason = "";

  /**
   * Reads the settings for the first time.
   *
   * @param read Reads and validates a file; throws when it is not usable.
   * @throws Whatever `read` throws.
   */
  constructor(path: string, read: (path: string) => T) {
    this.#path = path;
    this.#read = read;
    this.#current = read(path);
    this.#text = readFileSync(path, "utf8");
  }

  /** The settings that were last read successfully. */
  get current(): T {
    return this.#current;
  }

  /** Reads the file again if its text has changed. */
  reload(): ReloadResult {
    try {
      const text = readFileSync(this.#path, "utf8");
      if (text === this.#text) {
        this.#rejectionReason = "";
        return { type: "unchanged" };
      }
      this.#current = this.#read(this.#path);
      this.#text = text;
      this.#rejectionReason = "";
      return { type: "changed" };
    } catch (error) {
      const reason = (error as Error).message;
      const isRepeated = reason === this.#rejectionReason;
      this.#rejectionReason = reason;
      return { type: "rejected", reason, isRepeated };
    }
  }
}
