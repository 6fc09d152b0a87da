/**
 * Decoding of the store's objects into the product's own types. The adapter
 * of a platform provides it.
 *
 * @module
 */
import type { Document } from "../../core/document/document.ts";
import type { HostAddress } from "../../core/membership/types.ts";
import type { ReleaseOrder } from "../../core/release/types.ts";
import type { StoredObject } from "../../core/store/types.ts";
import type { Registration } from "../../core/targets/types.ts";

/** Outcome of a release that the system writes. */
export type StoredOutcome = "running" | "complete" | "rolled_back";

/** Decodes and encodes objects. What can't be read decodes to nothing. */
export interface ObjectCodec {
  /** Name of the object that holds the document. */
  readonly documentName: string;
  decodeDocument(
    specification: unknown,
  ): { document: Document } | { problems: string[] };
  decodeTarget(object: StoredObject): Registration | undefined;
  decodeRelease(object: StoredObject): ReleaseOrder | undefined;
  encodeOutcome(order: ReleaseOrder, outcome: StoredOutcome): unknown;
  decodeHost(object: StoredObject): HostAddress | undefined;
  encodeHost(host: HostAddress): unknown;
}
