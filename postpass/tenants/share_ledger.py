"""What the home of one tenant knows: the shares that may be in use, and the tokens that lie here.

Pure: the caller gives the time, in seconds of its monotonic clock. The invariant, with `limit` in force throughout: the
rates of all shares in use and the rate at which tokens come here add up to no more than the limit's rate, and the bursts
of all shares in use and the tokens here to no more than its burst (and the tokens that a new home starts with).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from postpass.tenants.limits import CLOCK_MARGIN, NOTHING, RateBurst
from postpass.tenants.messages import ShareGrant, ShareRequest
from postpass.tenants.share_allocation import fair_rate

LEASED_RATE = 3 / 4  # of the rate that shares may have; the rest comes here, for edges that have none or too little
LEASED_BURST = 1 / 2  # of the burst that shares may have
ROUNDING = 1e-6  # of a token, as figures in messages are rounded
TOKENS_ALONE = 1 / 10  # of the lease time: for which tokens are good that are given without a rate


@dataclass(frozen=True)
class Share:
    """A share that an edge may be using until a time of the home's clock."""

    rate: float
    burst: float
    until: float


@dataclass(eq=False)
class Holder:
    """One process of an edge, as a home knows it.

    Attributes:
        number: of its last question.
        shares: one of these is in use there: the one that it told of with its last question, or the one granted then.
        demand: requests a second that arrive there, as told with its last question.
        heard: when that came.
        last_grant: the answer to it, which a repeated question gets again.
    """

    number: int = -1
    shares: tuple[Share, ...] = ()
    demand: float = 0.0
    heard: float = 0.0
    last_grant: ShareGrant | None = None

    def in_use(self, now: float) -> RateBurst:
        """The most that it may be using."""
        shares = [share for share in self.shares if share.until > now]
        return RateBurst(
            max((share.rate for share in shares), default=0.0), max((share.burst for share in shares), default=0.0)
        )


@dataclass(eq=False)
class ShareLedger:
    """The home's state for one tenant. It lives as long as one ownership of the tenant's partition.

    Attributes:
        lease: seconds for which shares are granted.
        starting_tokens: tokens that may be given though shares of the former home are in use.
        holders: by process.
        tokens: that lie here.
        counted_at: up to when `tokens` is counted.
        limit: in force then.
        settled: whether all shares of the former home were known then, or had run out.
    """

    lease: float
    starting_tokens: float
    counted_at: float
    holders: dict[str, Holder] = field(default_factory=dict)
    tokens: float = 0.0
    limit: RateBurst = NOTHING
    settled: bool = False

    def adopt(self, holder: str, told: ShareRequest, now: float) -> None:
        """Takes in what an edge says that it holds from the former home, unless it has asked here since."""
        if holder not in self.holders:
            self.holders[holder] = Holder(told.number, _told_shares(told, now), told.demand, now)

    def grant(
        self, holder: str, request: ShareRequest, limit: RateBurst, settled: bool, now: float
    ) -> ShareGrant | None:
        """Answers a question; None for one that came after a later one. `settled`: are all shares that the former home
        granted known here, or have they run out?"""
        self.count(limit, settled, now)
        known = self.holders.get(holder)
        if known is not None and request.number <= known.number:
            return known.last_grant if request.number == known.number else None
        told = Holder(request.number, _told_shares(request, now), request.demand, now)
        self.holders[holder] = told
        others = self.others_in_use(holder, now)
        if settled:
            self.tokens += request.returned
        share = self._share_of(holder, others, now)
        given = min(request.wanted, self.tokens + self.starting_tokens)
        if not share.rate:
            # No more will come there: a part of a token would be lost.
            given = max(0.0, math.floor(request.tokens + given + ROUNDING) - request.tokens)
        self._take(given)
        # The tokens that are given have a place in the share, and those that have no place here any more follow.
        burst = max(share.burst, request.tokens + given)
        own_burst = max(burst, told.in_use(now).burst)
        surplus = max(0.0, self.tokens - max(0.0, limit.burst - others.burst - own_burst))
        self.tokens -= surplus
        given += max(0.0, min(surplus, burst - request.tokens - given))
        seconds = self.lease if share.rate else self.lease * TOKENS_ALONE
        told.shares = (*told.shares, Share(share.rate, burst, now + seconds * CLOCK_MARGIN))
        told.last_grant = ShareGrant(request.tenant, request.number, share.rate, burst, given, seconds)
        return told.last_grant

    def count(self, limit: RateBurst, settled: bool, now: float) -> None:
        """Counts the tokens that came since the last time, by the shares that may have been in use all along."""
        in_use = self.others_in_use("", self.counted_at)
        room = max(0.0, min(limit.burst, self.limit.burst) - in_use.burst)
        rate = max(0.0, min(limit.rate, self.limit.rate) - in_use.rate) if self.settled else 0.0
        self.tokens = min(self.tokens + rate * max(0.0, now - self.counted_at), room) if self.settled else 0.0
        self.counted_at, self.limit, self.settled = now, limit, settled
        for name in [name for name, holder in self.holders.items() if holder.heard + self.lease * 2 < now]:
            if not self.holders[name].in_use(now).rate:
                del self.holders[name]

    def others_in_use(self, holder: str, now: float) -> RateBurst:
        """The sum of what all but one may be using."""
        parts = [other.in_use(now) for name, other in self.holders.items() if name != holder]
        return RateBurst(sum(part.rate for part in parts), sum(part.burst for part in parts))

    def _take(self, given: float) -> None:
        from_here = min(given, self.tokens)
        self.tokens -= from_here
        self.starting_tokens -= given - from_here

    def _share_of(self, holder: str, others: RateBurst, now: float) -> RateBurst:
        """What a process is to have: its fair part as far as that is free. It keeps what it has of it in any case."""
        present, limit = self.holders[holder].in_use(now), self.limit
        leasable = RateBurst(limit.rate * LEASED_RATE, limit.burst * LEASED_BURST)
        demands = {name: other.demand for name, other in self.holders.items() if other.heard + self.lease >= now}
        rate = fair_rate(holder, demands, leasable.rate)
        burst = leasable.burst * rate / leasable.rate if leasable.rate else 0.0
        free_rate = leasable.rate - others.rate if self.settled else 0.0
        free_burst = leasable.burst - others.burst if self.settled else 0.0
        return RateBurst(min(rate, max(free_rate, present.rate)), min(burst, max(free_burst, present.burst)))


def _told_shares(told: ShareRequest, now: float) -> tuple[Share, ...]:
    """The share that a process says it uses, by the home's clock."""
    if told.remaining <= 0:
        return ()
    return (Share(told.rate, told.burst, now + told.remaining * CLOCK_MARGIN),)
