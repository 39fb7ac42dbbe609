"""Messages between stores as typed records; `encode` writes the keys of the JSON object in the order of earlier releases.

Records and acknowledgements are sent as thrift structures (`Packet`, `Ack`), which are not repeated here.
"""

from __future__ import annotations

import base64
from dataclasses import dataclass
from typing import NamedTuple

from postpass.replication.record_log import Record
from postpass.rpc.codec import Body

# Kinds of messages in an owner's stream (`Packet.kind`).
HEARTBEAT = "beat"  # the owner is alive; like every packet it says up to which record the log is covered
START = "start"  # the stream begins after the last record that both logs have
SNAPSHOT = "snap"  # a base that replaces the mirror's log
RECORD = "rec"  # the next record

Marks = list[tuple[int, int]]  # (epoch, first sequence number) of each run of records of one epoch in a log


class LogPosition(NamedTuple):
    """The end of a log. Of two logs, the one with the higher position is the more complete one.

    Attributes:
        epoch: Epoch of the last record.
        last: Sequence number of the last record.
    """

    epoch: int
    last: int


@dataclass(frozen=True, slots=True)
class PromiseRequest:
    """A candidate's request for a promise not to accept anything under a lower epoch (verb `promise`).

    Attributes:
        partition: Number of the partition.
        candidate: Name of the requesting store.
        handed_epoch: Epoch of the owner that handed the partition over to the candidate; 0 if none did.
        epoch: Epoch that the candidate runs for.
        probe: Whether the request only asks if the promise would be given; nothing is promised then.
    """

    partition: int
    candidate: str
    handed_epoch: int
    epoch: int
    probe: bool

    def encode(self) -> Body:
        """The body on the wire."""
        return {
            "part": self.partition,
            "who": self.candidate,
            "hand": self.handed_epoch,
            "epoch": self.epoch,
            "probe": int(self.probe),
        }

    @classmethod
    def decode(cls, body: Body) -> PromiseRequest:
        """Reads a body from the wire."""
        return cls(body["part"], body.get("who", ""), body.get("hand", 0), body["epoch"], bool(body["probe"]))


@dataclass(frozen=True, slots=True)
class PromiseAnswer:
    """The answer to a `PromiseRequest`.

    Attributes:
        disk: Identity of the answering store's disk; a promise counts for this disk only.
        promised: Highest epoch that the answering store has promised.
        granted: Whether the promise was given or, for a probe, would be.
        position: End of the answering store's log; None unless a promise was given.
        marks: Epoch and first sequence number of each run of one epoch in that log; None unless a promise was given.
    """

    disk: str
    promised: int
    granted: bool
    position: LogPosition | None = None
    marks: Marks | None = None

    def encode(self) -> Body:
        """The body on the wire."""
        body: Body = {"disk": self.disk, "promised": self.promised, "ok": self.granted}
        if self.position is None:
            return body
        return body | {"last": self.position.last, "last_epoch": self.position.epoch, "marks": self.marks}

    @classmethod
    def decode(cls, body: Body) -> PromiseAnswer:
        """Reads a body from the wire."""
        disk, promised, granted = str(body["disk"]), body["promised"], bool(body["ok"])
        if "last" not in body:
            return cls(disk, promised, granted)
        marks = [(epoch, seq) for epoch, seq in body["marks"]]
        return cls(disk, promised, granted, LogPosition(body["last_epoch"], body["last"]), marks)


