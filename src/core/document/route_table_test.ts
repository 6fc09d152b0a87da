import assert from "node:assert/strict";
import { test } from "node:test";
import {
  sampleDocument,
  sampleRoute,
  sampleService,
} from "../../testing/samples.ts";
import { MAX_LINEAR_GROWTH, measureGrowth } from "../../testing/growth.ts";
import { findProblems } from "./document.ts";
import { RouteTable } from "./route_table.ts";

const routeTable = new RouteTable([
  sampleRoute({ id: "all", pathPrefix: "/" }),
  sampleRoute({ id: "stock", pathPrefix: "/stock/" }),
  sampleRoute({ id: "drums", pathPrefix: "/stock/drums/" }),
  sampleRoute({ id: "other", host: "other.example", pathPrefix: "/stock/" }),
]);

// Guards against a match with a shorter prefix, with another host's route, or
// within a path segment.
test("a request gets the route with the longest prefix of its host", () => {
  const cases: [string, string, string | undefined][] = [
    ["stock.example", "/stock/drums/7", "drums"],
    ["STOCK.example:8080", "/stock/drums/", "drums"],
    ["stock.example", "/stock/drum", "stock"],
    ["stock.example", "/stock/drums", "stock"],
    ["stock.example", "/stocks/7", "all"],
    ["stock.example", "/x?y=/stock/drums/", "all"],
    ["other.example", "/stock/7?a=1", "other"],
    ["other.example", "/7", undefined],
    ["unknown.example", "/stock/7", undefined],
  ];
  for (const [host, path, expectedId] of cases) {
    assert.equal(
      routeTable.findRoute(host, path)?.id,
      expectedId,
      `${host} ${path}`,
    );
  }
});

// Guards against documents with routes that lead to no service, or with a key
// that does not identify one organisation.
test("faults that the schema cannot express are found", () => {
  assert.deepEqual(findProblems(sampleDocument()), []);
  const digest = "a".repeat(64);
  const problems = findProblems(sampleDocument({
    routes: [
      sampleRoute({ parts: [{ service: "nowhere", weight: 1 }] }),
      sampleRoute({ parts: [{ service: "stockdesk", weight: 0 }] }),
    ],
    services: [sampleService()],
    organisations: ["a", "b"].map((id) => ({
      id,
      keyDigests: [digest],
      ratePerS: 0,
      burst: 0,
      homeRegions: [],
    })),
  }));
  assert.equal(problems.length, 3);
});

// Guards against a path of many slashes that keeps a host busy for a time that
// grows with the square of its length.
test("the time to find a route grows with the length of the path", () => {
  const growth = measureGrowth((length) => {
    const path = "/".repeat(length);
    return () => {
      for (let i = 0; i < 20; i++) routeTable.findRoute("other.example", path);
    };
  }, 1_000);
  assert.ok(growth < MAX_LINEAR_GROWTH, `${growth}`);
});
