/**
 * Finds the route of a request by its host and longest path prefix.
 *
 * @module
 */
import type { Route } from "./document.ts";

/** Routes of one host name. */
interface HostRoutes {
  readonly byPrefix: Map<string, Route>;
  /** Lengths of the prefixes, the longest first. */
  prefixLengths: readonly number[];
}

/** Index of the routes of one document. */
export class RouteTable {
  #byHost = new Map<string, HostRoutes>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      let routesOfHost = this.#byHost.get(host);
      if (routesOfHost === undefined) {
        routesOfHost = { byPrefix: new Map(), prefixLengths: [] };
        this.#byHost.set(host, routesOfHost);
      }
      routesOfHost.byPrefix.set(route.pathPrefix, route);
    }
    for (const routesOfHost of this.#byHost.values()) {
      const lengths = [...routesOfHost.byPrefix.keys()]
        .map((prefix) => prefix.length);
      routesOfHost.prefixLengths = [...new Set(lengths)].sort((a, b) => b - a);
    }
  }

  /**
   * Returns the route, or `undefined` if none matches.
   *
   * @param host Value of the host header, with or without a port.
   * @param path Path with or without a query.
   */
  findRoute(host: string, path: string): Route | undefined {
    const hostName = host.toLowerCase();
    const routesOfHost = this.#byHost.get(hostName) ??
      this.#byHost.get(hostName.replace(/:\d+$/, ""));
    if (routesOfHost === undefined) return undefined;
    const { byPrefix, prefixLengths } = routesOfHost;
    const queryStart = path.indexOf("?");
    const pathEnd = queryStart < 0 ? path.length : queryStart;
    // A look-up of each prefix of the path would take time with the square of its
    // length, which the caller chooses.
    for (const length of prefixLengths) {
      if (length > pathEnd || path[length - 1] !== "/") continue;
      const route = byPrefix.get(path.slice(0, length));
      if (route !== undefined) return route;
    }
    return undefined;
  }
}
