/**
 * Socket addresses: parsing, and listening on them.
 *
 * @module
 */
import { once } from "node:events";
import type { Server } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { monotonicMs } from "./clock.ts";
import { ExitError } from "./exit_status.ts";

/** Delay before another try to use an address. */
const RETRY_DELAY_MS = 50;

/** IP address and port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/**
 * Parses an address such as `192.0.2.7:8080` or `[2001:db8::7]:8080`. The
 * address is not validated.
 */
export function parseAddress(address: string): Address {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(colon + 1)) };
}

/** Options for the use of an address. */
export interface BindOptions {
  /** Settings field of the address, for messages. */
  readonly field: string;
  /** Time for which to wait while another program uses the address. */
  readonly waitMs: number;
  /** Called once if another program uses the address. */
  readonly onWait: (reason: string) => void;
}

/**
 * Binds to an address, and repeats it for a time while another program uses the
 * address: a predecessor that is stopping, or an outgoing connection.
 *
 * @param bind Tries to bind once.
 * @throws {ExitError} `addressInUse` when another program uses the address for
 * longer, `settings` when the address cannot be used on this machine.
 */
export async function bindAddress(
  address: string,
  bind: (address: Address) => Promise<void>,
  { field, waitMs, onWait }: BindOptions,
): Promise<void> {
  const parsedAddress = parseAddress(address);
  const deadlineMs = monotonicMs() + waitMs;
  for (let isFirst = true;; isFirst = false) {
    try {
      return await bind(parsedAddress);
    } catch (error) {
      const { code, message } = error as NodeJS.ErrnoException;
      const isInUse = code === "EADDRINUSE";
      if (!isInUse || monotonicMs() >= deadlineMs) {
        throw new ExitError(
          isInUse ? "addressInUse" : "settings",
          `cannot listen on ${address} (${field}): ${message}`,
        );
      }
      if (isFirst) onWait(message);
      await sleep(RETRY_DELAY_MS);
    }
  }
}

/** Options of `listen`. */
export interface ListenOptions extends BindOptions {
  /**
   * Called with errors after the server listens, such as too many open files
   * when it accepts a connection. The server keeps listening.
   */
  readonly onError: (error: Error) => void;
}

/**
 * Starts to listen on an address.
 *
 * @throws {ExitError} As `bindAddress`.
 */
export async function listen(
  server: Server,
  address: string,
  options: ListenOptions,
): Promise<void> {
  await bindAddress(address, async ({ host, port }) => {
    const listening = once(server, "listening");
    server.listen(port, host);
    await listening;
  }, options);
  server.on("error", options.onError);
}
