/**
 * Starts the project's programs as processes, with free ports and settings
 * files, for tests, the demo and the soak.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { stringify } from "smol-toml";

const DIST_FOLDER = fileURLToPath(new URL("../../", import.meta.url));

/** A started program. */
export interface RunningProgram {
  readonly process: ChildProcess;
  /** Returns standard output and standard error in the order of arrival. */
  output(): string;
  /** Returns standard output so far. */
  standardOutput(): string;
  /** Returns standard error so far. */
  standardError(): string;
  /**
   * Resolves when the output contains the text. Rejects if the program exits
   * first or the timeout passes; default is 20 s.
   */
  waitForOutput(text: string, timeoutMs?: number): Promise<void>;
  /** Whether `stop` was called. */
  readonly isStopRequested: boolean;
  /** Resolves with the exit status, or `null` if a signal killed it. */
  readonly exited: Promise<number | null>;
  /** Sends a signal, `SIGTERM` by default, and waits for the exit. */
  stop(signal?: NodeJS.Signals): Promise<number | null>;
}

/** Starts a compiled program; `path` is absolute or relative to `dist`. */
export function startProgram(
  path: string,
  args: readonly string[],
  options: {
    env?: Record<string, string>;
    maxDescriptors?: number;
    nodeArguments?: readonly string[];
  } = {},
): RunningProgram {
  const { maxDescriptors, nodeArguments = [] } = options;
  const program = resolve(DIST_FOLDER, path);
  const command = [process.execPath, ...nodeArguments, program, ...args];
  // Node.js cannot limit the descriptors of a child process.
  const limit = `ulimit -n ${maxDescriptors}; exec "$@"`;
  const [file, ...rest] = maxDescriptors === undefined
    ? command
    : ["sh", "-c", limit, "sh", ...command];
  const child = spawn(file, rest, {
    stdio: ["ignore", "pipe", "pipe"],
    env: { ...process.env, ...options.env },
  });
  let isStopRequested = false;
  let combinedOutput = "";
  let standardOutputText = "";
  let standardErrorText = "";
  const listeners = new Set<() => void>();
  const append = (chunk: Buffer) => {
    combinedOutput += chunk.toString("utf8");
    for (const listener of [...listeners]) listener();
  };
  child.stdout.on("data", (chunk: Buffer) => {
    standardOutputText += chunk.toString("utf8");
    append(chunk);
  });
  child.stderr.on("data", (chunk: Buffer) => {
    standardErrorText += chunk.toString("utf8");
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
    output: () => combinedOutput,
    standardOutput: () => standardOutputText,
    standardError: () => standardErrorText,
    exited,
    get isStopRequested() {
      return isStopRequested;
    },
    waitForOutput(expectedText, timeoutMs = 20_000) {
      return new Promise((resolve, reject) => {
        const finish = (error?: Error) => {
          listeners.delete(check);
          clearTimeout(timer);
          if (error === undefined) resolve();
          else reject(error);
        };
        const check = () => {
          if (combinedOutput.includes(expectedText)) finish();
          else if (child.exitCode !== null) {
            finish(
              new Error(
                `${path} exited before the expected output: ${combinedOutput}`,
              ),
            );
          }
        };
        const timer = setTimeout(
          () =>
            finish(
              new Error(
                `${path} did not print '${expectedText}': ${combinedOutput}`,
              ),
            ),
          timeoutMs,
        );
        listeners.add(check);
        check();
      });
    },
    async stop(signal = "SIGTERM") {
      isStopRequested = true;
      child.kill(signal);
      return await exited;
    },
  };
}

/**
 * Range below the system's ephemeral ports. An outgoing connection could take
 * an ephemeral port between the check here and the start of a program.
 */
const FIRST_PORT = 12_000;
const LAST_PORT = 32_000;
/**
 * Test files run in processes of their own at the same time. Each one claims
 * whole blocks of ports by listening on the first port of a block until it
 * ends, so that two of them never start programs on the same ports.
 */
const PORTS_PER_BLOCK = 200;

/** Ports of the claimed blocks that have not been returned yet. */
const claimedPorts: number[] = [];

/**
 * Returns ports on the loopback address that are free at present and that no
 * other process gets from this function. Each call returns other ports.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = claimedPorts.shift();
    if (port === undefined) await claimPortBlock();
    else if (await isPortFree(port)) ports.push(port);
  }
  return ports;
}

/** Claims a block of ports until this process ends. */
async function claimPortBlock(): Promise<void> {
  const blockCount = (LAST_PORT - FIRST_PORT) / PORTS_PER_BLOCK;
  const firstBlock = Math.floor(Math.random() * blockCount);
  for (let i = 0; i < blockCount; i++) {
    const block = (firstBlock + i) % blockCount;
    const claimPort = FIRST_PORT + block * PORTS_PER_BLOCK;
    if (!await claimPortOf(claimPort)) continue;
    for (let n = 1; n < PORTS_PER_BLOCK; n++) claimedPorts.push(claimPort + n);
    return;
  }
  throw new Error("all blocks of ports are claimed by other processes");
}

function claimPortOf(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => {
      // The claim does not keep the process running.
      server.unref();
      resolve(true);
    });
  });
}

function isPortFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}

/** A temporary folder for settings files. */
export interface SettingsFolder {
  readonly path: string;
  /** Writes settings as TOML and returns the path of the file. */
  write(name: string, settings: Record<string, unknown>): string;
  /** Writes a text file and returns its path. */
  writeText(name: string, text: string): string;
  /** Removes the folder and its files. */
  dispose(): void;
}

/** Creates a temporary folder for settings files. */
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

/**
 * Waits until a condition returns a value other than `undefined` and `false`,
 * and returns the value. Throws after the timeout; default is 20 s.
 */
export async function waitFor<T>(
  condition: () => Promise<T | undefined> | T | undefined,
  options: { description?: string; timeoutMs?: number } = {},
): Promise<T> {
  const { description = "condition", timeoutMs = 20_000 } = options;
  const deadlineMs = performance.now() + timeoutMs;
  for (;;) {
    const value = await condition();
    if (value !== undefined && value !== false) return value;
    if (performance.now() > deadlineMs) {
      throw new Error(`timed out waiting for: ${description}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

/** Destroys a socket and ignores its errors. */
export function destroySocket(socket: Socket): void {
  socket.on("error", () => {});
  socket.destroy();
}
