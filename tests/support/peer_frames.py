"""Frames of the links between peers: captured from a simulated run, told as plain JSON, and told apart by their keys."""

from __future__ import annotations

import base64
import json
import struct
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any
from unittest import mock

from thriftpy2.protocol import TBinaryProtocol
from thriftpy2.thrift import TMessageType
from thriftpy2.transport import TMemoryBuffer

from postpass.rpc.codec import IDL
from sim.announced import PORTS
from sim.loop import Pipe

LENGTH = struct.Struct("!i")
CALL, REPLY, ONEWAY = "call", "reply", "oneway"
DIRECTIONS = {TMessageType.CALL: CALL, TMessageType.REPLY: REPLY, TMessageType.ONEWAY: ONEWAY}
LONGEST_SAMPLE = 8 << 10


@dataclass(frozen=True)
class Frame:
    """One message of a link, with its length in front as it was sent."""

    data: bytes
    verb: str
    direction: str
    number: int
    value: dict[str, Any]  # its arguments or its result, as JSON

    @classmethod
    def of(cls, data: bytes) -> Frame:
        """Decodes a frame by the definitions of the running release."""
        (length,) = LENGTH.unpack_from(data)
        if length != len(data) - LENGTH.size:
            raise ValueError(f"a frame of {length} bytes in {len(data) - LENGTH.size}")
        protocol = TBinaryProtocol(TMemoryBuffer(data[LENGTH.size :]))
        verb, kind, number = protocol.read_message_begin()
        direction = DIRECTIONS[kind]
        suffix = "_result" if direction == REPLY else "_args"
        thing = getattr(IDL.Peer, verb + suffix)()
        protocol.read_struct(thing)
        return cls(data, verb, direction, number, plain(thing))

    def as_json(self) -> dict[str, Any]:
        """As it is kept in a file."""
        return {
            "verb": self.verb,
            "direction": self.direction,
            "number": self.number,
            "value": self.value,
            "data": base64.b64encode(self.data).decode(),
        }

    @classmethod
    def from_json(cls, raw: dict[str, Any]) -> Frame:
        """As it was kept, without decoding it anew."""
        return cls(base64.b64decode(raw["data"]), raw["verb"], raw["direction"], raw["number"], raw["value"])

    @property
    def body(self) -> Any:
        """What the message carries: a JSON object, the fields of a struct, or a list of them."""
        return next((part for part in self.value.values() if part is not None), None)

    @property
    def keys(self) -> frozenset[str]:
        """The names at the top of the message's body."""
        body = self.body
        if isinstance(body, list):
            return frozenset(key for part in body for key in part)
        return frozenset(body.get("json", body))


def plain(thing: Any) -> Any:
    """A thrift value as JSON has it: structs by field, bytes in base64, texts that hold JSON parsed."""
    if hasattr(thing, "thrift_spec"):
        return {spec[1]: plain(getattr(thing, spec[1])) for spec in thing.thrift_spec.values()}
    if isinstance(thing, list):
        return [plain(part) for part in thing]
    if isinstance(thing, bytes):
        return {"base64": base64.b64encode(thing).decode()}
    if isinstance(thing, str) and thing.startswith("{"):
        return {"json": json.loads(thing)}
    return thing


def struct_of(kind: Any, raw: dict[str, Any]) -> Any:
    """The flat thrift struct that `plain` told."""
    made = kind()
    for name, value in raw.items():
        setattr(made, name, base64.b64decode(value["base64"]) if isinstance(value, dict) else value)
    return made


@contextmanager
def captured_frames() -> Iterator[list[Frame]]:
    """Collects what peers of an announced fleet send each other while this lasts."""
    frames: list[Frame] = []
    write = Pipe.write

    def recorded(pipe: Pipe, data: Any) -> None:
        ports = {pipe.get_extra_info(end)[1] for end in ("sockname", "peername")}
        if PORTS[0] in ports:
            frames.append(Frame.of(bytes(data)))
        write(pipe, data)

    with mock.patch.object(Pipe, "write", recorded):
        yield frames


def names_previous_voters(body: Any) -> bool:
    """Does a replica set in the message carry along the voters before it?"""
    told = body.get("json", {})
    held = told.get("held")
    replica_set = (held if isinstance(held, dict) else told).get("pair")
    return isinstance(replica_set, dict) and bool(replica_set["previous_voters"])


def samples(frames: Iterable[Frame]) -> list[Frame]:
    """The shortest message of each kind: of each verb, direction and set of keys, of each kind of packet or error, and with
    and without previous voters."""
    shortest: dict[tuple[Any, ...], Frame] = {}
    for frame in frames:
        body = frame.body
        detail: tuple[Any, ...] = ()
        if isinstance(body, dict):
            detail = (body.get("kind"), body.get("code"), "json" in body, names_previous_voters(body))
        kind = (frame.verb, frame.direction, tuple(sorted(frame.keys)), *detail)
        if kind not in shortest or len(frame.data) < len(shortest[kind].data):
            shortest[kind] = frame
    kept = [frame for frame in shortest.values() if len(frame.data) <= LONGEST_SAMPLE]
    return sorted(kept, key=lambda frame: (frame.verb, frame.direction, len(frame.data), frame.data))


def message_keys(frames: Iterable[Frame]) -> dict[str, dict[str, list[str]]]:
    """By verb and direction: the keys that every such message had, and those that some had. Errors are left out."""
    sets: dict[str, list[frozenset[str]]] = {}
    for frame in frames:
        if frame.value.get("fault") is None and frame.body is not None:
            sets.setdefault(f"{frame.verb} {frame.direction}", []).append(frame.keys)
    return {
        name: {"always": sorted(frozenset.intersection(*found)), "sometimes": sorted(frozenset.union(*found))}
        for name, found in sorted(sets.items())
    }
