/**
 * Sizes of a route's requests and answers.
 *
 * @module
 */

/** Weight of one request once many were seen. */
const MIN_WEIGHT = 0.03;
/** Assumed size before the first request, in bytes. */
const DEFAULT_BYTES = 1_024;
/**
 * Ratio of two size classes. Hosts see different requests of a route, and a
 * coarse class keeps their view of its size the same.
 */
const CLASS_RATIO = 4;

interface Size {
  requests: number;
  logAllBytes: number;
  responseBytes: number;
}

/** Learned sizes by route. */
export class RouteSizes {
  #byRoute = new Map<string, Size>();

  /** Notes a request that was answered. */
  recordRequest(
    routeId: string,
    requestBytes: number,
    answerBytes: number,
  ): void {
    let size = this.#byRoute.get(routeId);
    if (size === undefined) {
      size = { requests: 0, logAllBytes: 0, responseBytes: 0 };
      this.#byRoute.set(routeId, size);
    }
    size.requests += 1;
    const weight = Math.max(MIN_WEIGHT, 1 / size.requests);
    const logBytes = Math.log(Math.max(1, requestBytes + answerBytes));
    size.logAllBytes += weight * (logBytes - size.logAllBytes);
    size.responseBytes += weight * (answerBytes - size.responseBytes);
  }

  /** Bytes of an answer that are expected. */
  answerBytes(routeId: string): number {
    return this.#byRoute.get(routeId)?.responseBytes ?? DEFAULT_BYTES;
  }

  /** Typical bytes of a request with its answer, in coarse steps. */
  sizeClassBytes(routeId: string): number {
    const size = this.#byRoute.get(routeId);
    const logBytes = size?.logAllBytes ?? Math.log(DEFAULT_BYTES);
    return CLASS_RATIO ** Math.round(logBytes / Math.log(CLASS_RATIO));
  }
}
