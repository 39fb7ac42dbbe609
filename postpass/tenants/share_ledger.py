"""What the home of one tenant knows: the shares that may be in use, and the tokens that the home keeps itself.

Pure: the time is a parameter, in seconds of a monotonic clock. The invariant, as long as `limit` doesn't change: the rates
of all shares in use and the rate at which tokens accrue at the home add up to no more than the limit's rate; the bursts of
all shares in use and the tokens at the home add up to no more than the limit's burst (plus the tokens that a new home starts
with).
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from postpass.tenants.limits import CLOCK_MARGIN, ZERO_LIMIT, RateBurst
from postpass.tenants.messages import ShareGrant, ShareRequest
from postpass.tenants.share_allocation import fair_rate

# Fraction of the limit's rate that may be leased as shares. The rest accrues at the home, for edges with no share or one that
# is too small.
LEASED_RATE = 3 / 4
LEASED_BURST = 1 / 2  # fraction of the limit's burst that may be leased as shares
ROUNDING_ERROR = 1e-6  # rounding error of a number of tokens in a message
TOKENS_ONLY_LEASE = 1 / 10  # how long tokens are valid that are granted without a rate, as a fraction of the lease time


@dataclass(frozen=True)
class Share:
    """A share that an edge may be using until the time `expires_at` of the home's clock."""

    rate: float
    burst: float
    expires_at: float


@dataclass(eq=False)
class Holder:
    """One process of an edge, as a home knows it.

    Attributes:
        number: the number of its last share request.
        shares: the shares of which one is in use there: the one reported in its last request, or the one granted then.
        demand: requests a second that arrive there, as reported in its last request.
        requested_at: when the last request arrived.
        last_grant: the answer to the last request, which is returned again if the request is repeated.
    """

    number: int = -1
    shares: tuple[Share, ...] = ()
    demand: float = 0.0
    requested_at: float = 0.0
    last_grant: ShareGrant | None = None

    def in_use(self, now: float) -> RateBurst:
        """Returns the most that the process may be using."""
        shares = [share for share in self.shares if share.expires_at > now]
        return RateBurst(
            max((share.rate for share in shares), default=0.0), max((share.burst for share in shares), default=0.0)
        )


