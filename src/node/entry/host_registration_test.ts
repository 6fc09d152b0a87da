import assert from "node:assert/strict";
import { test } from "node:test";
import { createRecordingLog } from "../../testing/recording_log.ts";
import {
  HostRegistration,
  type HostRegistrationOptions,
} from "./host_registration.ts";

// Guards against one unexpected error after which a host is never registered.
test("a registration is repeated after an unexpected error", async () => {
  const { log, warnings } = createRecordingLog();
  let putCount = 0;
  const options: Partial<HostRegistrationOptions> = {
    self: {
      id: "host-1",
      availabilityZone: "north-a",
      region: "north",
      callerAddress: "192.0.2.1:80",
      peerAddress: "192.0.2.1:90",
    },
    store: {
      put() {
        putCount += 1;
        return putCount === 1
          ? Promise.reject(new TypeError("unexpected"))
          : Promise.resolve();
      },
    } as unknown as HostRegistrationOptions["store"],
    codec: { encodeHost: () => ({}) } as unknown as HostRegistrationOptions[
      "codec"
    ],
    replica: { recordResponse() {} } as unknown as HostRegistrationOptions[
      "replica"
    ],
    log,
    random: () => 0,
    nowMs: () => 0,
    isStopping: () => false,
  };
  await new HostRegistration(options as HostRegistrationOptions).register();
  assert.equal(putCount, 2);
  assert.deepEqual(warnings, ["unexpected_error"]);
});
