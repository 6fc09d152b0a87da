import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { StorePosition } from "../../core/store/position.ts";
import { KindView } from "../../core/store/kind_view.ts";
import type { StoredObject } from "../../core/store/types.ts";
import { KindFollower } from "./kind_follower.ts";
import { type ObjectStore, StoreError } from "./object_store.ts";

/** Time until the store responds. */
const RESPONSE_MS = 2;

const OBJECT: StoredObject = {
  name: "main",
  revision: 3,
  specification: {},
  status: null,
};

/** Follows a store with the given behaviour and returns the calls to it. */
async function follow(
  { position, watch, durationMs, catchUpIntervalMs, confirmIntervalMs }: {
    /** Position of each list. */
    position: () => StorePosition;
    watch: ObjectStore["watch"];
    durationMs: number;
    /** Time between two requests to catch up; none if absent. */
    catchUpIntervalMs?: number;
    /** Time between two requests to confirm the view; none if absent. */
    confirmIntervalMs?: number;
  },
) {
  const view = new KindView();
  let listCount = 0;
  let watchCount = 0;
  let failureCount = 0;
  let unexpectedCount = 0;
  const confirmedMs: number[] = [];
  const rejectCall = () => Promise.reject(new Error("unexpected call"));
  const store: ObjectStore = {
    async list() {
      listCount += 1;
      await sleep(RESPONSE_MS);
      return { objects: [OBJECT], position: position() };
    },
    async watch(...args) {
      watchCount += 1;
      await sleep(RESPONSE_MS);
      return await watch(...args);
    },
    put: rejectCall,
    putStatus: rejectCall,
    read: rejectCall,
    replace: rejectCall,
    remove: rejectCall,
    close() {},
  };
  const follower = new KindFollower({
    kind: "document",
    mode: "watch",
    view,
    store,
    random: () => 1,
    nowMs: () => performance.now(),
    watchWaitMs: () => 12_000,
    onChanges() {},
    onOutdated() {},
    onHistoryLost() {},
    onResponse() {},
    onConfirmed: (completeMs) => confirmedMs.push(completeMs),
    onFailure: () => failureCount += 1,
    onUnexpectedError: () => unexpectedCount += 1,
  });
  const stop = follower.start();
  const timer = catchUpIntervalMs === undefined
    ? undefined
    : setInterval(() => follower.catchUp(), catchUpIntervalMs);
  const confirmTimer = confirmIntervalMs === undefined
    ? undefined
    : setInterval(() => follower.confirm(), confirmIntervalMs);
  await sleep(durationMs);
  clearInterval(timer);
  clearInterval(confirmTimer);
  stop();
  return {
    view,
    listCount,
    watchCount,
    failureCount,
    unexpectedCount,
    confirmedMs,
  };
}

/** Waits until the call is aborted, as a watch without changes does. */
function waitForAbort(
  _kind: string,
  _revision: number,
  { signal }: { signal: AbortSignal },
): Promise<never> {
  return new Promise((_resolve, reject) =>
    signal.addEventListener("abort", () => reject(new Error("aborted")))
  );
}

// Guards against a host that floods the store with lists and watches while the
// history that its watch needs stays lost.
test("repeated lists after a lost history back off", async () => {
  const { listCount, watchCount } = await follow({
    position: () => ({ epoch: 1, revision: 5 }),
    watch: () => Promise.reject(new StoreError("compacted", "status 410")),
    durationMs: 1_000,
  });
  assert.ok(watchCount >= 2 && watchCount <= 6, `${watchCount} watches`);
  assert.ok(listCount <= watchCount + 1, `${listCount} lists`);
});

// Guards against a host that floods a store which refuses the calls for one kind
// and answers those for others: each answer asks all kinds to catch up.
test("requests to catch up do not cut the back-off short", async () => {
  const { watchCount } = await follow({
    position: () => ({ epoch: 1, revision: 5 }),
    watch: () => Promise.reject(new StoreError("refused", "status 429")),
    durationMs: 1_000,
    catchUpIntervalMs: 10,
  });
  assert.ok(watchCount >= 2 && watchCount <= 6, `${watchCount} watches`);
});

// Guards against a delay of the first list after a lost history, which is the
// usual case.
test("one lost history is replaced by a list at once", async () => {
  let watchCount = 0;
  const { listCount } = await follow({
    position: () => ({ epoch: 1, revision: 5 }),
    watch(...args) {
      watchCount += 1;
      return watchCount === 1
        ? Promise.reject(new StoreError("compacted", "status 410"))
        : waitForAbort(...args);
    },
    durationMs: 500,
  });
  assert.equal(listCount, 2);
});

