/**
 * Socket addresses: parsing, and listening on them.
 *
 * @module
 */
import type { Server } from "node:net";
import { ExitError } from "./exit_status.ts";

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

/** Options of `listen`. */
export interface ListenOptions {
  /** Settings field of the address, for the error message. */
  readonly field: string;
  /**
   * Called with errors after the server listens, such as too many open files
   * when it accepts a connection. The server keeps listening.
   */
  readonly onError: (error: Error) => void;
}

/**
 * Starts to listen on an address.
 *
 * @throws {ExitError} `addressInUse` when another program listens there,
 * `settings` when the address cannot be used on this machine.
 */
export function listen(
  server: Server,
  address: string,
  { field, onError }: ListenOptions,
): Promise<void> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    const fail = (error: NodeJS.ErrnoException) =>
      reject(
        new ExitError(
          error.code === "EADDRINUSE" ? "addressInUse" : "settings",
          `cannot listen on ${address} (${field}): ${error.message}`,
        ),
      );
    server.once("error", fail);
    server.listen(port, host, () => {
      server.off("error", fail);
      server.on("error", onError);
      resolve();
    });
  });
}
