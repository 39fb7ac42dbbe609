"""The messages between control members, with their codecs to and from the JSON body of a verb.

Keys and their order are those of release 0.2.0; fields carry the field's terms. A decoder raises KeyError, TypeError or
ValueError if a key that every release sends is missing or garbled.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from postpass.control.epochs import Acknowledgement, PreVote, ReplicaSet
from postpass.control.journal import Change, JournalError, Position
from postpass.control.state import ReplicatedState
from postpass.rpc.codec import Body

# Verbs between members, as they stand on the wire. A handler is the method `on_<verb>`.
PREPARE = "look"
GRANT = "grant"
APPEND = "copy"
ADOPT = "adopt"
HEAR = "hear"


# --- votes
@dataclass(frozen=True)
class PreVoteRequest:
    """Asks whether a member would back `candidate` as the primary of a new epoch; nothing is promised."""

    candidate: str

    def as_json(self) -> Body:
        """As members send it."""
        return {"probe": 1, "who": self.candidate}


@dataclass(frozen=True)
class PrepareRequest:
    """Asks for a promise to accept nothing below `epoch`, and nothing of it but from `candidate`.

    `handover` is set where the primary asked for this election: the others still hear it, and promise all the same.
    """

    candidate: str
    epoch: int
    handover: bool = False

    def as_json(self) -> Body:
        """As members send it."""
        return {"epoch": self.epoch, "who": self.candidate} | ({"handover": 1} if self.handover else {})


def prepare_request_of(body: Body) -> PreVoteRequest | PrepareRequest:
    """The two requests share a verb; the one of the pre-vote is marked as a probe."""
    if body.get("probe"):
        return PreVoteRequest(body.get("who", ""))
    return PrepareRequest(body.get("who", ""), body["epoch"], bool(body.get("handover")))


@dataclass(frozen=True)
class GrantRequest:
    """Asks a member to grant the epoch of `replica_set` to `candidate`, whose backups hold the state by now."""

    candidate: str
    replica_set: ReplicaSet

    def as_json(self) -> Body:
        """As members send it."""
        return {"pair": self.replica_set.as_json(), "who": self.candidate}

    @classmethod
    def from_json(cls, body: Body) -> GrantRequest:
        """Reads what a candidate sent."""
        return cls(body["who"], ReplicaSet.of(body["pair"]))


@dataclass(frozen=True)
class VoteAnswer:
    """What a member answers in an election, and what it holds.

    `accepted` says that it would back the candidate, promised the epoch or granted it, by the question. `replica_set` is
    the last one that it granted, `state_epoch` and `state_revision` tell the state on its disk (0 if there is none) and
    `known_revision` the newest configuration that it knows to be in force.
    """

    accepted: bool
    disk: str
    promised: int
    replica_set: ReplicaSet
    state_epoch: int
    state_revision: int
    known_revision: int
    leaving: bool

    def as_json(self) -> Body:
        """As members send it."""
        return {
            "disk": self.disk, "promised": self.promised, "pair": self.replica_set.as_json(),
            "whole": self.state_epoch, "edition": self.state_revision, "news": self.known_revision,
            "leaving": self.leaving, "ok": self.accepted,
        }  # fmt: skip

    @classmethod
    def from_json(cls, body: Body) -> VoteAnswer:
        """Reads what a member answered; releases before 0.3 don't tell whether they leave."""
        return cls(
            accepted=bool(body["ok"]),
            disk=str(body["disk"]),
            promised=int(body["promised"]),
            replica_set=ReplicaSet.of(body["pair"]),
            state_epoch=body["whole"],
            state_revision=body.get("edition", 0),
            known_revision=body.get("news", 0),
            leaving=bool(body.get("leaving")),
        )

    @property
    def is_blank(self) -> bool:
        """Has the member neither granted an epoch nor synced a state?"""
        return self.state_epoch == 0 and self.replica_set.epoch == 0

    def prevote(self, member: str) -> PreVote:
        """The answer to a pre-vote, as the rule of the pre-vote takes it."""
        return PreVote(member, self.disk, not self.accepted)

    def acknowledgement(self, member: str) -> Acknowledgement:
        """The answer to a grant, as it counts for the epoch that it tells."""
        return Acknowledgement(member, self.disk, self.replica_set.epoch)


def newest_replica_set(answers: Mapping[str, VoteAnswer]) -> ReplicaSet:
    """The replica set of the highest epoch that any of the answers tells."""
    return max((answer.replica_set for answer in answers.values()), key=lambda replica_set: replica_set.epoch)


