/**
 * Port for converting the store's objects to and from the types of the core.
 * The adapter of a platform implements it.
 *
 * @module
 */
import type { Document } from "../../core/document/document.ts";
import type { HostAddress } from "../../core/membership/types.ts";
import type { ReleaseOrder } from "../../core/release/types.ts";
import type { ContentVersion } from "../../core/store/content_version.ts";
import type { ObjectKind, StoredObject } from "../../core/store/types.ts";
import type { Registration } from "../../core/targets/types.ts";

/** Outcomes of a release that hosts write to the store. */
export type StoredOutcome = "running" | "complete" | "rolled_back";

/**
 * Decodes and encodes objects of the store. Apart from `decodeDocument`, which
 * returns its problems, methods return `undefined` for an invalid object.
 */
export interface ObjectCodec {
  /** Name of the object that holds the configuration document. */
  readonly documentName: string;
  /**
   * Returns the version of an object's content; `undefined` if the content has
   * none or is invalid.
   */
  contentVersion(
    kind: ObjectKind,
    object: StoredObject,
  ): ContentVersion | undefined;
  decodeDocument(
    specification: unknown,
  ): { document: Document } | { problems: string[] };
  decodeTarget(object: StoredObject): Registration | undefined;
  decodeRelease(object: StoredObject): ReleaseOrder | undefined;
  encodeOutcome(order: ReleaseOrder, outcome: StoredOutcome): unknown;
  decodeHost(object: StoredObject): HostAddress | undefined;
  encodeHost(host: HostAddress): unknown;
}
