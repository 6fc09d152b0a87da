/**
 * Settings of a running process, which can be reloaded from their file.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { monotonicMs } from "./clock.ts";
import { ExitError } from "./exit_status.ts";

/** Delay before the file is read again at the start. */
const RETRY_DELAY_MS = 50;

/** Parses and validates the text of a file; throws when it is not usable. */
export type ParseSettings<T> = (text: string, path: string) => T;

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
  readonly #parse: ParseSettings<T>;
  #text: string;
  #current: T;
  /** Reason of the last reload if it was rejected; "" otherwise. */
  #rejectionReason = "";

  /**
   * Reads the settings for the first time.
   *
   * @throws {ExitError} `settings` if the file cannot be read.
   * @throws Whatever `parse` throws.
   */
  constructor(path: string, parse: ParseSettings<T>) {
    this.#path = path;
    this.#parse = parse;
    this.#text = this.#readText();
    this.#current = parse(this.#text, path);
  }

  /**
   * Reads the settings for the first time, and again for a time while the file
   * is not usable: it may be missing or incomplete while it is written.
   *
   * @throws As the constructor, after the time has passed.
   */
  static async open<T>(
    path: string,
    parse: ParseSettings<T>,
    { waitMs, onWait }: {
      readonly waitMs: number;
      /** Called once if the file is not usable at first. */
      readonly onWait: (reason: string) => void;
    },
  ): Promise<SettingsSource<T>> {
    const deadlineMs = monotonicMs() + waitMs;
    for (let isFirst = true;; isFirst = false) {
      try {
        return new SettingsSource(path, parse);
      } catch (error) {
        if (monotonicMs() >= deadlineMs) throw error;
        if (isFirst) onWait((error as Error).message);
        await sleep(RETRY_DELAY_MS);
      }
    }
  }

  /** The settings that were last read successfully. */
  get current(): T {
    return this.#current;
  }

  /** Reads the file again if its text has changed. */
  reload(): ReloadResult {
    try {
      const text = this.#readText();
      if (text === this.#text) {
        this.#rejectionReason = "";
        return { type: "unchanged" };
      }
      this.#current = this.#parse(text, this.#path);
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

  #readText(): string {
    try {
      return readFileSync(this.#path, "utf8");
    } catch (error) {
      const { message } = error as Error;
      throw new ExitError("settings", `${this.#path}: ${message}`);
    }
  }
}
