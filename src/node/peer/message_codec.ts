/**
 * Encodes and decodes generated messages in the binary format of Protobuf, from
 * and to plain objects.
 *
 * Hosts decode about a hundred messages a second. The library creates a
 * reflective wrapper for each message and field, which took most of the time of
 * a report. Here the fields of a message type are looked up once.
 *
 * Only what `peer.proto` uses is supported: strings, bytes, bool, uint32, fixed32,
 * float, double and messages, singular or repeated.
 *
 * @module
 */
import {
  type DescField,
  type DescMessage,
  type MessageInitShape,
  type MessageShape,
  ScalarType,
} from "@bufbuild/protobuf";
import { FeatureSet_FieldPresence } from "@bufbuild/protobuf/wkt";
import { MessageReader, MessageWriter, WIRE_TYPES } from "./wire_format.ts";

/** A message as an object; its type is checked by the callers' types. */
type Fields = Record<string, unknown>;

/** How a scalar is read and written. */
interface ScalarCodec {
  readonly wireType: number;
  readonly defaultValue: unknown;
  read(reader: MessageReader): unknown;
  write(writer: MessageWriter, value: never): void;
}

/** A field of a message type. */
interface FieldCodec {
  readonly name: string;
  readonly number: number;
  readonly isRepeated: boolean;
  /** Value of an absent field, which is not written; absent for messages. */
  readonly defaultValue: unknown;
  /** Absent for messages. */
  readonly scalar: ScalarCodec | undefined;
  /** Absent for scalars. */
  readonly message: MessageCodec | undefined;
}

/** The fields of a message type. */
interface MessageCodec {
  readonly typeName: string;
  /** Sorted by number, as they are written. */
  readonly fields: readonly FieldCodec[];
  /** By number. */
  readonly byNumber: readonly (FieldCodec | undefined)[];
}

const SCALAR_CODECS: Partial<Record<ScalarType, ScalarCodec>> = {
  [ScalarType.STRING]: {
    wireType: WIRE_TYPES.lengthDelimited,
    defaultValue: "",
    read: (reader) => reader.string(),
    write: (writer, value) => writer.string(value),
  },
  [ScalarType.BYTES]: {
    wireType: WIRE_TYPES.lengthDelimited,
    defaultValue: new Uint8Array(0),
    read: (reader) => reader.bytes(),
    write: (writer, value) => writer.bytes(value),
  },
  [ScalarType.BOOL]: {
    wireType: WIRE_TYPES.varint,
    defaultValue: false,
    read: (reader) => reader.bool(),
    write: (writer, value) => writer.uint32(value ? 1 : 0),
  },
  [ScalarType.UINT32]: {
    wireType: WIRE_TYPES.varint,
    defaultValue: 0,
    read: (reader) => reader.uint32(),
    write: (writer, value) => writer.uint32(value),
  },
  [ScalarType.FIXED32]: {
    wireType: WIRE_TYPES.fixed32,
    defaultValue: 0,
    read: (reader) => reader.fixed32(),
    write: (writer, value) => writer.fixed32(value),
  },
  [ScalarType.FLOAT]: {
    wireType: WIRE_TYPES.fixed32,
    defaultValue: 0,
    read: (reader) => reader.float(),
    write: (writer, value) => writer.float(value),
  },
  [ScalarType.DOUBLE]: {
    wireType: WIRE_TYPES.fixed64,
    defaultValue: 0,
    read: (reader) => reader.double(),
    write: (writer, value) => writer.double(value),
  },
};

const codecs = new Map<DescMessage, MessageCodec>();

/**
 * Encodes a message.
 *
 * @throws {RangeError} If a number is no uint32 where one is required.
 */
export function encodeMessage<Desc extends DescMessage>(
  schema: Desc,
  message: MessageInitShape<Desc>,
): Uint8Array {
  const writer = new MessageWriter();
  writeMessage(writer, codecOf(schema), message as Fields);
  return writer.finish();
}

/**
 * Decodes a message. Unknown fields are ignored.
 *
 * @throws {RangeError} When the bytes are no valid message.
 */
export function decodeMessage<Desc extends DescMessage>(
  schema: Desc,
  bytes: Uint8Array,
): MessageShape<Desc> {
  const reader = new MessageReader(bytes);
  return readMessage(reader, codecOf(schema)) as MessageShape<Desc>;
}

