"""Messages between postpass's own processes: the types of the IDL, their encoding, and the versions of the protocol.

A message is a thrift message in binary protocol: its name (the verb of the request), kind, sequence number, and the
struct of its arguments or of its result. The IDL is `postpass/rpc/idl/peer.thrift`; most messages carry one string,
which is a JSON object.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import thriftpy2
from result import Result
from thriftpy2.protocol import TBinaryProtocol
from thriftpy2.protocol.binary import TBinaryProtocolFactory
from thriftpy2.transport import TMemoryBuffer
from thriftpy2.utils import deserialize, serialize

from postpass.runtime.errors import Fault

IDL: Any = thriftpy2.load(str(Path(__file__).parent / "idl" / "peer.thrift"), module_name="postpass_peer_thrift")
PACKET = 8 << 10  # the most bytes of a record that one `IDL.Packet` carries
# The lowest and highest wire version that this release speaks. A version is added when a message changes in a way that
# an older peer can't ignore; releases then speak both versions until every daemon speaks the new one.
WIRE_VERSIONS = (1, 2)
FRAGMENTS_VERSION = 2  # from this wire version on a message may come in fragments
RELEASE = "0.2.0"
HANDSHAKE = "hi"  # name of the first message on a link
FRAGMENT = "fragment"  # name of the messages that carry the pieces of a longer one

Body = dict[str, Any]  # the JSON object that a request or its response carries
PeerResponse = Result[Body, Fault]

_PROTOCOL = TBinaryProtocolFactory()


class ProtocolError(ValueError):
    """A peer sent bytes that are no valid message of this protocol; the link is closed because of it."""


class UnknownMessageError(ProtocolError):
    """A peer sent a message whose name is not in the IDL."""


class MissingArgumentError(ProtocolError):
    """A peer sent a message without its argument."""


class HandshakeRequiredError(ProtocolError):
    """A peer sent a message before a wire version was agreed on."""


def pack(record: Any) -> bytes:
    """Returns a struct of the IDL as bytes."""
    return bytes(serialize(record, _PROTOCOL))


def unpack(kind: Any, data: bytes) -> Any:
    """Returns the struct of the IDL type `kind` that is encoded in bytes.

    For invalid bytes it raises what the thrift library raises.
    """
    return deserialize(kind(), data, _PROTOCOL)


def is_oneway(verb: str) -> bool:
    """Returns whether a message gets no response."""
    return bool(getattr(IDL.Peer, verb + "_result").oneway)


def encode_message(verb: str, kind: int, sequence: int, record: Any) -> bytes:
    """Returns a message as bytes, without its frame; `kind` is a `TMessageType`."""
    buffer = TMemoryBuffer()
    protocol = TBinaryProtocol(buffer)
    protocol.write_message_begin(verb, kind, sequence)
    protocol.write_struct(record)
    protocol.write_message_end()
    return bytes(buffer.getvalue())


def encode_body(body: Body) -> str:
    """Returns the body of a request or a response as JSON text."""
    return json.dumps(body, separators=(",", ":"))


def encode_fault(fault: Fault) -> Any:
    """Returns a fault as a struct of the IDL, without `unsent` and `unsure`: only the sender of a request knows those."""
    return IDL.Fault(step=fault.step, peer=fault.peer, why=fault.why, code=fault.code, hint=fault.hint)


def decode_fault(record: Any) -> Fault:
    """Returns the fault with which a peer responded."""
    return Fault(record.step, record.peer, record.why, record.code, record.hint or "")
