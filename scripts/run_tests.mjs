// Runs the compiled tests. A failing test that KNOWN-RED.txt lists is printed;
// any other failure fails the run.
//
// Usage: node scripts/run_tests.mjs [FILTER]. Runs only test files whose path
// contains FILTER. TEST_CONCURRENCY sets how many files run at a time.
import { existsSync, readdirSync, readFileSync, rmSync } from "node:fs";
import { join, relative } from "node:path";
import { run } from "node:test";
import { spec } from "node:test/reporters";

const root = new URL("..", import.meta.url).pathname;
const dist = join(root, "dist");
const filter = process.argv[2] ?? "";
const concurrency = Number(process.env.TEST_CONCURRENCY ?? 4);

const files = readdirSync(dist, { recursive: true })
  .filter((name) => name.endsWith("_test.js") && name.includes(filter))
  .map((name) => join(dist, name))
  .sort();

// An entry starts with a line "test: <file> :: <name of the test>".
const knownRedFile = join(root, "KNOWN-RED.txt");
const knownFailingTests = new Set(
  existsSync(knownRedFile)
    ? readFileSync(knownRedFile, "utf8").split("\n")
      .filter((line) => line.startsWith("test: "))
      .map((line) => line.slice("test: ".length).trim())
    : [],
);

const reporter = new URL("report_active_resources.mjs", import.meta.url);
process.env.NODE_OPTIONS = `${
  process.env.NODE_OPTIONS ?? ""
} --import=${reporter}`;

const activeResourcesFile = join(dist, "active_resources.log");
rmSync(activeResourcesFile, { force: true });
process.env.ACTIVE_RESOURCES_FILE = activeResourcesFile;

const failedTests = [];
let passedCount = 0;
const stream = run({ files, concurrency, timeout: 300_000 });
stream.on("test:pass", (event) => {
  if (event.details.type !== "suite") passedCount += 1;
});
stream.on("test:fail", (event) => {
  const file = relative(dist, event.file ?? "").replace(/\.js$/, ".ts");
  failedTests.push(`${file} :: ${event.name}`);
});
stream.compose(spec).pipe(process.stdout);
stream.on("end", () => {
  const knownFailures = failedTests.filter((name) =>
    knownFailingTests.has(name)
  );
  const unexpectedFailures = failedTests.filter((name) =>
    !knownFailingTests.has(name)
  );
  setTimeout(() => {
    if (existsSync(activeResourcesFile)) {
      console.log(readFileSync(activeResourcesFile, "utf8"));
    }
    for (const name of knownFailures) console.log(`known red: ${name}`);
    for (const name of unexpectedFailures) console.log(`failed: ${name}`);
    console.log(`${passedCount} passed, ${unexpectedFailures.length} failed`);
    process.exit(unexpectedFailures.length === 0 && passedCount > 0 ? 0 : 1);
  }, 100);
});
