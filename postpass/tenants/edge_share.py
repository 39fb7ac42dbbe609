"""What an edge knows of its share of one tenant's limit.

Pure: the caller gives the time, in seconds of its monotonic clock. A share is good from when the edge asked for it, and
its end is looked up each time that a token is taken, so that nothing is spent after a freeze.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from postpass.tenants.limits import RateBurst
from postpass.tenants.messages import ShareGrant, ShareRequest
from postpass.tenants.share_allocation import wanted_rate

USUAL_SMOOTHING = 4  # times the smoothing time over which usual demand is smoothed
BY_CHANCE = 1.2  # times the demand of late that usual demand counts at the most
SILENCE = 8  # usual intervals between two requests, without one, after which demand has ended
# Requests between two questions from which a share is worth having; below, the token of each request is asked for.
STEADY = 4.0
GIVE_BACK = 0.6  # of its rate that an edge wants at the most when it gives the rest back at once
KEEP = 0.8  # of its rate that an edge wants at the most when it gives the rest back with a question that it has anyway
FETCH_AHEAD = 0.5  # of the time between two questions for which tokens should be there
TOKEN = 1.0 - 1e-6  # one token, but for the rounding of figures in messages


@dataclass(eq=False)
class EdgeShare:
    """The share of one tenant at one edge.

    Invariants: `tokens` <= `burst`; nothing is taken at or after `until`; a grant counts only if it answers the last
    question.

    Attributes:
        rate: tokens a second.
        burst: tokens that may be there at once.
        until: when the share runs out.
        tokens: that were there at `counted_at`.
        number: of the last question.
        asked_at: when that was asked.
        answered: whether it was answered, or no answer is waited for any more.
        heard: whether the last question that is over was answered; if not, nothing is given back to nobody.
        short_until: before this no question is asked for a request, since the last answer gave too little.
        arrivals: smoothed number of requests a second, at `arrived_at`.
        usual_arrivals: the same, smoothed over a longer time.
    """

    smoothing: float
    rate: float = 0.0
    burst: float = 0.0
    until: float = -math.inf
    tokens: float = 0.0
    counted_at: float = -math.inf
    number: int = 0
    asked_at: float = -math.inf
    answered: bool = True
    heard: bool = True
    short_until: float = -math.inf
    arrivals: float = 0.0
    usual_arrivals: float = 0.0
    arrived_at: float = -math.inf

    def note_arrival(self, now: float) -> None:
        """A request has come."""
        since, usual = max(0.0, now - self.arrived_at), self.smoothing * USUAL_SMOOTHING
        self.arrivals = self.arrivals * math.exp(-since / self.smoothing) + 1 / self.smoothing
        self.usual_arrivals = self.usual_arrivals * math.exp(-since / usual) + 1 / usual
        self.arrived_at = now

    def demand(self, now: float) -> float:
        """Requests a second that arrive, refused ones included: of late, or as is usual if that is more but not much
        more, so that a share doesn't shrink by chance. None do if the last one is much longer ago than it would be."""
        since = max(0.0, now - self.arrived_at)
        if not self.arrivals or since * max(self.arrivals, self.usual_arrivals) > SILENCE:
            return 0.0
        lately = self.arrivals * math.exp(-since / self.smoothing)
        usual = self.usual_arrivals * math.exp(-since / (self.smoothing * USUAL_SMOOTHING))
        return max(lately, min(usual, lately * BY_CHANCE))

    def steady_demand(self, renew: float, now: float) -> float:
        """The demand, if several requests come between two questions; else 0. A rate that is leased to an edge where hardly
        any request comes is lost: it makes no whole token there before the share runs out."""
        demand = self.demand(now)
        return demand if demand * renew >= STEADY else 0.0

    def count(self, limit: RateBurst, now: float) -> None:
        """Counts the tokens that came since the last time; the limit in force here holds beside the share."""
        if now >= self.until:
            self.rate = self.burst = self.tokens = 0.0
        else:
            came = min(self.rate, limit.rate) * max(0.0, now - self.counted_at)
            self.tokens = min(self.tokens + came, self.burst, limit.burst)
        self.counted_at = now

    def take(self, limit: RateBurst, now: float) -> bool:
        """Takes the token of one request, if there is one."""
        self.count(limit, now)
        if self.tokens < TOKEN:
            return False
        self.tokens = max(0.0, self.tokens - 1.0)
        return True

    def wait_for(self, tokens: float, limit: RateBurst, now: float) -> float:
        """Seconds until so many tokens should be there; infinite if the share doesn't give as many."""
        self.count(limit, now)
        rate = min(self.rate, limit.rate)
        if rate <= 0 or tokens > min(self.burst, limit.burst):
            return 0.0 if self.tokens >= tokens else math.inf
        return max(0.0, tokens - self.tokens) / rate

    def is_due(self, limit: RateBurst, renew: float, now: float) -> bool:
        """Should the home be asked now, though no request waits? To go on after what is used, or to give back."""
        if not self.answered:
            return False
        self.count(limit, now)
        if self.heard and self._want(limit, renew, now) < self.rate * GIVE_BACK:
            return True
        demand = self.steady_demand(renew, now)
        return demand > 0 and now >= self.asked_at + renew

    def ask(self, tenant: str, number: int, waiting: int, renew: float, limit: RateBurst, now: float) -> ShareRequest:
        """The next question. What it tells of the share holds from now on: what is not wanted any more is given back.

        Parameters: `number`, greater than that of any question before; `waiting`, requests that wait for a token; `renew`, the seconds between two questions.
        """
        self.count(limit, now)
        demand = self.steady_demand(renew, now)
        want, returned = self._want(limit, renew, now), 0.0
        if self.heard and want < self.rate * KEEP:
            self.burst, self.rate = self.burst * want / self.rate, want
            returned = max(0.0, self.tokens - self.burst)
            self.tokens -= returned
        ahead = demand * renew * FETCH_AHEAD + waiting
        wanted = max(0.0, ahead - self.tokens)
        self.number = number
        self.asked_at, self.answered = now, False
        remaining = max(0.0, self.until - now)
        return ShareRequest(
            tenant, self.number, demand, self.rate, self.burst, remaining, self.tokens, wanted, returned
        )

    def holding(self, tenant: str, limit: RateBurst, now: float) -> ShareRequest:
        """What is held, for a new home."""
        self.count(limit, now)
        remaining = max(0.0, self.until - now)
        return ShareRequest(tenant, self.number, self.demand(now), self.rate, self.burst, remaining, self.tokens)

    def apply(self, grant: ShareGrant, limit: RateBurst, now: float) -> bool:
        """Puts a grant in place of the share so far; False if it answers another question than the last one, which is
        then to be ignored."""
        if grant.number != self.number or self.answered:
            return False
        self.count(limit, now)
        self.answered = self.heard = True
        self.rate, self.burst, self.until = grant.rate, grant.burst, self.asked_at + grant.seconds
        self.tokens = min(self.tokens + grant.tokens, self.burst)
        self.count(limit, now)
        return True

    def give_up(self) -> None:
        """No answer to the last question will be taken any more."""
        self.heard = self.heard and self.answered
        self.answered = True

    def _want(self, limit: RateBurst, renew: float, now: float) -> float:
        demand = self.steady_demand(renew, now)
        return wanted_rate(demand, limit.rate) if demand else 0.0
