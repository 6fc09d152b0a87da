/**
 * Encoding of changes of the store's objects between hosts.
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

/** Encodes changes of a kind. */
export function deltaToMessage(
  kind: ObjectKind,
  delta: KindDelta,
): KindDeltaMessage {
  return create(KindDeltaSchema, {
    kind,
    whole: delta.isSnapshot,
    removed: [...delta.removed],
    revision: delta.revision,
    objects: delta.objects.map((object) => ({
      name: object.name,
      revision: object.revision,
      specification: JSON.stringify(object.specification ?? null),
      status: JSON.stringify(object.status ?? null),
    })),
  });
}

/** Decodes changes; `undefined` for a kind that this version does not know. */
export function deltaFromMessage(
  message: KindDeltaMessage,
): { kind: ObjectKind; delta: KindDelta } | undefined {
  const { kind, whole, removed, revision } = message;
  if (!isObjectKind(kind)) return undefined;
  const objects = message.objects.map((object) => ({
    name: object.name,
    revision: object.revision,
    specification: JSON.parse(object.specification),
    status: JSON.parse(object.status),
  }));
  return { kind, delta: { isSnapshot: whole, objects, removed, revision } };
}

/** Whether a name is a kind that this version knows. */
export function isObjectKind(name: string): name is ObjectKind {
  return (OBJECT_KINDS as readonly string[]).includes(name);
}
