/**
 * A TCP proxy that injects faults between two processes.
 *
 * @module
 */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { parseAddress } from "../node/address.ts";
import { dropSocket } from "./processes.ts";

/** Faults of a proxied link. */
export interface LinkFault {
  /** New connections are refused and present ones dropped. */
  cut?: boolean;
  /** Bytes towards the server are swallowed. */
  cutToServer?: boolean;
  /** Bytes towards the client are swallowed. */
  cutToClient?: boolean;
  /** Bytes arrive this much later in each direction, in milliseconds. */
  delayMs?: number;
  /** Bytes a second in each direction; 0 is without limit. */
  bytesPerS?: number;
}

/** A proxy in front of one address. */
export class FaultProxy {
  /** Called with bytes towards the server when they reach the proxy. */
  onBytesToServer: (chunk: Buffer) => void = () => {};
  /** Called with bytes towards the client when they reach the proxy. */
  onBytesToClient: (chunk: Buffer) => void = () => {};
  #fault: LinkFault = {};
  #sockets = new Set<Socket>();
  #target: string;
  #server = createServer((client) => this.#accept(client));

  constructor(target: string) {
    this.#target = target;
  }

  /** Starts to listen and returns the address `ip:port`. */
  async start(port = 0): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(port, "127.0.0.1", resolve)
    );
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Replaces the faults of the link. */
  setFault(fault: LinkFault): void {
    this.#fault = fault;
    if (fault.cut) this.reset();
  }

  /** Drops all connections. */
  reset(): void {
    for (const socket of this.#sockets) dropSocket(socket);
    this.#sockets.clear();
  }

  /** Stops and drops all connections. */
  async close(): Promise<void> {
    this.reset();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  #accept(client: Socket): void {
    if (this.#fault.cut) return dropSocket(client);
    const { host, port } = parseAddress(this.#target);
    const server = connect({ host, port });
    client.on("data", (chunk: Buffer) => this.onBytesToServer(chunk));
    server.on("data", (chunk: Buffer) => this.onBytesToClient(chunk));
    for (const socket of [client, server]) {
      this.#sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => {
        this.#sockets.delete(socket);
        dropSocket(socket === client ? server : client);
      });
    }
    this.#pipe(client, server, () => this.#fault.cutToServer ?? false);
    this.#pipe(server, client, () => this.#fault.cutToClient ?? false);
  }

  #pipe(from: Socket, to: Socket, isCut: () => boolean): void {
    from.on("data", async (chunk: Buffer) => {
      if (isCut()) return;
      const { delayMs = 0, bytesPerS = 0 } = this.#fault;
      const waitMs = delayMs +
        (bytesPerS > 0 ? chunk.length * 1_000 / bytesPerS : 0);
      if (waitMs > 0) {
        from.pause();
        await new Promise((resolve) => setTimeout(resolve, waitMs));
        from.resume();
      }
      if (!to.destroyed) to.write(chunk);
    });
    from.on("end", () => to.end());
  }
}
