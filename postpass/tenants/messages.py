"""Messages between edges and the homes of tenants, with their JSON bodies. Times are durations in seconds, never clocks."""

from __future__ import annotations

from dataclasses import dataclass

from postpass.rpc.codec import Body

SHARE = "share"  # verb: an edge asks a home for shares
HOLDINGS = "holdings"  # verb: a new home asks an edge what it holds


@dataclass(frozen=True)
class ShareRequest:
    """An edge asks for a share of a tenant's limit, and tells what it holds.

    :ivar number: grows with each question of this process about this tenant; an answer counts only for the last one.
    :ivar demand: requests a second that arrive, refused ones included.
    :ivar rate: tokens a second of the share in use.
    :ivar burst: tokens that the share in use may have at once.
    :ivar remaining: seconds for which it is good; 0 if there is none.
    :ivar tokens: that are there.
    :ivar wanted: further tokens that are wanted at once.
    :ivar returned: tokens that were there and are the home's again.
    """

    tenant: str
    number: int
    demand: float = 0.0
    rate: float = 0.0
    burst: float = 0.0
    remaining: float = 0.0
    tokens: float = 0.0
    wanted: float = 0.0
    returned: float = 0.0

    def as_json(self) -> list[str | float]:
        """A row of a message."""
        figures = (self.demand, self.rate, self.burst, self.remaining, self.tokens, self.wanted, self.returned)
        return [self.tenant, self.number, *(round(figure, 6) for figure in figures)]

    @classmethod
    def from_json(cls, row: list[str | float]) -> ShareRequest:
        """Reads a row of a message."""
        tenant, number, *figures = row
        return cls(str(tenant), int(number), *(float(figure) for figure in figures))


@dataclass(frozen=True)
class ShareGrant:
    """A home's answer to one question: the share that takes the place of the one before, and tokens to begin with.

    :ivar number: that of the question.
    :ivar seconds: for which the share is good, from when the edge asked.
    """

    tenant: str
    number: int
    rate: float
    burst: float
    tokens: float
    seconds: float

    def as_json(self) -> list[str | float]:
        """A row of a message."""
        return [self.tenant, self.number, self.rate, self.burst, self.tokens, self.seconds]

    @classmethod
    def from_json(cls, row: list[str | float]) -> ShareGrant:
        """Reads a row of a message."""
        tenant, number, rate, burst, tokens, seconds = row
        return cls(str(tenant), int(number), float(rate), float(burst), float(tokens), float(seconds))


@dataclass(frozen=True)
class SharesRequest:
    """The questions of one edge to the home of several tenants (verb `share`).

    :ivar incarnation: tells the processes of the edge apart.
    :ivar epoch: the latest of the partition that it knows of.
    """

    edge: str
    incarnation: str
    epoch: int
    questions: tuple[ShareRequest, ...]

    @property
    def holder(self) -> str:
        """The process that asks."""
        return f"{self.edge}/{self.incarnation}"

    def as_json(self) -> Body:
        """The body of the request, without the partition."""
        return {
            "edge": self.edge,
            "inc": self.incarnation,
            "epoch": self.epoch,
            "shares": [question.as_json() for question in self.questions],
        }

    @classmethod
    def from_json(cls, body: Body) -> SharesRequest:
        """Reads the body of a request."""
        return cls(
            body["edge"], body["inc"], body["epoch"], tuple(ShareRequest.from_json(row) for row in body["shares"])
        )


@dataclass(frozen=True)
class SharesResponse:
    """What a home grants, under the epoch of its partition; questions that came too late have no grant."""

    epoch: int
    grants: tuple[ShareGrant, ...]

    def as_json(self) -> Body:
        """The body of the answer."""
        return {"epoch": self.epoch, "shares": [grant.as_json() for grant in self.grants]}

    @classmethod
    def from_json(cls, body: Body) -> SharesResponse:
        """Reads the body of an answer."""
        return cls(body["epoch"], tuple(ShareGrant.from_json(row) for row in body["shares"]))


@dataclass(frozen=True)
class HoldingsRequest:
    """The new owner of a partition asks what an edge holds of its tenants (verb `holdings`). The edge takes no grant of an
    earlier epoch from then on."""

    partition: int
    partitions: int
    epoch: int

    def as_json(self) -> Body:
        """The body of the request."""
        return {"part": self.partition, "parts": self.partitions, "epoch": self.epoch}

    @classmethod
    def from_json(cls, body: Body) -> HoldingsRequest:
        """Reads the body of a request."""
        return cls(body["part"], body["parts"], body["epoch"])
