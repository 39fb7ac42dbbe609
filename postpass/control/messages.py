"""The messages between control members, with their encoding as the JSON body of a verb.

Keys and their order are those of release 0.2.0, while the fields of the classes are named by the usual terms. A decoder
raises KeyError, TypeError or ValueError if a key that every release sends is missing or garbled.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from postpass.control.epochs import Acknowledgement, PreVote, ReplicaSet
from postpass.control.journal import Change, JournalError, Position
from postpass.control.state import ReplicatedState
from postpass.rpc.codec import Body

# Verbs between members, as they are sent. The handler of a verb is the method `on_<verb>`.
PREPARE = "look"
GRANT = "grant"
APPEND = "copy"
ADOPT = "adopt"
HEAR = "hear"  # carries a HeartbeatReport


# --- votes
@dataclass(frozen=True)
class PreVoteRequest:
    """Asks whether a member would support `candidate` as the primary of a new epoch. The answer promises nothing."""

    candidate: str

    def as_json(self) -> Body:
        """Returns the JSON object that members send."""
        return {"probe": 1, "who": self.candidate}


@dataclass(frozen=True)
class PrepareRequest:
    """Asks a member to promise that it accepts nothing below `epoch`, and messages of `epoch` from `candidate` only.

    `handover` is set if the present primary started this election to hand over its leadership: the members still hear
    that primary, and give the promise all the same.
    """

    candidate: str
    epoch: int
    handover: bool = False

    def as_json(self) -> Body:
        """Returns the JSON object that members send."""
        return {"epoch": self.epoch, "who": self.candidate} | ({"handover": 1} if self.handover else {})


def prepare_request_from_json(body: Body) -> PreVoteRequest | PrepareRequest:
    """Decodes a request of either kind. The two share a verb; a pre-vote is marked by the key `probe`."""
    if body.get("probe"):
        return PreVoteRequest(body.get("who", ""))
    return PrepareRequest(body.get("who", ""), body["epoch"], bool(body.get("handover")))


@dataclass(frozen=True)
class GrantRequest:
    """Asks a member to grant the epoch of `replica_set` to `candidate`, whose backups have synced the state before."""

    candidate: str
    replica_set: ReplicaSet

    def as_json(self) -> Body:
        """Returns the JSON object that members send."""
        return {"pair": self.replica_set.as_json(), "who": self.candidate}

    @classmethod
    def from_json(cls, body: Body) -> GrantRequest:
        """Decodes what a candidate sent."""
        return cls(body["who"], ReplicaSet.from_json(body["pair"]))


@dataclass(frozen=True)
class VoteAnswer:
    """A member's answer to a request of an election, with what the member has on its disk.

    `accepted` says, depending on the request, that the member would support the candidate, has promised the epoch or
    has granted it. `promised` is the highest epoch that it promised, `replica_set` the last one that it granted.
    `state_epoch` and `state_revision` are those of the state on its disk (0 if there is none), `known_revision` is that
    of the newest configuration that it knows to be in force, and `leaving` says that the member was told to leave the
    fleet.
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
        """Returns the JSON object that members send."""
        return {
            "disk": self.disk, "promised": self.promised, "pair": self.replica_set.as_json(),
            "whole": self.state_epoch, "edition": self.state_revision, "news": self.known_revision,
            "leaving": self.leaving, "ok": self.accepted,
        }  # fmt: skip

    @classmethod
    def from_json(cls, body: Body) -> VoteAnswer:
        """Decodes what a member answered; releases before 0.3 don't send `leaving`."""
        return cls(
            accepted=bool(body["ok"]),
            disk=str(body["disk"]),
            promised=int(body["promised"]),
            replica_set=ReplicaSet.from_json(body["pair"]),
            state_epoch=body["whole"],
            state_revision=body.get("edition", 0),
            known_revision=body.get("news", 0),
            leaving=bool(body.get("leaving")),
        )

    @property
    def is_blank(self) -> bool:
        """Whether the member has neither granted an epoch nor synced a state."""
        return self.state_epoch == 0 and self.replica_set.epoch == 0

    def prevote(self, member: str) -> PreVote:
        """Returns this answer to a pre-vote request in the form that `may_campaign` takes."""
        return PreVote(member, self.disk, not self.accepted)

    def acknowledgement(self, member: str) -> Acknowledgement:
        """Returns this answer to a grant request as an acknowledgement of the epoch that the member granted last."""
        return Acknowledgement(member, self.disk, self.replica_set.epoch)


def newest_replica_set(answers: Mapping[str, VoteAnswer]) -> ReplicaSet:
    """Returns the replica set of the highest epoch in the answers."""
    return max((answer.replica_set for answer in answers.values()), key=lambda replica_set: replica_set.epoch)


