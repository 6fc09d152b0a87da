/**
 * Converts deltas of the store's objects to and from peer messages.
 *
 * @module
 */
import { create } from "@bufbuild/protobuf";
import {
  type KindDelta,
  OBJECT_KINDS,
  type ObjectKind,
} from "../../core/store/types.ts";
import {
  type KindDelta as KindDeltaMessage,
  KindDeltaSchema,
} from "../../gen/cranberryhoist/v1/peer_pb.ts";

/** Converts a delta to its message. */
export function deltaToMessage(
  kind: ObjectKind,
  delta: KindDelta,
): KindDeltaMessage {
  return create(KindDeltaSchema, {
    kind,
    whole: delta.isSnapshot,
    removed: [...delta.removed],
    revision: delta.position.revision,
    epoch: delta.position.epoch,
    objects: delta.objects.map((object) => ({
      name: object.name,
      revision: object.revision,
      specification: JSON.stringify(object.specification ?? null),
      status: JSON.stringify(object.status ?? null),
    })),
  });
}

/**
 * Converts a message to a delta; `undefined` for a kind that this build does
 * not support, as a newer one may send it.
 *
 * @throws {SyntaxError} When an object is not valid JSON.
 */
export function deltaFromMessage(
  message: KindDeltaMessage,
): { kind: ObjectKind; delta: KindDelta } | undefined {
  const { kind, whole, removed, epoch, revision } = message;
  if (!isObjectKind(kind)) return undefined;
  const objects = message.objects.map((object) => ({
    name: object.name,
    revision: object.revision,
    specification: JSON.parse(object.specification),
    status: JSON.parse(object.status),
  }));
  const position = { epoch, revision };
  return { kind, delta: { isSnapshot: whole, objects, removed, position } };
}

/** Whether this build supports a kind. */
export function isObjectKind(name: string): name is ObjectKind {
  return (OBJECT_KINDS as readonly string[]).includes(name);
}
