/**
 * A TCP proxy that injects faults between two processes.
 *
 * @module
 */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { parseAddress } from "../node/address.ts";
import { destroySocket } from "./processes.ts";

/** Faults of a proxied link; none by default. The soak reports their keys. */
export interface LinkFault {
  /** Whether open and new connections are dropped. */
  cut?: boolean;
  /** Whether bytes to the server are discarded. */
  cutToServer?: boolean;
  /** Whether bytes to the client are discarded. */
  cutToClient?: boolean;
  /** Delay in each direction, in milliseconds. */
  delayMs?: number;
  /** Bandwidth in each direction, in bytes per second; 0 is without limit. */
  bytesPerS?: number;
}

/** A proxy in front of the server at one address. */
export class FaultProxy {
  /** Called with bytes for the server when they reach the proxy. */
  onBytesToServer: (chunk: Buffer) => void = () => {};
  /** Called with bytes for the client when they reach the proxy. */
  onBytesToClient: (chunk: Buffer) => void = () => {};
  #fault: LinkFault = {};
  #sockets = new Set<Socket>();
  #serverAddress: string;
  #port = 0;
  #server = createServer((client) => this.#accept(client));

  constructor(serverAddress: string) {
    this.#serverAddress = serverAddress;
  }

  /** Starts listening and returns the address `ip:port`. */
  async start(port = 0): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(port, "127.0.0.1", resolve)
    );
    this.#port = (this.#server.address() as AddressInfo).port;
    return `127.0.0.1:${this.#port}`;
  }

  /** Replaces the faults; connections are dropped if the link goes down. */
  setFault(fault: LinkFault): void {
    this.#fault = fault;
    if (fault.cut) this.dropConnections();
  }

  /** Refuses connections, as the server does while it doesn't listen. */
  setListening(isListening: boolean): void {
    if (isListening) this.#server.listen(this.#port, "127.0.0.1");
    else {
      this.#server.close();
      this.dropConnections();
    }
  }

  /** Drops all connections. */
  dropConnections(): void {
    for (const socket of this.#sockets) destroySocket(socket);
    this.#sockets.clear();
  }

  /** Stops listening and drops all connections. */
  async close(): Promise<void> {
    this.dropConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  #accept(client: Socket): void {
    if (this.#fault.cut) return destroySocket(client);
    const { host, port } = parseAddress(this.#serverAddress);
    const server = connect({ host, port });
    client.on("data", (chunk: Buffer) => this.onBytesToServer(chunk));
    server.on("data", (chunk: Buffer) => this.onBytesToClient(chunk));
    for (const socket of [client, server]) {
      this.#sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => {
        this.#sockets.delete(socket);
        destroySocket(socket === client ? server : client);
      });
    }
    this.#pipe(client, server, () => this.#fault.cutToServer ?? false);
    this.#pipe(server, client, () => this.#fault.cutToClient ?? false);
  }

  #pipe(source: Socket, destination: Socket, isDropped: () => boolean): void {
    source.on("data", async (chunk: Buffer) => {
      if (isDropped()) return;
      const { delayMs = 0, bytesPerS = 0 } = this.#fault;
      const totalDelayMs = delayMs +
        (bytesPerS > 0 ? chunk.length * 1_000 / bytesPerS : 0);
      if (totalDelayMs > 0) {
        source.pause();
        await new Promise((resolve) => setTimeout(resolve, totalDelayMs));
        source.resume();
      }
      if (!destination.destroyed) destination.write(chunk);
    });
    source.on("end", () => destination.end());
  }
}