# --- replication
@dataclass(frozen=True)
class AppendRequest:
    """A state to sync, whole or as a change, or a heartbeat alone, from the primary or candidate of `epoch`.

    `revision` is the configuration in force by the sender, which may be fetched at `address`. `granted` is false while
    the epoch is not granted yet. `state` and `change` are decoded only once the epoch is accepted.
    """

    epoch: int
    sender: str
    revision: int
    address: str
    granted: bool
    change_json: Body | None = None
    state_json: Body | None = None

    def as_json(self) -> Body:
        """As members send it."""
        body: Body = {
            "epoch": self.epoch, "who": self.sender, "edition": self.revision, "at": self.address, "granted": self.granted,
        }  # fmt: skip
        if self.change_json is not None:
            body["change"] = self.change_json
        elif self.state_json is not None:
            body["held"] = self.state_json
        return body

    @classmethod
    def from_json(cls, body: Body) -> AppendRequest:
        """Reads what a member sent. Releases before 0.3 don't tell whether their epoch is granted, and are taken for
        primaries."""
        return cls(
            epoch=body["epoch"],
            sender=body.get("who", ""),
            revision=body.get("edition", 0),
            address=body.get("at", ""),
            granted=bool(body.get("granted", True)),
            change_json=body.get("change"),
            state_json=body.get("held"),
        )

    @property
    def is_heartbeat(self) -> bool:
        """Is there nothing to sync?"""
        return self.change_json is None and self.state_json is None

    def change(self) -> Change:
        """The change to sync; raises JournalError if it is garbled."""
        return Change.from_json(self.change_json)

    def state(self) -> ReplicatedState:
        """The whole state to sync."""
        assert self.state_json is not None
        return ReplicatedState.of(self.state_json)


@dataclass(frozen=True)
class AppendAnswer:
    """What a replica answers to an append: `accepted` once what came is synced. `position` names the state that it holds,
    where a change was sent; None if that isn't told."""

    accepted: bool
    epoch: int
    promised: int
    disk: str
    leaving: bool
    position: Position | None = None

    def as_json(self) -> Body:
        """As members send it."""
        body: Body = {
            "ok": self.accepted, "epoch": self.epoch, "promised": self.promised, "disk": self.disk, "leaving": self.leaving,
        }  # fmt: skip
        if self.position is not None:
            body["holds"] = self.position.as_json()
        return body

    @classmethod
    def from_json(cls, body: Body, epoch: int) -> AppendAnswer:
        """Reads the answer to a request of `epoch`: releases before 0.3 don't repeat it, and the answer belongs to this
        request by its number."""
        return cls(
            accepted=bool(body["ok"]),
            epoch=body.get("epoch", epoch),
            promised=body["promised"],
            disk=str(body["disk"]),
            leaving=bool(body.get("leaving")),
            position=_position(body.get("holds")),
        )


def _position(raw: Any) -> Position | None:
    """A garbled position names no state, so whoever sent a change sends the whole state next."""
    try:
        return Position.from_json(raw)
    except JournalError:
        return None


# --- leadership
@dataclass(frozen=True)
class AdoptRequest:
    """The primary of `epoch` leaves, and asks a backup to run for election at once."""

    epoch: int

    def as_json(self) -> Body:
        """As members send it."""
        return {"epoch": self.epoch}

    @classmethod
    def from_json(cls, body: Body) -> AdoptRequest:
        """Reads what a primary sent."""
        return cls(body["epoch"])


@dataclass(frozen=True)
class AdoptAnswer:
    """Whether the backup is the primary of a new epoch now."""

    accepted: bool

    def as_json(self) -> Body:
        """As members send it."""
        return {"ok": self.accepted}

    @classmethod
    def from_json(cls, body: Body) -> AdoptAnswer:
        """Reads what a backup answered."""
        return cls(bool(body["ok"]))


@dataclass(frozen=True)
class HeartbeatReport:
    """Whom a control member heard lately: workers and machines, each with the seconds since then."""

    worker_ages: Mapping[str, float]
    machine_ages: Mapping[str, float]
    member: str = ""

    def as_json(self) -> Body:
        """As members send it."""
        return {"beats": self.worker_ages, "spoke": self.machine_ages, "who": self.member}

    @classmethod
    def from_json(cls, body: Body) -> HeartbeatReport:
        """Reads what a member sent; releases before 0.3 don't tell which one it is."""
        return cls(body["beats"], body["spoke"], body.get("who", ""))


@dataclass(frozen=True)
class HeartbeatReportAnswer:
    """Whether the member that took a report leads: only then does the report count."""

    leads: bool

    def as_json(self) -> Body:
        """As members send it."""
        return {"leads": self.leads}

    @classmethod
    def from_json(cls, body: Body) -> HeartbeatReportAnswer:
        """Reads what a member answered."""
        return cls(bool(body["leads"]))
