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

/**
 * Starts to listen on an address.
 *
 * @param field Settings field of the address, for the error message.
 * @throws {ExitError} `addressInUse` when the server cannot listen there.
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
