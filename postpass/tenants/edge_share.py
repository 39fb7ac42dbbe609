"""The share of one tenant's limit that an edge has leased from the tenant's home.

Pure: the time is a parameter, in seconds of a monotonic clock. The lease of a share starts when the edge requested it, and
its end is checked each time a token is taken, so that nothing is spent from an expired share after the process was frozen.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from postpass.tenants.limits import RateBurst
from postpass.tenants.messages import ShareGrant, ShareRequest
from postpass.tenants.share_allocation import wanted_rate

USUAL_SMOOTHING = 4  # the smoothing time of usual demand, as a multiple of that of recent demand
MAX_USUAL_OVER_RECENT = 1.2  # usual demand counts up to this multiple of recent demand
# Demand has ended after so many usual intervals between two requests have passed without a request.
SILENT_INTERVALS = 8
# The number of requests between two share requests from which on a rate is worth leasing. Below it, the edge requests a
# single token for each request.
MIN_STEADY_REQUESTS = 4.0
GIVE_BACK_AT_ONCE_BELOW = 0.6  # an edge that wants less than this fraction of its rate gives the rest back at once
# An edge that wants less than this fraction of its rate gives the rest back with its next share request.
GIVE_BACK_ON_REQUEST_BELOW = 0.8
FETCH_AHEAD = 0.5  # fraction of the time between two share requests for which tokens should be in store
ONE_TOKEN = 1.0 - 1e-6  # one token, less the rounding error of numbers in messages


@dataclass(eq=False)
class EdgeShare:
    """The share of one tenant at one edge.

    Invariants: `tokens` <= `burst`; no token is taken at or after `expires_at`; a grant counts only if it answers the last
    share request.

    Attributes:
        smoothing: seconds over which `arrival_rate` is smoothed.
        rate: tokens a second.
        burst: largest number of tokens that may accumulate.
        expires_at: when the share expires.
        tokens: number of tokens at `accrued_at`.
        accrued_at: the time up to which accrued tokens were added.
        number: number of the last share request.
        requested_at: when the last share request was made.
        answered: whether the last share request was answered or abandoned.
        last_answered: whether the last request that was answered or abandoned was answered. If it wasn't, nothing is given
            back, since the home may not receive it.
        no_request_until: until then no share request is made for a waiting request, since the last grant had too few tokens.
        arrival_rate: smoothed number of requests a second, as of `last_arrival_at`.
        usual_arrival_rate: the same, smoothed over a longer time.
        last_arrival_at: when the last request arrived.
    """

    smoothing: float
    rate: float = 0.0
    burst: float = 0.0
    expires_at: float = -math.inf
    tokens: float = 0.0
    accrued_at: float = -math.inf
    number: int = 0
    requested_at: float = -math.inf
    answered: bool = True
    last_answered: bool = True
    no_request_until: float = -math.inf
    arrival_rate: float = 0.0
    usual_arrival_rate: float = 0.0
    last_arrival_at: float = -math.inf

    def note_arrival(self, now: float) -> None:
        """Records the arrival of a request."""
        elapsed, usual = max(0.0, now - self.last_arrival_at), self.smoothing * USUAL_SMOOTHING
        self.arrival_rate = self.arrival_rate * math.exp(-elapsed / self.smoothing) + 1 / self.smoothing
        self.usual_arrival_rate = self.usual_arrival_rate * math.exp(-elapsed / usual) + 1 / usual
        self.last_arrival_at = now

    def demand(self, now: float) -> float:
        """Returns the requests a second that arrive, including rejected ones.

        This is the recent rate, or the usual rate if that is higher (but at most `MAX_USUAL_OVER_RECENT` times the recent
        one), so that a share doesn't shrink because of chance fluctuations. It is 0 if the time since the last request is
        much longer than the usual interval between two.
        """
        elapsed = max(0.0, now - self.last_arrival_at)
        if not self.arrival_rate or elapsed * max(self.arrival_rate, self.usual_arrival_rate) > SILENT_INTERVALS:
            return 0.0
        recent = self.arrival_rate * math.exp(-elapsed / self.smoothing)
        usual = self.usual_arrival_rate * math.exp(-elapsed / (self.smoothing * USUAL_SMOOTHING))
        return max(recent, min(usual, recent * MAX_USUAL_OVER_RECENT))

    def steady_demand(self, renew: float, now: float) -> float:
        """Returns the demand if several requests arrive between two share requests, which are `renew` seconds apart; else 0.

        A rate that is leased to an edge with hardly any requests is lost: not even one token accrues there before the share
        expires.
        """
        demand = self.demand(now)
        return demand if demand * renew >= MIN_STEADY_REQUESTS else 0.0

    def accrue(self, limit: RateBurst, now: float) -> None:
        """Adds the tokens that accrued since the last time, or clears the share if it has expired.

        The limit that is in force at this edge applies too: the lower of the limit and the share counts.
        """
        if now >= self.expires_at:
            self.rate = self.burst = self.tokens = 0.0
        else:
            accrued = min(self.rate, limit.rate) * max(0.0, now - self.accrued_at)
            self.tokens = min(self.tokens + accrued, self.burst, limit.burst)
        self.accrued_at = now

    def take_token(self, limit: RateBurst, now: float) -> bool:
        """Takes a token for one request; returns False if there is none."""
        self.accrue(limit, now)
        if self.tokens < ONE_TOKEN:
            return False
        self.tokens = max(0.0, self.tokens - 1.0)
        return True

    def wait_for(self, tokens: float, limit: RateBurst, now: float) -> float:
        """Returns the seconds until so many tokens will have accrued; infinity if the share doesn't allow as many."""
        self.accrue(limit, now)
        rate = min(self.rate, limit.rate)
        if rate <= 0 or tokens > min(self.burst, limit.burst):
            return 0.0 if self.tokens >= tokens else math.inf
        return max(0.0, tokens - self.tokens) / rate

    def should_request(self, limit: RateBurst, renew: float, now: float) -> bool:
        """Returns whether to make a share request now even if no request waits for a token.

        That is the case when a share that is in use has to be renewed, or when much of it is to be given back.
        """
        if not self.answered:
            return False
        self.accrue(limit, now)
        if self.last_answered and self._target_rate(limit, renew, now) < self.rate * GIVE_BACK_AT_ONCE_BELOW:
            return True
        demand = self.steady_demand(renew, now)
        return demand > 0 and now >= self.requested_at + renew

    def next_request(
        self, tenant: str, number: int, waiting: int, renew: float, limit: RateBurst, now: float
    ) -> ShareRequest:
        """Returns the next share request.

        What the request says of the share applies from now on: the part that is given back is removed from the share.

        Args:
            tenant: the tenant's name.
            number: the number of the request, greater than that of any earlier one.
            waiting: number of requests that wait for a token.
            renew: seconds between two share requests.
            limit: the limit of the tenant that is in force here.
            now: the present time.
        """
        self.accrue(limit, now)
        demand = self.steady_demand(renew, now)
        target_rate, returned = self._target_rate(limit, renew, now), 0.0
        if self.last_answered and target_rate < self.rate * GIVE_BACK_ON_REQUEST_BELOW:
            self.burst, self.rate = self.burst * target_rate / self.rate, target_rate
            returned = max(0.0, self.tokens - self.burst)
            self.tokens -= returned
        needed_tokens = demand * renew * FETCH_AHEAD + waiting
        wanted = max(0.0, needed_tokens - self.tokens)
        self.number = number
        self.requested_at, self.answered = now, False
        remaining = max(0.0, self.expires_at - now)
        return ShareRequest(
            tenant, self.number, demand, self.rate, self.burst, remaining, self.tokens, wanted, returned
        )

    def as_holding(self, tenant: str, limit: RateBurst, now: float) -> ShareRequest:
        """Returns a description of the share for a new home of the tenant."""
        self.accrue(limit, now)
        remaining = max(0.0, self.expires_at - now)
        return ShareRequest(tenant, self.number, self.demand(now), self.rate, self.burst, remaining, self.tokens)

    def apply(self, grant: ShareGrant, limit: RateBurst, now: float) -> bool:
        """Replaces the share by what was granted.

        Returns False, and ignores the grant, if it doesn't answer the last share request or if that was answered already.
        """
        if grant.number != self.number or self.answered:
            return False
        self.accrue(limit, now)
        self.answered = self.last_answered = True
        self.rate, self.burst, self.expires_at = grant.rate, grant.burst, self.requested_at + grant.seconds
        self.tokens = min(self.tokens + grant.tokens, self.burst)
        self.accrue(limit, now)
        return True

    def abandon_request(self) -> None:
        """Abandons the last share request: a grant that arrives later is ignored."""
        self.last_answered = self.last_answered and self.answered
        self.answered = True

    def _target_rate(self, limit: RateBurst, renew: float, now: float) -> float:
        """Returns the rate that this edge would like to have; 0 without a steady demand."""
        demand = self.steady_demand(renew, now)
        return wanted_rate(demand, limit.rate) if demand else 0.0
