"""Messages between postpass's own processes: the types of the IDL, their bytes, and the versions of the protocol.

A message is a thrift message in binary protocol: name, kind, sequence number, and the struct of its arguments or of its
result. The IDL is `postpass/rpc/idl/peer.thrift`; most messages carry one string, which is a JSON object.
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
# The lowest and highest wire version that this release speaks. One is added when a message changes in a way that the
# other side can't skip; then the release speaks both until every daemon does.
WIRE_VERSIONS = (1, 1)
RELEASE = "0.2.0"
HANDSHAKE = "hi"  # name of the first message on a link

Body = dict[str, Any]  # the JSON object that a request or its response carries
PeerResponse = Result[Body, Fault]

_PROTOCOL = TBinaryProtocolFactory()


class ProtocolError(ValueError):
    """A peer sent bytes that are no message of this protocol; the link they came on is closed."""


class UnknownMessageError(ProtocolError):
    """The name of a message is not in the IDL."""


class MissingArgumentError(ProtocolError):
    """A message came without its argument."""


class HandshakeRequiredError(ProtocolError):
    """A message came before a wire version was agreed on."""


def pack(record: Any) -> bytes:
    """The bytes of a struct of the IDL."""
    return bytes(serialize(record, _PROTOCOL))


def unpack(kind: Any, data: bytes) -> Any:
    """The struct of a type of the IDL that stands in these bytes. Raises what the library raises for foreign bytes."""
    return deserialize(kind(), data, _PROTOCOL)


def is_oneway(name: str) -> bool:
    """Whether a message gets no response."""
    return bool(getattr(IDL.Peer, name + "_result").oneway)


def encode_message(name: str, kind: int, sequence: int, record: Any) -> bytes:
    """A message without its frame; `kind` is a `TMessageType`."""
    buffer = TMemoryBuffer()
    protocol = TBinaryProtocol(buffer)
    protocol.write_message_begin(name, kind, sequence)
    protocol.write_struct(record)
    protocol.write_message_end()
    return bytes(buffer.getvalue())


def encode_body(body: Body) -> str:
    """The JSON text of a request or a response."""
    return json.dumps(body, separators=(",", ":"))


def encode_fault(fault: Fault) -> Any:
    """A fault as the IDL has it. What only the sender of a request can know (`unsent`, `unsure`) stays here."""
    return IDL.Fault(step=fault.step, peer=fault.peer, why=fault.why, code=fault.code, hint=fault.hint)


def decode_fault(record: Any) -> Fault:
    """The fault that a peer responded with."""
    return Fault(record.step, record.peer, record.why, record.code, record.hint or "")
