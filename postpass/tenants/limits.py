"""How much of a tenant's limit may be handed out, and the timers of leased shares.

What is guaranteed is that at most (rate * window + burst) * (1 + excess) + extra requests run in any window. A part of what
this guarantee allows beyond the limit itself is handed out too, so that a share which is unused at one edge is missed less
at another. The rest covers what can't be known exactly: tokens that a new home starts with, and clocks that run at different
speeds.
"""

from __future__ import annotations

from dataclasses import dataclass

from postpass.configuration.configuration import Tenant
from postpass.configuration.settings import Bounds

GRANTED_EXCESS = 0.5  # fraction of the guarantee's excess that is handed out
GRANTED_EXTRA = 0.6  # fraction of the guarantee's extra requests that is handed out
STARTING_EXTRA = 0.15  # fraction of the guarantee's extra requests that a new home has as tokens to start with

# A home treats a share as in use for so many times its lease, since the edge's clock may run slower.
CLOCK_MARGIN = 1.02


@dataclass(frozen=True)
class QuotaSlack:
    """What the guarantee on limits allows beyond a limit itself.

    :ivar window: seconds over which requests are counted.
    :ivar excess: additional requests, as a fraction of rate * window + burst.
    :ivar extra: further additional requests, as an absolute number.
    """

    window: float
    excess: float
    extra: float


@dataclass(frozen=True)
class RateBurst:
    """The rate of a token bucket, in tokens a second, and its capacity (burst). One request takes one token."""

    rate: float
    burst: float


ZERO_LIMIT = RateBurst(0.0, 0.0)


def quota_slack(bounds: Bounds) -> QuotaSlack:
    """Returns the slack that the settings allow."""
    return QuotaSlack(bounds.quota_window, bounds.quota_excess, bounds.quota_extra)


def tenant_limit(tenant: Tenant | None, slack: QuotaSlack) -> RateBurst | None:
    """Returns what may be handed out for a tenant over all edges together; None if it has no limit.

    For a tenant that is not configured, or not any more, nothing may be handed out.
    """
    if tenant is None:
        return ZERO_LIMIT
    if not tenant["rate"]:
        return None
    factor = 1 + slack.excess * GRANTED_EXCESS
    return RateBurst(tenant["rate"] * factor, tenant["burst"] * factor + slack.extra * GRANTED_EXTRA)


@dataclass(frozen=True)
class ShareTimers:
    """The timers of leased shares, in seconds, derived from the bounds.

    :ivar lease: how long a share is valid after its edge requested it; longer than the takeover by another owner takes.
    :ivar renew: interval after which an edge requests anew a share that it uses.
    :ivar check: interval at which an edge checks its shares.
    :ivar retry: how long the response of one machine is waited for.
    :ivar patience: how long a request may wait for a token.
    :ivar pause: how long no share request is made after a grant with too few tokens.
    :ivar smoothing: time constant over which the demand at an edge is smoothed.
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
        """Returns the timers that follow from these bounds."""
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
