"""What operators and daemons send to the primary through any control member, with codecs to and from the JSON body.

Keys and their order in JSON are those of release 0.2.0; the fields of the classes are named in the usual terms instead.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from postpass.membership.registry import WorkerAnnouncement
from postpass.rpc.codec import Body


# --- orders
@dataclass(frozen=True)
class DocumentOrder:
    """A complete configuration document of the operator, or a patch of one, made from version `base`."""

    document: Any
    base: int
    is_patch: bool

    @property
    def kind(self) -> str:
        """The name of this kind of order in messages and events."""
        return "patch" if self.is_patch else "source"

    def as_json(self) -> Body:
        """Returns the JSON body of this message."""
        return {"what": self.kind, "source": self.document, "base": self.base}


@dataclass(frozen=True)
class EvacuationOrder:
    """Takes all traffic away from a zone, or lets traffic return to it if `evacuated` is false."""

    zone: str
    evacuated: bool

    @property
    def kind(self) -> str:
        """The name of this kind of order in messages and events."""
        return "evacuate" if self.evacuated else "return"

    def as_json(self) -> Body:
        """Returns the JSON body of this message."""
        return {"what": self.kind, "area": self.zone}


@dataclass(frozen=True)
class RetirementOrder:
    """Orders a store to be emptied for good."""

    store: str
    kind = "retire"

    def as_json(self) -> Body:
        """Returns the JSON body of this message."""
        return {"what": self.kind, "name": self.store}


@dataclass(frozen=True)
class RetirementQuery:
    """Asks whether a store that was retired is empty, and removed from the fleet."""

    store: str
    kind = "retired"

    def as_json(self) -> Body:
        """Returns the JSON body of this message."""
        return {"what": self.kind, "name": self.store}


@dataclass(frozen=True)
class FenceQuery:
    """Asks the primary for the fence under which an order without a version may be sent to it."""

    kind = "fence"

    def as_json(self) -> Body:
        """Returns the JSON body of this message."""
        return {"what": self.kind}


@dataclass(frozen=True)
class OrderFence:
    """Names a moment in the sequence of orders that carry no version: the primary's epoch, and how many it has accepted.

    An order that is sent under a fence is carried out only if no other one was accepted since, so that one that was held
    up on its way, however long, can't undo an order that was acknowledged meanwhile. No clock is used for that.
    """

    epoch: int
    accepted: int

    def as_json(self) -> Body:
        """Returns the JSON body of the answer to a query, which also belongs to the body of an order."""
        return {"fence": [self.epoch, self.accepted]}

    @classmethod
    def from_json(cls, body: Body) -> OrderFence | None:
        """Parses the fence in a JSON body; None if there is none, as in orders from releases that know of none."""
        if "fence" not in body:
            return None
        epoch, accepted = body["fence"]
        return cls(epoch, accepted)


@dataclass(frozen=True)
class UnknownOrder:
    """An order of a kind that this release doesn't know; it is refused."""

    kind: Any


Change = DocumentOrder | EvacuationOrder | RetirementOrder | UnknownOrder
Order = Change | RetirementQuery | FenceQuery


def order_of(body: Body) -> Order:
    """Parses the JSON body of an order; raises KeyError if a key is missing."""
    match body["what"]:
        case "source" | "patch" as kind:
            return DocumentOrder(body["source"], body["base"], kind == "patch")
        case "evacuate" | "return" as kind:
            return EvacuationOrder(body["area"], kind == "evacuate")
        case "retire":
            return RetirementOrder(body["name"])
        case "retired":
            return RetirementQuery(body["name"])
        case "fence":
            return FenceQuery()
        case kind:
            return UnknownOrder(kind)


@dataclass(frozen=True)
class ApplyRequest:
    """A complete configuration, not validated yet, that was made from revision `base`."""

    configuration: Any
    base: int

    def as_json(self) -> Body:
        """Returns the JSON body of this message."""
        return {"manifest": self.configuration, "base": self.base}

    @classmethod
    def from_json(cls, body: Body) -> ApplyRequest:
        """Parses the JSON body that another member forwarded."""
        return cls(body["manifest"], body["base"])


@dataclass(frozen=True)
class OrderAnswer:
    """The revision that contains an accepted order, and the machines that have not confirmed in time that they run it."""

    revision: int
    unconfirmed: Sequence[str]

    def as_json(self) -> Body:
        """Returns the JSON body of this message."""
        return {"edition": self.revision, "waits": self.unconfirmed}

    @classmethod
    def from_json(cls, body: Body) -> OrderAnswer:
        """Parses the JSON body of the primary's answer."""
        return cls(body["edition"], body["waits"])


@dataclass(frozen=True)
class RetirementAnswer:
    """Whether a retired store is empty, and no longer a machine of the fleet."""

    done: bool

    def as_json(self) -> Body:
        """Returns the JSON body of this message."""
        return {"done": self.done}


# --- workers
@dataclass(frozen=True)
class WorkerHeartbeat:
    """A worker's heartbeat, with what the worker announces of itself; the announcement is None once the worker has ended.

    `seqno` counts the worker's heartbeats, so that one which arrives late changes nothing; 0 if the worker doesn't count
    them.
    """

    worker: str
    announcement: WorkerAnnouncement | None
    seqno: int

    @property
    def leaves(self) -> bool:
        """Whether the worker accepts no more requests, or has ended."""
        return self.announcement is None or bool(self.announcement.get("leave"))

    def as_json(self) -> Body:
        """Returns the JSON body of this message."""
        return {"who": self.worker, "standing": self.announcement, "seqno": self.seqno}

    @classmethod
    def from_json(cls, body: Body) -> WorkerHeartbeat:
        """Parses the JSON body that another member forwarded."""
        return cls(body["who"], body["standing"], body["seqno"])
