/**
 * Settings of an entry host. The schema defines types, defaults and checks.
 *
 * @module
 */
import * as z from "zod";

const address = z.string().regex(
  /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/,
  "must be an IPv4 address and a port, such as 192.0.2.7:8080",
);
const durationMs = z.number().nonnegative();
const fraction = z.number().min(0).max(1);

const host = z.object({
  id: z.string().min(1).describe(
    "Identifier of this host, unique among all hosts",
  ),
  availabilityZone: z.string().min(1),
  region: z.string().min(1),
});

const listen = z.object({
  callers: address.describe("Address for requests of callers"),
  lookups: address.describe("Address for lookups of the hosts to use"),
  readiness: address.describe("Address for the readiness check and metrics"),
  peers: address.describe("Address for connections and datagrams of peers"),
});

const bounds = z.object({
  graceMs: durationMs.default(6_000).describe(
    "Grace period: time from the stop signal until the process is killed",
  ),
  maxLookupTtlMs: durationMs.default(5_000).describe(
    "Longest time to live of a lookup response",
  ),
  retryRatio: fraction.default(0.2).describe(
    "Retries to a service per request, over all hosts",
  ),
  retryWindowMs: durationMs.default(10_000),
  retrySlack: z.number().nonnegative().default(64).describe(
    "Retries allowed in each window in addition to the ratio",
  ),
  quotaWindowMs: durationMs.default(5_000).describe(
    "Length of the windows in which rate and burst of an organisation hold",
  ),
  quotaExcess: fraction.default(0.1).describe(
    "Fraction by which rate and burst may be exceeded in a window",
  ),
  quotaSlack: z.number().nonnegative().default(0).describe(
    "Requests allowed in a window in addition to that fraction",
  ),
  targetDrainMs: durationMs.default(2_000).describe(
    "Time in which a target that drains or is gone gets no more requests",
  ),
  evacuationMs: durationMs.default(5_000).describe(
    "Time in which the targets of an evacuated zone get no more requests",
  ),
  exposureShare: fraction.default(0.1).describe(
    "Largest share of a service's requests for a version that turns out bad",
  ),
});

const distance = z.object({
  regionMsPerKib: z.number().nonnegative().default(2.5).describe(
    "Cost of sending a kibibyte between regions, in milliseconds of waiting",
  ),
  zoneMsPerKib: z.number().nonnegative().default(0.5).describe(
    "Cost of sending a kibibyte between availability zones of a region",
  ),
});

const usageReports = z.object({
  address: address.describe("Address of the API that takes the reports"),
  windowMs: durationMs.min(100).default(5_000).describe(
    "Length of the windows of the wall clock that are reported",
  ),
  lateMs: durationMs.default(10_000).describe(
    "Time after the end of a window by which its report is due",
  ),
  leaseMs: durationMs.default(3_000).describe(
    "Time within which hosts must not take turns in reporting",
  ),
  callsPerS: z.number().positive().default(1).describe(
    "Calls that the API takes from all hosts together",
  ),
  requiresFence: z.boolean().default(false).describe(
    "Whether the API refuses calls with a lower fencing token",
  ),
});

/** Schema of the settings of an entry host. */
export const entrySettingsSchema = z.object({
  host,
  listen,
  store: z.object({
    address: address.describe("Address of the store"),
    callTimeoutMs: durationMs.default(1_500),
  }),
  seeds: z.array(address).default([]).describe(
    "Peer addresses of some hosts, used before the store responds; may be stale",
  ),
  regions: z.record(z.string(), z.string()).describe(
    "Region of each availability zone",
  ),
  firstStart: z.boolean().default(false).describe(
    "Whether all hosts start for the first time, so no quota has been used",
  ),
  limits: z.object({
    maxDescriptors: z.number().int().min(1).optional().describe(
      "Descriptors that the process may have open; default: the limit that the system states",
    ),
  }).prefault({}),
  bounds: bounds.prefault({}),
  distance: distance.prefault({}),
  usageReports: usageReports.optional().describe(
    "Reports of the requests of each organisation; none are made if absent",
  ),
  telemetry: z.object({
    traceFile: z.string().optional().describe(
      "File to which spans are written; tracing is off if absent",
    ),
  }).prefault({}),
});

/** Settings of an entry host with their defaults filled in. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
/** Settings as written in a file, without defaults. */
export type EntrySettingsInput = z.input<typeof entrySettingsSchema>;
