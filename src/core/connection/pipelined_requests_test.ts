import { test } from "node:test";
import { openSnapshots } from "../../testing/snapshot.ts";
import { PipelinedRequests } from "./pipelined_requests.ts";

const matchSnapshot = await openSnapshots(import.meta.url);

// Guards against a close that is decided while a response waits for its turn, or
// has requests behind it, so that these get no response.
test("only the newest request whose turn has come closes", (t) => {
  const results: Record<string, unknown> = {};
  for (const isNext of [true, false]) {
    for (const isNewest of [true, false]) {
      for (const isRequired of [true, false]) {
        const requests = new PipelinedRequests();
        requests.add(1);
        if (!isNewest) requests.add(2);
        const options = { isWanted: true, isNext, isRequired };
        const closes = requests.closesAfter(1, options);
        const isLaterHandled = requests.add(3);
        const names = { isNext, isNewest, isRequired };
        const key = Object.entries(names).filter(([, value]) => value)
          .map(([name]) => name).join(" ");
        results[key || "none"] = { closes, isLaterHandled };
      }
    }
  }
  matchSnapshot(t, results);
});
