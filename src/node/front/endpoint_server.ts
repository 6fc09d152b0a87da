/**
 * Small servers of an entry host: look-ups, readiness and metrics.
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

/** Handles a request whose path has matched. */
export type EndpointHandler = (
  req: IncomingMessage,
  res: ServerResponse,
  query: URLSearchParams,
) => void;

/** Creates a server for some GET paths; other paths are answered with 404. */
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
      const url = new URL(req.url ?? "/", "http://host");
      handle(req as IncomingMessage, res as ServerResponse, url.searchParams);
    });
  }
  return createServer((req, res) => router.lookup(req, res));
}
