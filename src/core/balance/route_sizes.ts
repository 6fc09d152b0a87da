/**
 * Estimates of the size of a route's requests and responses.
 *
 * @module
 */

/**
 * Smallest weight of one request in the averages. The first requests weigh
 * more, so that the averages start as plain means.
 */
const MIN_EWMA_WEIGHT = 0.03;
/** Assumed size before the first request, in bytes. */
const DEFAULT_BYTES = 1_024;
/**
 * Ratio of two successive size classes. Hosts see different requests of a
 * route; with coarse classes they still agree on its size.
 */
const CLASS_RATIO = 4;

interface SizeEstimate {
  requests: number;
  /** Mean of the logarithms of the bytes of request and response. */
  meanLogBytes: number;
  meanResponseBytes: number;
}

/** Estimated sizes by route. */
export class RouteSizes {
  #byRoute = new Map<string, SizeEstimate>();

  /** Records the sizes of a request and its response. */
  recordRequest(
    routeId: string,
    requestBytes: number,
    responseBytes: number,
  ): void {
    let size = this.#byRoute.get(routeId);
    if (size === undefined) {
      size = { requests: 0, meanLogBytes: 0, meanResponseBytes: 0 };
      this.#byRoute.set(routeId, size);
    }
    size.requests += 1;
    const weight = Math.max(MIN_EWMA_WEIGHT, 1 / size.requests);
    const logBytes = Math.log(Math.max(1, requestBytes + responseBytes));
    size.meanLogBytes += weight * (logBytes - size.meanLogBytes);
    size.meanResponseBytes += weight * (responseBytes - size.meanResponseBytes);
  }

  /** Returns the expected size of a response, in bytes. */
  responseBytes(routeId: string): number {
    return this.#byRoute.get(routeId)?.meanResponseBytes ?? DEFAULT_BYTES;
  }

  /**
   * Returns the typical size of a request with its response, in bytes, rounded
   * to a size class.
   */
  sizeClassBytes(routeId: string): number {
    const size = this.#byRoute.get(routeId);
    const logBytes = size?.meanLogBytes ?? Math.log(DEFAULT_BYTES);
    return CLASS_RATIO ** Math.round(logBytes / Math.log(CLASS_RATIO));
  }
}
