/**
 * Finds the route of a request by its host and longest path prefix.
 *
 * @module
 */
import type { Route } from "./document.ts";

/** Index of the routes of one document. */
export class RouteTable {
  #byHost = new Map<string, Map<string, Route>>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      let prefixes = this.#byHost.get(host);
      if (prefixes === undefined) {
        prefixes = new Map();
        this.#byHost.set(host, prefixes);
      }
      prefixes.set(route.pathPrefix, route);
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
    const prefixes = this.#byHost.get(hostName) ??
      this.#byHost.get(hostName.replace(/:\d+$/, ""));
    if (prefixes === undefined) return undefined;
    const queryStart = path.indexOf("?");
    const pathEnd = queryStart < 0 ? path.length : queryStart;
    for (
      let slash = path.lastIndexOf("/", pathEnd - 1);
      slash >= 0;
      slash = slash === 0 ? -1 : path.lastIndexOf("/", slash - 1)
    ) {
      const route = prefixes.get(path.slice(0, slash + 1));
      if (route !== undefined) return route;
    }
    return undefined;
  }
}
