"""What the relay asks before it runs a request of a tenant."""

from __future__ import annotations

from typing import Protocol


class RateLimit(Protocol):
    """The limit on the requests a second of tenants; `EdgeShares` is the one in use."""

    async def admit(self, tenant: str) -> float:
        """0.0 if a request of the tenant may run now; else the seconds after which to come again."""
