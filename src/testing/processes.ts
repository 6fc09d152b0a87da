/**
 * Starts the project's programs as processes for tests and the demo.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { stringify } from "smol-toml";

const DIST = fileURLToPath(new URL("../../", import.meta.url));

/** A started program. */
export interface RunningProgram {
  readonly process: ChildProcess;
  /** What it has written to both outputs, in the order of arrival. */
  output(): string;
  /** What it has written to standard output. */
  standardOutput(): string;
  /** What it has written to standard error. */
  errors(): string;
  /** Resolves when the output holds the text. Rejects when it exits first. */
  waitForOutput(text: string, timeoutMs?: number): Promise<void>;
  /** Resolves with its exit status, or `null` after a signal. */
  readonly exited: Promise<number | null>;
  /** Sends a signal and waits for the end. */
  stop(signal?: NodeJS.Signals): Promise<number | null>;
}

/** Starts a compiled program such as `bin/cranberry_entry.js`. */
export function startProgram(
  path: string,
  args: readonly string[],
  options: { env?: Record<string, string> } = {},
): RunningProgram {
  const child = spawn(process.execPath, [join(DIST, path), ...args], {
    stdio: ["ignore", "pipe", "pipe"],
    env: { ...process.env, ...options.env },
  });
  let text = "";
  let outputText = "";
  let errorText = "";
  const listeners = new Set<() => void>();
  const append = (chunk: Buffer) => {
    text += chunk.toString("utf8");
    for (const listener of [...listeners]) listener();
  };
  child.stdout.on("data", (chunk: Buffer) => {
    outputText += chunk.toString("utf8");
    append(chunk);
  });
  child.stderr.on("data", (chunk: Buffer) => {
    errorText += chunk.toString("utf8");
    append(chunk);
  });
  const exited = new Promise<number | null>((resolve) =>
    child.once("close", (code) => {
      resolve(code);
      for (const listener of [...listeners]) listener();
    })
  );
  return {
    process: child,
    output: () => text,
    standardOutput: () => outputText,
    errors: () => errorText,
    exited,
    waitForOutput(wanted, timeoutMs = 20_000) {
      return new Promise((resolve, reject) => {
        const finish = (error?: Error) => {
          listeners.delete(check);
          clearTimeout(timer);
          if (error === undefined) resolve();
          else reject(error);
        };
        const check = () => {
          if (text.includes(wanted)) finish();
          else if (child.exitCode !== null) {
            finish(new Error(`${path} exited: ${text}`));
          }
        };
        const timer = setTimeout(
          () => finish(new Error(`${path} did not print '${wanted}': ${text}`)),
          timeoutMs,
        );
        listeners.add(check);
        check();
      });
    },
    async stop(signal = "SIGTERM") {
      child.kill(signal);
      return await exited;
    },
  };
}

/**
 * Ports below those that the system gives to outgoing connections. One of
 * those could be taken between the look here and the start of a program.
 */
const FIRST_PORT = 12_000;
const LAST_PORT = 32_000;

/** Returns free ports on the loopback address. */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  let port = FIRST_PORT +
    Math.floor(Math.random() * (LAST_PORT - FIRST_PORT - 2 * count));
  while (ports.length < count) {
    if (await isFree(port)) ports.push(port);
    port += 1;
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}

/** A folder for settings files that is removed at the end. */
export interface SettingsFolder {
  readonly path: string;
  /** Writes a settings file and returns its path. */
  write(name: string, settings: Record<string, unknown>): string;
  /** Writes a text file and returns its path. */
  writeText(name: string, text: string): string;
  dispose(): void;
}

/** Creates a folder for settings files. */
export function createSettingsFolder(): SettingsFolder {
  const folder = mkdtempSync(join(tmpdir(), "cranberryhoist-"));
  const writeText = (name: string, text: string) => {
    const path = join(folder, name);
    writeFileSync(path, text);
    return path;
  };
  return {
    path: folder,
    write: (name, settings) => writeText(name, stringify(settings)),
    writeText,
    dispose: () => rmSync(folder, { recursive: true, force: true }),
  };
}

/** Waits until a condition holds. Rejects after the time-out. */
export async function waitFor<T>(
  condition: () => Promise<T | undefined> | T | undefined,
  options: { what?: string; timeoutMs?: number } = {},
): Promise<T> {
  const { what = "condition", timeoutMs = 20_000 } = options;
  const endMs = performance.now() + timeoutMs;
  for (;;) {
    const value = await condition();
    if (value !== undefined && value !== false) return value;
    if (performance.now() > endMs) throw new Error(`timed out: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

/** Destroys a socket without an error event. */
export function dropSocket(socket: Socket): void {
  socket.on("error", () => {});
  socket.destroy();
}
