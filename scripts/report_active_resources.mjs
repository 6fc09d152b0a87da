// Loaded into each test file by run_tests.mjs. Ends the file when its event loop
// is empty. When the runner ends a file that
// exceeds the time limit, writes what keeps its event loop running to the file
// that ACTIVE_RESOURCES_FILE names: the runner no longer reads the output then.
import { appendFileSync } from "node:fs";
import { performance } from "node:perf_hooks";

// Programs that a test starts do not load this module.
delete process.env.NODE_OPTIONS;

// Ends a process whose event loop has nothing left to do without the teardown
// of Node.js 20: it waits for handles that were closed late, and a test file
// has used a core there until the time limit.
process.once("exit", (code) => process.reallyExit(code));

process.once("SIGTERM", () => {
  const { user, system } = process.cpuUsage();
  const handles = process._getActiveHandles().map((handle) => {
    const { localAddress, localPort, remoteAddress, remotePort } = handle;
    const name = handle.constructor?.name ?? typeof handle;
    return localAddress === undefined
      ? name
      : `${name} ${localAddress}:${localPort} - ${remoteAddress}:${remotePort}`;
  });
  appendFileSync(
    process.env.ACTIVE_RESOURCES_FILE ?? "/dev/stderr",
    `${process.argv[1]} ended at the time limit: active resources ${
      process.getActiveResourcesInfo().join(" ")
    }; handles ${handles.join(", ")}; event loop utilization ${
      performance.eventLoopUtilization().utilization.toFixed(2)
    }; processor time ${((user + system) / 1e6).toFixed(1)} s\n`,
  );
  process.exit(1);
});
