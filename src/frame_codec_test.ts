import test from "ava";
import { Decoder } from "cbor-x";
import {
  createFrameReader,
  encodeFrame,
  FRAME_VERSION,
} from "./frame_codec.ts";
import { NAMED_MESSAGE_KINDS, NUMBERED_MESSAGE_KINDS } from "./peer_network.ts";

const LENGTH_BYTES = 4;

function encode(k: string): Buffer {
  return encodeFrame({ v: FRAME_VERSION, k, i: 0, r: false, g: 1, b: {} })
    ._unsafeUnwrap();
}

function kindOnWire(k: string): unknown {
  const decoder = new Decoder({ useRecords: false });
  const frame = decoder.decode(encode(k).subarray(LENGTH_BYTES)) as unknown[];
  return frame[1];
}

test("guards against closing the connections of an earlier release by a kind of message that it does not know", (t) => {
  for (const kind of NAMED_MESSAGE_KINDS) t.is(kindOnWire(kind), kind);
  // Positions that earlier releases know.
  t.is(kindOnWire("membership.probe"), 0);
  t.is(kindOnWire("gateway.configuration"), 25);
  t.is(NUMBERED_MESSAGE_KINDS.length, 26);
  const read = createFrameReader().push(encode("gateway.of_a_later_release"));
  t.is(read._unsafeUnwrap()[0]?.k, "gateway.of_a_later_release");
});
