"""Messages between edges and the homes of tenants, with their JSON bodies.

Times are durations in seconds, never readings of a clock, since the clocks of machines differ.
"""

from __future__ import annotations

from dataclasses import dataclass

from postpass.rpc.codec import Body

SHARE = "share"  # verb: an edge requests shares from a home
HOLDINGS = "holdings"  # verb: a new home requests the shares that an edge holds


@dataclass(frozen=True)
class ShareRequest:
    """A request of an edge for a share of a tenant's limit, with the share that it has now.

    :ivar number: grows with each request of this process for this tenant; only the answer to the last one counts.
    :ivar demand: requests a second that arrive at the edge, including rejected ones.
    :ivar rate: tokens a second of the share in use.
    :ivar burst: largest number of tokens that may accumulate in the share in use.
    :ivar remaining: seconds until the share in use expires; 0 if there is none.
    :ivar tokens: tokens that the edge has.
    :ivar wanted: further tokens that the edge needs at once.
    :ivar returned: tokens that the edge had and gives back to the home.
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
        amounts = (self.demand, self.rate, self.burst, self.remaining, self.tokens, self.wanted, self.returned)
        return [self.tenant, self.number, *(round(amount, 6) for amount in amounts)]

    @classmethod
    def from_json(cls, row: list[str | float]) -> ShareRequest:
        """Reads a row of a message."""
        tenant, number, *amounts = row
        return cls(str(tenant), int(number), *(float(amount) for amount in amounts))


@dataclass(frozen=True)
class ShareGrant:
    """A home's answer to one share request: the share that replaces the previous one, and further tokens.

    :ivar number: the number of the share request.
    :ivar rate: tokens a second of the share.
    :ivar burst: largest number of tokens that may accumulate in the share.
    :ivar tokens: tokens that are added to those that the edge has.
    :ivar seconds: how long the share is valid, counted from when the edge made the request.
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
    """The share requests of one edge to the home of several tenants (verb `share`).

    :ivar incarnation: distinguishes the processes that run one after the other on the edge.
    :ivar epoch: the latest epoch of the partition that the edge knows.
    """

    edge: str
    incarnation: str
    epoch: int
    share_requests: tuple[ShareRequest, ...]

    @property
    def holder(self) -> str:
        """The identity of the requesting process."""
        return f"{self.edge}/{self.incarnation}"

    def as_json(self) -> Body:
        """Returns the body of the request, without the partition."""
        return {
            "edge": self.edge,
            "inc": self.incarnation,
            "epoch": self.epoch,
            "shares": [share_request.as_json() for share_request in self.share_requests],
        }

    @classmethod
    def from_json(cls, body: Body) -> SharesRequest:
        """Reads the body of a request."""
        return cls(
            body["edge"], body["inc"], body["epoch"], tuple(ShareRequest.from_json(row) for row in body["shares"])
        )


@dataclass(frozen=True)
class SharesResponse:
    """What a home grants, under the epoch of its partition; outdated share requests have no grant."""

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
    """The request of a partition's new owner for the shares that an edge holds of its tenants (verb `holdings`).

    From then on, the edge ignores grants of an earlier epoch.
    """

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
