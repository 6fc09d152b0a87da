/**
 * Versions that get no more traffic.
 *
 * @module
 */
import type { StoppedVersion } from "./types.ts";

/** Stopped versions that are remembered, to bound memory. */
const MAX_STOPPED = 1_024;

/** Stopped versions of all services. They are not used again. */
export class StoppedVersions {
  /** Stopped versions by service and version, the last one at the end. */
  readonly #byKey = new Map<string, StoppedVersion>();
  /** Stopped versions of each service, as each request asks for them. */
  readonly #byService = new Map<string, Set<string>>();

  /** Stops a version. Returns false if it was stopped already. */
  stop(stopped: StoppedVersion): boolean {
    const key = createKey(stopped.service, stopped.version);
    if (this.#byKey.has(key)) return false;
    this.#byKey.set(key, stopped);
    const { service, version } = stopped;
    const versions = this.#byService.get(service) ?? new Set();
    this.#byService.set(service, versions.add(version));
    if (this.#byKey.size > MAX_STOPPED) this.#forgetOldest();
    return true;
  }

  /** Returns why a version was stopped; `undefined` if it was not. */
  getReason(service: string, version: string): string | undefined {
    return this.#byKey.get(createKey(service, version))?.reason;
  }

  ofService(service: string): Iterable<string> {
    return this.#byService.get(service) ?? [];
  }

  /** Returns all stopped versions, the last one at the end. */
  list(): StoppedVersion[] {
    return [...this.#byKey.values()];
  }

  #forgetOldest(): void {
    const [[key, { service, version }]] = this.#byKey;
    this.#byKey.delete(key);
    const versions = this.#byService.get(service);
    versions?.delete(version);
    if (versions?.size === 0) this.#byService.delete(service);
  }
}

function createKey(service: string, version: string): string {
  return `${service}\n${version}`;
}