function codecOf(schema: DescMessage): MessageCodec {
  let codec = codecs.get(schema);
  if (codec === undefined) {
    const fields = schema.fields.map(createFieldCodec)
      .sort((a, b) => a.number - b.number);
    const byNumber: FieldCodec[] = [];
    for (const field of fields) byNumber[field.number] = field;
    codec = { typeName: schema.typeName, fields, byNumber };
    codecs.set(schema, codec);
  }
  return codec;
}

function createFieldCodec(field: DescField): FieldCodec {
  const { localName: name, number } = field;
  const isRepeated = field.fieldKind === "list";
  const type = isRepeated ? field.listKind : field.fieldKind;
  if (type === "message" && field.message !== undefined) {
    const message = codecOf(field.message);
    return {
      name,
      number,
      isRepeated,
      defaultValue: undefined,
      scalar: undefined,
      message,
    };
  }
  const scalar = type === "scalar" && field.scalar !== undefined
    ? SCALAR_CODECS[field.scalar]
    : undefined;
  if (scalar === undefined) {
    throw new TypeError(`the type of ${field.toString()} is not supported`);
  }
  const isOptional = !isRepeated &&
    field.presence === FeatureSet_FieldPresence.EXPLICIT;
  const defaultValue = isOptional ? undefined : scalar.defaultValue;
  return { name, number, isRepeated, defaultValue, scalar, message: undefined };
}

function writeMessage(
  writer: MessageWriter,
  { fields }: MessageCodec,
  message: Fields,
): void {
  for (const field of fields) {
    const value = message[field.name];
    if (value === undefined) continue;
    if (field.isRepeated) writeList(writer, field, value as unknown[]);
    else if (field.message !== undefined) writeNested(writer, field, value);
    else if (!isDefault(value, field.defaultValue)) {
      writer.tag(field.number, field.scalar!.wireType);
      field.scalar!.write(writer, value as never);
    }
  }
}

/** Whether a value is omitted, as the receiver assumes it. */
function isDefault(value: unknown, defaultValue: unknown): boolean {
  return value instanceof Uint8Array && defaultValue !== undefined
    ? value.length === 0
    : value === defaultValue;
}

function writeNested(
  writer: MessageWriter,
  { number, message }: FieldCodec,
  value: unknown,
): void {
  writer.tag(number, WIRE_TYPES.lengthDelimited);
  const start = writer.fork();
  writeMessage(writer, message!, value as Fields);
  writer.join(start);
}

function writeList(
  writer: MessageWriter,
  field: FieldCodec,
  values: readonly unknown[],
): void {
  const { scalar, number } = field;
  if (values.length === 0) return;
  if (scalar === undefined) {
    for (const value of values) writeNested(writer, field, value);
  } else if (scalar.wireType === WIRE_TYPES.lengthDelimited) {
    for (const value of values) {
      writer.tag(number, scalar.wireType);
      scalar.write(writer, value as never);
    }
  } else {
    writer.tag(number, WIRE_TYPES.lengthDelimited);
    const start = writer.fork();
    for (const value of values) scalar.write(writer, value as never);
    writer.join(start);
  }
}

function readMessage(reader: MessageReader, codec: MessageCodec): Fields {
  const message: Fields = { $typeName: codec.typeName };
  for (const { name, isRepeated, defaultValue } of codec.fields) {
    message[name] = isRepeated ? [] : defaultValue;
  }
  while (!reader.isAtEnd) {
    const tag = reader.uint32();
    const wireType = tag & 7;
    const field = codec.byNumber[tag >>> 3];
    if (field === undefined) reader.skip(wireType);
    else readField(reader, field, { message, wireType });
  }
  return message;
}

function readField(
  reader: MessageReader,
  { name, isRepeated, scalar, message: nested }: FieldCodec,
  { message, wireType }: { message: Fields; wireType: number },
): void {
  if (nested !== undefined) {
    if (wireType !== WIRE_TYPES.lengthDelimited) return reader.skip(wireType);
    const end = reader.enter();
    const value = readMessage(reader, nested);
    reader.leave(end);
    if (isRepeated) (message[name] as unknown[]).push(value);
    else message[name] = value;
  } else if (scalar !== undefined && wireType === scalar.wireType) {
    const value = scalar.read(reader);
    if (isRepeated) (message[name] as unknown[]).push(value);
    else message[name] = value;
  } else if (
    scalar !== undefined && isRepeated &&
    wireType === WIRE_TYPES.lengthDelimited
  ) {
    const values = message[name] as unknown[];
    const end = reader.enter();
    while (!reader.isAtEnd) values.push(scalar.read(reader));
    reader.leave(end);
  } else reader.skip(wireType);
}
