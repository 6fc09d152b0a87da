/**
 * Settings of an entry host. The schema gives types, defaults and checks.
 *
 * @module
 */
import * as z from "zod";

const address = z.string().regex(
  /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/,
  "must be an IPv4 number and a port, such as 192.0.2.7:8080",
);
const durationMs = z.number().nonnegative();
const part = z.number().min(0).max(1);

const host = z.object({
  id: z.string().min(1).describe("Name of this host, unique in the fleet"),
  availabilityZone: z.string().min(1),
  region: z.string().min(1),
});

const listen = z.object({
  callers: address.describe("Where callers send requests"),
  lookups: address.describe("Where callers ask which host to use"),
  readiness: address.describe("Where readiness and metrics are served"),
  peers: address.describe("Where other hosts connect and send datagrams"),
});

const bounds = z.object({
  graceMs: durationMs.default(6_000).describe(
    "Time from the signal to stop until the process is killed",
  ),
  maxLookupTtlMs: durationMs.default(5_000).describe(
    "Longest time for which a look-up answer may be kept",
  ),
  retryRatio: part.default(0.2).describe(
    "Repeated sends to a service per request, over all hosts",
  ),
  retryWindowMs: durationMs.default(10_000),
  retrySlack: z.number().nonnegative().default(64).describe(
    "Repeated sends in each window that are allowed besides",
  ),
  quotaWindowMs: durationMs.default(5_000).describe(
    "Window in which an organisation may send its rate and burst",
  ),
  quotaExcess: part.default(0.1).describe(
    "Part by which rate and burst may be exceeded in a window",
  ),
  quotaSlack: z.number().nonnegative().default(0).describe(
    "Requests by which a window may be exceeded besides",
  ),
  exposureShare: part.default(0.1).describe(
    "Part of a service's requests that a bad version may get",
  ),
});

const distance = z.object({
  regionMsPerKib: z.number().nonnegative().default(2.5).describe(
    "Milliseconds of waiting that are worth a kibibyte less between regions",
  ),
  zoneMsPerKib: z.number().nonnegative().default(0.5).describe(
    "The same between availability zones of a region",
  ),
});

/** Schema of the settings. */
export const entrySettingsSchema = z.object({
  host,
  listen,
  store: z.object({
    address: address.describe("Address of the platform's store"),
    callTimeoutMs: durationMs.default(1_500),
  }),
  seeds: z.array(address).default([]).describe(
    "Peer addresses of some hosts, which may be stale",
  ),
  regions: z.record(z.string(), z.string()).describe(
    "Region of each availability zone",
  ),
  firstStart: z.boolean().default(false).describe(
    "Whether the whole system starts for the first time",
  ),
  bounds: bounds.prefault({}),
  distance: distance.prefault({}),
  telemetry: z.object({
    traceFile: z.string().optional().describe("File for spans; none if absent"),
  }).prefault({}),
});

/** Checked settings of an entry host. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
/** Settings as they are written, before defaults are filled in. */
export type EntrySettingsInput = z.input<typeof entrySettingsSchema>;