@dataclass(frozen=True, slots=True)
class Hello:
    """An owner's message to a member under its epoch (verb `hello`): a handshake before a stream, unless one of the last
    four fields is set; at most one of them is.

    Attributes:
        partition: Number of the partition.
        epoch: Epoch of the sender.
        owner: Name of the sender.
        failed_disk: Identity of the receiver's disk if it lost records that it had acknowledged; else empty.
        confirm: Only ask whether a later epoch is known.
        handover: The sender has stepped down, so that the receiver may run for owner at once.
        handover_offer: Only ask whether the receiver would run for owner at once if the sender stepped down.
    """

    partition: int
    epoch: int
    owner: str
    failed_disk: str = ""
    confirm: bool = False
    handover: bool = False
    handover_offer: bool = False

    def encode(self) -> Body:
        """The body on the wire."""
        body: Body = {"part": self.partition, "epoch": self.epoch, "who": self.owner}
        if self.failed_disk:
            body["spoiled"] = self.failed_disk
        if self.confirm:
            body["confirm"] = 1
        if self.handover:
            body["hand"] = 1
        if self.handover_offer:
            body["offer"] = 1
        return body

    @classmethod
    def decode(cls, body: Body) -> Hello:
        """Reads a body from the wire."""
        return cls(
            body["part"],
            body["epoch"],
            body["who"],
            body.get("spoiled", ""),
            bool(body.get("confirm")),
            bool(body.get("hand")),
            bool(body.get("offer")),
        )


@dataclass(frozen=True, slots=True)
class HelloAnswer:
    """The answer to a `Hello`.

    Attributes:
        disk: Identity of the answering store's disk.
        promised: Highest epoch that the answering store has promised.
        accepted: Whether the answering store follows the sender's epoch, or confirms what was asked.
        last: Sequence number of the last record in the answering store's log; None unless a stream may begin.
        marks: Epoch and first sequence number of each run of one epoch in that log; None unless a stream may begin.
    """

    disk: str
    promised: int
    accepted: bool
    last: int | None = None
    marks: Marks | None = None

    def encode(self) -> Body:
        """The body on the wire."""
        body: Body = {"disk": self.disk, "promised": self.promised, "ok": self.accepted}
        return body if self.last is None else body | {"last": self.last, "marks": self.marks}

    @classmethod
    def decode(cls, body: Body) -> HelloAnswer:
        """Reads a body from the wire."""
        answer = cls(body["disk"], body["promised"], bool(body["ok"]))
        if "last" not in body:
            return answer
        marks = [(epoch, seq) for epoch, seq in body["marks"]]
        return cls(answer.disk, answer.promised, answer.accepted, body["last"], marks)


@dataclass(frozen=True, slots=True)
class FetchRequest:
    """A candidate's request for the records that a longer log has beyond its own (verb `fetch`).

    Attributes:
        partition: Number of the partition.
        epoch: Epoch that the candidate runs for.
        after: Sequence number after which records are requested.
        offset: Number of bytes of the base that have arrived, for the case that records after `after` are folded into it.
    """

    partition: int
    epoch: int
    after: int
    offset: int

    def encode(self) -> Body:
        """The body on the wire."""
        return {"part": self.partition, "epoch": self.epoch, "after": self.after, "at": self.offset}

    @classmethod
    def decode(cls, body: Body) -> FetchRequest:
        """Reads a body from the wire."""
        return cls(body["part"], body["epoch"], body["after"], body.get("at", 0))


@dataclass(frozen=True, slots=True)
class BasePiece:
    """A piece of a log's serialized base.

    Attributes:
        seq: Sequence number of the last record that is folded into the base.
        epoch: Epoch of that record.
        size: Number of bytes of the entire base.
        data: The bytes from the requested offset on.
    """

    seq: int
    epoch: int
    size: int
    data: bytes


@dataclass(frozen=True, slots=True)
class FetchAnswer:
    """The answer to a `FetchRequest`: the records after the requested one, or a piece of the base if it contains them."""

    records: list[Record]
    base: BasePiece | None = None

    def encode(self) -> Body:
        """The body on the wire."""
        body: Body = {"recs": [[r.seq, r.epoch, r.kind, base64.b64encode(r.body).decode()] for r in self.records]}
        if self.base is None:
            return body
        piece = self.base
        return body | {"base": [piece.seq, piece.epoch, piece.size, base64.b64encode(piece.data).decode()]}

    @classmethod
    def decode(cls, body: Body) -> FetchAnswer:
        """Reads a body from the wire."""
        records = [Record(seq, epoch, kind, base64.b64decode(data)) for seq, epoch, kind, data in body["recs"]]
        if "base" not in body:
            return cls(records)
        seq, epoch, size, data = body["base"]
        return cls(records, BasePiece(seq, epoch, size, base64.b64decode(data)))
