/**
 * Which hosts are alive. Each host reports again and again, directly or
 * through others; a host whose reports stop is taken as dead.
 *
 * @module
 */
import { hash32, mix32 } from "../hash32.ts";
import type { HostAddress, HostRecord } from "./types.ts";

/** Silence after which a host is taken as dead. Reports come each 250 ms. */
export const FAILURE_TIMEOUT_MS = 1_800;
/**
 * Hosts to which a host reports itself. Larger fleets report inside a zone
 * and between one host of each zone, so that a host's messages grow with its
 * zone and the number of zones.
 */
const MESH_LIMIT = 24;

/** Silence after which a host of the zone takes over from its delegate. */
const DELEGATE_SILENT_MS = 700;

interface Known {
  record: HostRecord;
  heardMs: number;
}

/** All hosts that this host knows. */
export class Membership {
  readonly #self: HostAddress;
  #known = new Map<string, Known>();
  #registered = new Map<string, HostAddress>();
  #live: readonly HostRecord[] = [];
  #liveMs = -Infinity;

  constructor(self: HostAddress) {
    this.#self = self;
  }

  /**
   * Takes over a report, also one that was passed on.
   *
   * @returns Whether it is newer than what was known.
   */
  recordReport(record: HostRecord, nowMs: number): boolean {
    if (record.id === this.#self.id) return false;
    const known = this.#known.get(record.id);
    if (known !== undefined && !isNewer(record, known.record)) return false;
    this.#known.set(record.id, { record, heardMs: nowMs });
    if (known?.record.state !== record.state) this.#liveMs = -Infinity;
    return true;
  }

  /** Takes over the addresses of all hosts that are registered. */
  setRegistered(hosts: readonly HostAddress[]): void {
    this.#registered = new Map(
      hosts.filter(({ id }) => id !== this.#self.id)
        .map((host) => [host.id, host]),
    );
    for (const [id, { record }] of this.#known) {
      // A host may be replaced by another one under its identifier.
      const registered = this.#registered.get(id);
      if (
        registered !== undefined &&
        registered.peerAddress !== record.peerAddress
      ) {
        this.#known.delete(id);
      }
    }
  }

  /** Notes that this process did not run, so silence is no evidence. */
  recordPause(pauseMs: number): void {
    for (const known of this.#known.values()) known.heardMs += pauseMs;
  }

  /** The other hosts that are alive, in the order of their identifiers. */
  livePeers(nowMs: number): readonly HostRecord[] {
    // The list is asked for with each request.
    if (nowMs - this.#liveMs < FAILURE_TIMEOUT_MS / 10) return this.#live;
    this.#liveMs = nowMs;
    this.#live = [...this.#known.values()]
      .filter(({ heardMs }) => nowMs - heardMs < FAILURE_TIMEOUT_MS)
      .map(({ record }) => record)
      .sort((a, b) => a.id < b.id ? -1 : 1);
    return this.#live;
  }

  /** One other host, alive or not. */
  get(id: string): { record: HostRecord; heardMs: number } | undefined {
    return this.#known.get(id);
  }

  /** All other hosts that this host has heard of or that are registered. */
  peers(): HostAddress[] {
    const all = new Map<string, HostAddress>(this.#registered);
    for (const [id, { record }] of this.#known) {
      if (!all.has(id)) all.set(id, record);
    }
    return [...all.values()];
  }

  /**
   * Place of this host in the order of hosts for a task that few hosts do for
   * all, from 0.
   *
   * @param isAble Whether another host is able to do the task.
   */
  taskRank(
    duty: string,
    nowMs: number,
    isAble: (hostId: string) => boolean = () => true,
  ): number {
    const dutyHash = hash32(duty);
    const own = mix32(dutyHash, hash32(this.#self.id));
    return this.livePeers(nowMs)
      .filter(({ id, state }) =>
        state === "ready" && mix32(dutyHash, hash32(id)) < own && isAble(id)
      ).length;
  }

  /** Whether hosts report inside their zone and through delegates beyond. */
  get usesDelegates(): boolean {
    return this.peers().length >= MESH_LIMIT;
  }

  /** Hosts to which this host sends its own report. */
  directPeers(): HostAddress[] {
    const all = this.peers();
    if (all.length < MESH_LIMIT) return all;
    const { availabilityZone } = this.#self;
    return all.filter((host) => host.availabilityZone === availabilityZone);
  }

  /** Whether this host exchanges reports with other zones for its own. */
  isDelegate(nowMs: number): boolean {
    if (!this.usesDelegates) return false;
    const { availabilityZone, id } = this.#self;
    return this.#heardIn(availabilityZone, nowMs).every((one) => id < one);
  }

  /**
   * One host of each other zone, for what a delegate sends.
   *
   * @param turn Grows with each call; hosts of a zone of which none is known
   * to live are tried by turns.
   */
  remoteDelegates(turn: number, nowMs: number): HostAddress[] {
    const all = this.peers();
    const zones = new Map<string, HostAddress[]>();
    for (const host of all) {
      const { availabilityZone } = host;
      if (availabilityZone === this.#self.availabilityZone) continue;
      const hosts = zones.get(availabilityZone) ?? [];
      hosts.push(host);
      zones.set(availabilityZone, hosts);
    }
    return [...zones].map(([zone, hosts]) => {
      const [first] = this.#heardIn(zone, nowMs);
      return hosts.find(({ id }) => id === first) ??
        hosts[turn % hosts.length];
    });
  }

  /** Hosts of a zone that were heard just now, in a fixed order. */
  #heardIn(availabilityZone: string, nowMs: number): string[] {
    const isNear = availabilityZone === this.#self.availabilityZone;
    const silentMs = isNear ? DELEGATE_SILENT_MS : FAILURE_TIMEOUT_MS;
    return [...this.#known.values()]
      .filter(({ record, heardMs }) =>
        record.availabilityZone === availabilityZone &&
        record.state !== "leaving" && nowMs - heardMs < silentMs
      )
      .map(({ record }) => record.id)
      .sort();
  }
}

function isNewer(a: HostRecord, b: HostRecord): boolean {
  return a.startedMs > b.startedMs ||
    (a.startedMs === b.startedMs && a.sequence > b.sequence);
}