# --- replication
@dataclass(frozen=True)
class AppendRequest:
    """A state to sync, either complete or as a change, or only a heartbeat; sent by the primary or candidate of
    `epoch`.

    `revision` is that of the configuration which the sender knows to be in force, and which may be fetched from its
    `address`. `granted` is false while the epoch is not granted yet. The receiver decodes `state` or `change` only once
    it has accepted the epoch.
    """

    epoch: int
    sender: str
    revision: int
    address: str
    granted: bool
    change_json: Body | None = None
    state_json: Body | None = None

    def as_json(self) -> Body:
        """Returns the JSON object that members send."""
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
        """Decodes what a member sent. Releases before 0.3 don't send `granted`; their sender is taken for the primary
        of a granted epoch."""
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
        """Whether the request has nothing to sync."""
        return self.change_json is None and self.state_json is None

    def change(self) -> Change:
        """Decodes the change to sync; raises JournalError if it is garbled."""
        return Change.from_json(self.change_json)

    def state(self) -> ReplicatedState:
        """Decodes the complete state to sync."""
        assert self.state_json is not None
        return ReplicatedState.from_json(self.state_json)


@dataclass(frozen=True)
class AppendAnswer:
    """A replica's answer to an append: `accepted` once everything that was sent is synced.

    `position` is that of the state on the replica's disk; it is sent only in answer to a change, and None otherwise.
    """

    accepted: bool
    epoch: int
    promised: int
    disk: str
    leaving: bool
    position: Position | None = None

    def as_json(self) -> Body:
        """Returns the JSON object that members send."""
        body: Body = {
            "ok": self.accepted, "epoch": self.epoch, "promised": self.promised, "disk": self.disk, "leaving": self.leaving,
        }  # fmt: skip
        if self.position is not None:
            body["holds"] = self.position.as_json()
        return body

    @classmethod
    def from_json(cls, body: Body, epoch: int) -> AppendAnswer:
        """Decodes the answer to a request of `epoch`. Releases before 0.3 don't repeat the epoch; the request's epoch
        stands in for it, since the link matches the answer to this request by its number."""
        return cls(
            accepted=bool(body["ok"]),
            epoch=body.get("epoch", epoch),
            promised=body["promised"],
            disk=str(body["disk"]),
            leaving=bool(body.get("leaving")),
            position=_position_from_json(body.get("holds")),
        )


def _position_from_json(raw: Any) -> Position | None:
    """Decodes a position; returns None if it is missing or garbled, so that the sender of a change sends the complete
    state next."""
    try:
        return Position.from_json(raw)
    except JournalError:
        return None


# --- leadership
@dataclass(frozen=True)
class AdoptRequest:
    """Asks a backup to run for election at once, because the primary of `epoch` leaves."""

    epoch: int

    def as_json(self) -> Body:
        """Returns the JSON object that members send."""
        return {"epoch": self.epoch}

    @classmethod
    def from_json(cls, body: Body) -> AdoptRequest:
        """Decodes what a primary sent."""
        return cls(body["epoch"])


@dataclass(frozen=True)
class AdoptAnswer:
    """The answer to an `AdoptRequest`: whether the backup has become the primary of a new epoch."""

    accepted: bool

    def as_json(self) -> Body:
        """Returns the JSON object that members send."""
        return {"ok": self.accepted}

    @classmethod
    def from_json(cls, body: Body) -> AdoptAnswer:
        """Decodes what a backup answered."""
        return cls(bool(body["ok"]))


@dataclass(frozen=True)
class HeartbeatReport:
    """The seconds since `member` last received a heartbeat of each worker and of each machine; sent to the primary."""

    worker_ages: Mapping[str, float]
    machine_ages: Mapping[str, float]
    member: str = ""

    def as_json(self) -> Body:
        """Returns the JSON object that members send."""
        return {"beats": self.worker_ages, "spoke": self.machine_ages, "who": self.member}

    @classmethod
    def from_json(cls, body: Body) -> HeartbeatReport:
        """Decodes what a member sent; releases before 0.3 don't send `member`, which is empty then."""
        return cls(body["beats"], body["spoke"], body.get("who", ""))


@dataclass(frozen=True)
class HeartbeatReportAnswer:
    """The answer to a `HeartbeatReport`: whether the receiver is the primary. Only then does the report take effect."""

    leads: bool

    def as_json(self) -> Body:
        """Returns the JSON object that members send."""
        return {"leads": self.leads}

    @classmethod
    def from_json(cls, body: Body) -> HeartbeatReportAnswer:
        """Decodes what a member answered."""
        return cls(bool(body["leads"]))
