"""How much of a tenant's limit may be handed out, and the timers of leased shares.

The promise is (rate * window + burst) * (1 + excess) + extra in any window. A part of what the promise has beyond the
limit itself is handed out too, so that a share that lies unused at one edge is missed less at another. The rest covers
what can't be told exactly: tokens that a new home starts with, and clocks that differ in pace.
"""

from __future__ import annotations

from dataclasses import dataclass

from postpass.configuration.configuration import Tenant
from postpass.configuration.settings import Bounds

USED_EXCESS = 0.5  # of the excess that the promise allows
USED_EXTRA = 0.6  # of the extra requests that the promise allows
STARTING_EXTRA = 0.15  # of the extra requests: tokens of a home that has just begun

CLOCK_MARGIN = 1.02  # a home counts a share as outstanding so many times as long as its edge does


@dataclass(frozen=True)
class QuotaSlack:
    """What the promise on limits allows beyond a limit itself.

    :ivar window: seconds over which requests are counted.
    :ivar excess: a part of rate * window + burst.
    :ivar extra: requests.
    """

    window: float
    excess: float
    extra: float


@dataclass(frozen=True)
class RateBurst:
    """Tokens a second, and tokens that may be there at once. One request takes one token."""

    rate: float
    burst: float


NOTHING = RateBurst(0.0, 0.0)


def quota_slack(bounds: Bounds) -> QuotaSlack:
    """The slack that the settings promise."""
    return QuotaSlack(bounds.quota_window, bounds.quota_excess, bounds.quota_extra)


def tenant_limit(tenant: Tenant | None, slack: QuotaSlack) -> RateBurst | None:
    """What may be handed out for a tenant over all edges together; None if it has no limit.

    A tenant that is not configured (any more) may have nothing.
    """
    if tenant is None:
        return NOTHING
    if not tenant["rate"]:
        return None
    factor = 1 + slack.excess * USED_EXCESS
    return RateBurst(tenant["rate"] * factor, tenant["burst"] * factor + slack.extra * USED_EXTRA)


@dataclass(frozen=True)
class ShareTimers:
    """The timers of leased shares, in seconds, as ratios of the bounds.

    :ivar lease: for which a share is good, from when its edge asked: longer than a takeover by another owner takes.
    :ivar renew: after which an edge asks anew for a share that it uses.
    :ivar check: between two looks of an edge at its shares.
    :ivar retry: that one machine's answer is waited for.
    :ivar patience: that a request may wait for a token.
    :ivar pause: without a question after an answer that gave too few tokens.
    :ivar smoothing: over which the demand at an edge is smoothed.
    """

    lease: float
    renew: float
    check: float
    retry: float
    patience: float
    pause: float
    smoothing: float

    @classmethod
    def of(cls, bounds: Bounds) -> ShareTimers:
        """The timers under these bounds."""
        lease = bounds.recover / 3
        return cls(
            lease=lease,
            renew=lease / 5,
            check=lease / 20,
            retry=lease / 20,
            patience=bounds.leave / 25,
            pause=bounds.leave / 20,
            smoothing=lease / 4,
        )
