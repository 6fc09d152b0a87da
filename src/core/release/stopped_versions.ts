/**
 * Versions that get no more traffic.
 *
 * @module
 */
import type { StoppedVersion } from "./types.ts";

/** Stopped versions of all services. They are never used again. */
export class StoppedVersions {
  /** Reasons by service and version. */
  readonly #reasons = new Map<string, Map<string, string>>();

  /** Stops a version. Returns false if it was stopped already. */
  stop({ service, version, reason }: StoppedVersion): boolean {
    let versions = this.#reasons.get(service);
    if (versions === undefined) {
      versions = new Map();
      this.#reasons.set(service, versions);
    }
    if (versions.has(version)) return false;
    versions.set(version, reason);
    return true;
  }

  /** Returns why a version was stopped; `undefined` if it was not. */
  getReason(service: string, version: string): string | undefined {
    return this.#reasons.get(service)?.get(version);
  }

  ofService(service: string): Iterable<string> {
    return this.#reasons.get(service)?.keys() ?? [];
  }

  /** Returns all stopped versions. */
  list(): StoppedVersion[] {
    return [...this.#reasons].flatMap(([service, versions]) =>
      [...versions].map(([version, reason]) => ({ service, version, reason }))
    );
  }
}
