/**
 * HTTP servers for the endpoints of an entry host itself, such as lookups,
 * readiness and metrics.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import createRouter from "find-my-way";

/** Connections that send no request are closed, as their number is limited. */
export const ENDPOINT_SERVER_OPTIONS = {
  headersTimeout: 5_000,
  requestTimeout: 10_000,
  connectionsCheckingInterval: 1_000,
} as const;

/** Handles a GET request to the path of an endpoint. */
export type EndpointHandler = (
  req: IncomingMessage,
  res: ServerResponse,
  query: URLSearchParams,
) => void;

/**
 * Creates a server that handles GET requests by path and responds with 404 to
 * all others.
 *
 * @param endpoints Handlers by path.
 */
export function createEndpointServer(
  endpoints: Readonly<Record<string, EndpointHandler>>,
): Server {
  const router = createRouter({
    defaultRoute: (_req, res) => {
      res.writeHead(404, { "content-length": "0" });
      res.end();
    },
  });
  for (const [path, handle] of Object.entries(endpoints)) {
    router.get(path, (req, res) => {
      const query = /\?([^#]*)/.exec(req.url ?? "")?.[1];
      handle(
        req as IncomingMessage,
        res as ServerResponse,
        new URLSearchParams(query),
      );
    });
  }
  return createServer(
    ENDPOINT_SERVER_OPTIONS,
    (req, res) => router.lookup(req, res),
  );
}
