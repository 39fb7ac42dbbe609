"""What operators and daemons send to the primary through any control member, with codecs to and from the JSON body.

Keys and their order are those of release 0.2.0; fields carry the field's terms.
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
    """The operator's document as a whole, or a patch of it, made on top of version `base`."""

    document: Any
    base: int
    is_patch: bool

    @property
    def kind(self) -> str:
        """The order's name on the wire and in events."""
        return "patch" if self.is_patch else "source"

    def as_json(self) -> Body:
        """As members send it."""
        return {"what": self.kind, "source": self.document, "base": self.base}


@dataclass(frozen=True)
class EvacuationOrder:
    """Takes all traffic from a zone, or lets it come back."""

    zone: str
    away: bool

    @property
    def kind(self) -> str:
        """The order's name on the wire and in events."""
        return "evacuate" if self.away else "return"

    def as_json(self) -> Body:
        """As members send it."""
        return {"what": self.kind, "area": self.zone}


@dataclass(frozen=True)
class RetirementOrder:
    """Asks that a store be emptied for good."""

    store: str
    kind = "retire"

    def as_json(self) -> Body:
        """As members send it."""
        return {"what": self.kind, "name": self.store}


@dataclass(frozen=True)
class RetirementQuery:
    """Asks whether a store that was to be emptied is so."""

    store: str
    kind = "retired"

    def as_json(self) -> Body:
        """As members send it."""
        return {"what": self.kind, "name": self.store}


@dataclass(frozen=True)
class UnknownOrder:
    """An order that this release doesn't know; it is refused."""

    kind: Any


Change = DocumentOrder | EvacuationOrder | RetirementOrder | UnknownOrder
Order = Change | RetirementQuery


def order_of(body: Body) -> Order:
    """Reads an order; raises KeyError if a key of it is missing."""
    match body["what"]:
        case "source" | "patch" as kind:
            return DocumentOrder(body["source"], body["base"], kind == "patch")
        case "evacuate" | "return" as kind:
            return EvacuationOrder(body["area"], kind == "evacuate")
        case "retire":
            return RetirementOrder(body["name"])
        case "retired":
            return RetirementQuery(body["name"])
        case kind:
            return UnknownOrder(kind)


@dataclass(frozen=True)
class ApplyRequest:
    """A whole configuration, not checked yet, made from revision `base`."""

    configuration: Any
    base: int

    def as_json(self) -> Body:
        """As members send it."""
        return {"manifest": self.configuration, "base": self.base}

    @classmethod
    def from_json(cls, body: Body) -> ApplyRequest:
        """Reads what a member sent on."""
        return cls(body["manifest"], body["base"])


@dataclass(frozen=True)
class OrderAnswer:
    """The revision that has an order, and the machines that have not confirmed in time that they run it."""

    revision: int
    unconfirmed: Sequence[str]

    def as_json(self) -> Body:
        """As members send it."""
        return {"edition": self.revision, "waits": self.unconfirmed}

    @classmethod
    def from_json(cls, body: Body) -> OrderAnswer:
        """Reads what the primary answered."""
        return cls(body["edition"], body["waits"])


@dataclass(frozen=True)
class RetirementAnswer:
    """Whether a store is emptied, and no machine of the fleet any longer."""

    done: bool

    def as_json(self) -> Body:
        """As members send it."""
        return {"done": self.done}


# --- workers
@dataclass(frozen=True)
class WorkerHeartbeat:
    """A worker's heartbeat with its standing; None once it has ended.

    `seqno` counts the worker's heartbeats, so that one which comes late changes nothing; 0 if it doesn't count them.
    """

    worker: str
    standing: WorkerAnnouncement | None
    seqno: int

    @property
    def leaves(self) -> bool:
        """Does the worker take nothing more, or has it ended?"""
        return self.standing is None or bool(self.standing.get("leave"))

    def as_json(self) -> Body:
        """As members send it."""
        return {"who": self.worker, "standing": self.standing, "seqno": self.seqno}

    @classmethod
    def from_json(cls, body: Body) -> WorkerHeartbeat:
        """Reads what a member sent on."""
        return cls(body["who"], body["standing"], body["seqno"])
