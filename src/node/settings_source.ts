/**
 * Settings of a running process, read again when their file changes.
 *
 * @module
 */
import { readFileSync } from "node:fs";

/** What became of a look at the file. */
export type ReloadResult =
  | { readonly type: "unchanged" }
  | { readonly type: "changed" }
  /** The file can't be used; the settings before stay in force. */
  | { readonly type: "rejected"; readonly reason: string };

/** Settings that follow a file. */
export class SettingsSource<T> {
  readonly #path: string;
  readonly #read: (path: string) => T;
  #text: string;
  #current: T;

  /**
   * Reads the file.
   *
   * @param read Reads and checks a file; throws when it can't be used.
   */
  constructor(path: string, read: (path: string) => T) {
    this.#path = path;
    this.#read = read;
    this.#current = read(path);
    this.#text = readFileSync(path, "utf8");
  }

  /** The settings in force. */
  get current(): T {
    return this.#current;
  }

  /** Looks at the file again. */
  reload(): ReloadResult {
    try {
      const text = readFileSync(this.#path, "utf8");
      if (text === this.#text) return { type: "unchanged" };
      this.#text = text;
      this.#current = this.#read(this.#path);
      return { type: "changed" };
    } catch (error) {
      return { type: "rejected", reason: (error as Error).message };
    }
  }
}
