/**
 * Opens the addresses of a host at its start.
 *
 * @module
 */
import type { Server } from "node:net";
import type { EntrySettings } from "../../core/settings/entry_settings.ts";
import { type BindOptions, listen } from "../address.ts";
import type { Log } from "../telemetry/log.ts";

type Addresses = EntrySettings["listen"];

/** Options of `openAddresses`. */
export interface OpenAddressesOptions {
  readonly addresses: Addresses;
  /** Time for which to wait for an address that is in use. */
  readonly waitMs: number;
  readonly log: Log;
  /** Binds the socket for the datagrams of other hosts. */
  readonly startReports: (options: BindOptions) => Promise<void>;
  readonly servers: Readonly<Record<keyof Addresses, Server>>;
}

/**
 * Opens the addresses one after the other, those of callers last: a host that
 * still waits for an address is reached only by other hosts, which learn that it
 * starts, and for lookups, which name other hosts.
 *
 * @throws {ExitError} As `bindAddress`.
 */
export async function openAddresses(
  { addresses, waitMs, log, startReports, servers }: OpenAddressesOptions,
): Promise<void> {
  const bindOptions = (name: keyof Addresses): BindOptions => ({
    field: `listen.${name}`,
    waitMs,
    onWait: (reason) =>
      log.warn("address_in_use", { address: addresses[name], name, reason }),
  });
  await startReports(bindOptions("peers"));
  for (const name of ["peers", "readiness", "lookups", "callers"] as const) {
    await listen(servers[name], addresses[name], {
      ...bindOptions(name),
      onError: (error) =>
        log.warn("server_failed", { server: name, reason: error.message }),
    });
  }
}
