/**
 * Addresses of an IP number and a port.
 *
 * @module
 */
import type { Server } from "node:net";
import { ExitError } from "./exit_status.ts";

/** An IP number and a port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Splits an address such as `192.0.2.7:8080`. */
export function parseAddress(address: string): Address {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
  return { host, port: Number(address.slice(colon + 1)) };
}

/**
 * Starts to listen.
 *
 * @param field Field of the settings that holds the address.
 * @throws {ExitError} `addressInUse`.
 */
export function listen(
  server: Server,
  address: string,
  field: string,
): Promise<void> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", (error: NodeJS.ErrnoException) => {
      const reason = `cannot listen on ${address} (${field}): ${error.message}`;
      reject(new ExitError("addressInUse", reason));
    });
    server.listen(port, host, resolve);
  });
}