// Guards against changes of a restored store that are applied to objects from
// before, so that those that the store has lost stay.
test("a watch that reaches a restored store is replaced by a list", async () => {
  let epoch = 1;
  const { view, listCount } = await follow({
    position: () => ({ epoch, revision: epoch === 1 ? 9 : 4 }),
    watch(...args) {
      if (epoch === 2) return waitForAbort(...args);
      epoch = 2;
      const changes = [{ object: { ...OBJECT, name: "b" }, removed: false }];
      return Promise.resolve({ changes, position: { epoch, revision: 10 } });
    },
    durationMs: 500,
  });
  assert.equal(listCount, 2);
  assert.deepEqual(view.position, { epoch: 2, revision: 4 });
  assert.equal(view.get("b"), undefined);
});

const CUT_OFF = new StoreError("unanswered", "the connection was reset");

// Guards against a watch that is cut off and counts as a failure of the store,
// upon which the registrations that it removes next are kept for seconds, and
// against calls without a pause to a store that cuts off each watch.
test("a watch that is cut off is no failure of the store", async () => {
  const { watchCount, failureCount } = await follow({
    position: () => ({ epoch: 1, revision: 5 }),
    watch: (_kind, _revision, { waitMs }) =>
      waitMs > 0 ? Promise.reject(CUT_OFF) : Promise.resolve({
        changes: [],
        position: { epoch: 1, revision: 5 },
      }),
    durationMs: 1_000,
  });
  assert.equal(failureCount, 0);
  assert.ok(watchCount >= 3 && watchCount <= 8, `${watchCount} watches`);
});

// Guards against a store that fails while watches wait and is taken to work.
test("a store that answers no call after a watch is cut off has failed", async () => {
  const { watchCount, failureCount } = await follow({
    position: () => ({ epoch: 1, revision: 5 }),
    watch: () => Promise.reject(CUT_OFF),
    durationMs: 1_000,
  });
  assert.ok(failureCount >= 1, `${failureCount} failures`);
  assert.ok(watchCount <= 6, `${watchCount} watches`);
});

// Guards against one unexpected error, such as in the handling of changes, that
// ends the updates of a kind for the rest of the process.
test("an unexpected error does not end the updates", async () => {
  const { watchCount, unexpectedCount } = await follow({
    position: () => ({ epoch: 1, revision: 3 }),
    watch: () => Promise.reject(new TypeError("unexpected")),
    durationMs: 700,
  });
  assert.ok(watchCount >= 2, `${watchCount} watches`);
  assert.ok(watchCount <= 5, `${watchCount} watches`);
  assert.ok(unexpectedCount >= 2, `${unexpectedCount} errors`);
});

// Guards against a change that a silent connection hides until the watch on it is
// given up, and against a view that is taken to be older than it is.
test("a view is confirmed beside a watch that stays silent", async () => {
  const changed = { ...OBJECT, revision: 8 };
  const { view, confirmedMs, watchCount } = await follow({
    position: () => ({ epoch: 1, revision: 5 }),
    watch: (kind, revision, options) =>
      options.waitMs > 0 ? waitForAbort(kind, revision, options) : Promise
        .resolve({
          changes: [{ object: changed, removed: false }],
          position: { epoch: 1, revision: 9 },
        }),
    durationMs: 500,
    confirmIntervalMs: 100,
  });
  assert.equal(view.get(OBJECT.name)?.revision, 8);
  assert.deepEqual(view.position, { epoch: 1, revision: 9 });
  const endMs = performance.now();
  assert.ok(endMs - confirmedMs[confirmedMs.length - 1] < 250);
  assert.ok(watchCount >= 4 && watchCount <= 6, `${watchCount} watches`);
});

// Guards against a host that floods a store which refuses its calls, and against
// a refusal that counts as a confirmation.
test("calls that confirm a view back off after a failure", async () => {
  const { watchCount, confirmedMs, failureCount } = await follow({
    position: () => ({ epoch: 1, revision: 5 }),
    watch: (kind, revision, options) =>
      options.waitMs > 0
        ? waitForAbort(kind, revision, options)
        : Promise.reject(new StoreError("refused", "status 429")),
    durationMs: 1_000,
    confirmIntervalMs: 50,
  });
  assert.ok(watchCount <= 3, `${watchCount} watches`);
  assert.ok(failureCount > 0);
  assert.equal(confirmedMs.length, 1, "only the list has confirmed the view");
});