@dataclass(eq=False)
class ShareLedger:
    """The home's state for one tenant. It lasts as long as one ownership of the tenant's partition.

    Attributes:
        lease: seconds for which shares are granted.
        starting_tokens: tokens that may be granted even while shares that the former home granted may be in use.
        holders: the processes of edges, by their identities.
        tokens: tokens that the home keeps itself.
        accrued_at: the time up to which accrued tokens were added to `tokens`.
        limit: the limit that was in force at that time.
        settled: whether at that time all shares that the former home granted were known or had expired.
    """

    lease: float
    starting_tokens: float
    accrued_at: float
    holders: dict[str, Holder] = field(default_factory=dict)
    tokens: float = 0.0
    limit: RateBurst = ZERO_LIMIT
    settled: bool = False

    def adopt(self, holder: str, holding: ShareRequest, now: float) -> None:
        """Records a share that an edge holds from the former home, unless the edge has made a share request here since."""
        if holder not in self.holders:
            self.holders[holder] = Holder(holding.number, _reported_shares(holding, now), holding.demand, now)

    def grant(
        self, holder: str, request: ShareRequest, limit: RateBurst, settled: bool, now: float
    ) -> ShareGrant | None:
        """Answers a share request; returns None if a later request of the process has arrived before.

        A repeated request gets the same answer again. `settled` tells whether all shares that the former home granted are
        known here or have expired.
        """
        self.accrue(limit, settled, now)
        previous = self.holders.get(holder)
        if previous is not None and request.number <= previous.number:
            return previous.last_grant if request.number == previous.number else None
        state = Holder(request.number, _reported_shares(request, now), request.demand, now)
        self.holders[holder] = state
        others = self.others_in_use(holder, now)
        if settled:
            self.tokens += request.returned
        share = self._target_share(holder, others, now)
        granted = min(request.wanted, self.tokens + self.starting_tokens)
        if not share.rate:
            # No more tokens accrue at that edge, so that a fraction of a token would be lost.
            granted = max(0.0, math.floor(request.tokens + granted + ROUNDING_ERROR) - request.tokens)
        self._withdraw(granted)
        # The granted tokens must fit into the share's burst. Tokens that exceed what the home may keep now are granted too, as
        # far as they fit.
        burst = max(share.burst, request.tokens + granted)
        own_burst = max(burst, state.in_use(now).burst)
        surplus = max(0.0, self.tokens - max(0.0, limit.burst - others.burst - own_burst))
        self.tokens -= surplus
        granted += max(0.0, min(surplus, burst - request.tokens - granted))
        seconds = self.lease if share.rate else self.lease * TOKENS_ONLY_LEASE
        state.shares = (*state.shares, Share(share.rate, burst, now + seconds * CLOCK_MARGIN))
        state.last_grant = ShareGrant(request.tenant, request.number, share.rate, burst, granted, seconds)
        return state.last_grant

    def accrue(self, limit: RateBurst, settled: bool, now: float) -> None:
        """Adds the tokens that accrued at the home since the last time.

        Shares that may have been in use at that time reduce the rate and the room for tokens during the whole interval.
        Processes that made no request for two lease times and have no rate in use are removed.
        """
        in_use = self.others_in_use("", self.accrued_at)
        max_tokens = max(0.0, min(limit.burst, self.limit.burst) - in_use.burst)
        rate = max(0.0, min(limit.rate, self.limit.rate) - in_use.rate) if self.settled else 0.0
        self.tokens = min(self.tokens + rate * max(0.0, now - self.accrued_at), max_tokens) if self.settled else 0.0
        self.accrued_at, self.limit, self.settled = now, limit, settled
        for name in [name for name, holder in self.holders.items() if holder.requested_at + self.lease * 2 < now]:
            if not self.holders[name].in_use(now).rate:
                del self.holders[name]

    def others_in_use(self, holder: str, now: float) -> RateBurst:
        """Returns the sum of what all processes but `holder` may be using."""
        usages = [other.in_use(now) for name, other in self.holders.items() if name != holder]
        return RateBurst(sum(usage.rate for usage in usages), sum(usage.burst for usage in usages))

    def _withdraw(self, granted: float) -> None:
        """Deducts granted tokens from those of the home and, beyond these, from the tokens that it started with."""
        from_home = min(granted, self.tokens)
        self.tokens -= from_home
        self.starting_tokens -= granted - from_home

    def _target_share(self, holder: str, others: RateBurst, now: float) -> RateBurst:
        """Returns the share that a process is to have: its fair part, as far as that is free.

        It may keep what it has already, up to its fair part, in any case.
        """
        in_use_now, limit = self.holders[holder].in_use(now), self.limit
        leasable = RateBurst(limit.rate * LEASED_RATE, limit.burst * LEASED_BURST)
        demands = {name: other.demand for name, other in self.holders.items() if other.requested_at + self.lease >= now}
        rate = fair_rate(holder, demands, leasable.rate)
        burst = leasable.burst * rate / leasable.rate if leasable.rate else 0.0
        free_rate = leasable.rate - others.rate if self.settled else 0.0
        free_burst = leasable.burst - others.burst if self.settled else 0.0
        return RateBurst(min(rate, max(free_rate, in_use_now.rate)), min(burst, max(free_burst, in_use_now.burst)))


def _reported_shares(request: ShareRequest, now: float) -> tuple[Share, ...]:
    """Returns the share that a process reports as in use, with its end by the home's clock; empty if it has none."""
    if request.remaining <= 0:
        return ()
    return (Share(request.rate, request.burst, now + request.remaining * CLOCK_MARGIN),)
