"""The interface by which the relay checks whether it may run a request of a tenant."""

from __future__ import annotations

from typing import Protocol


class RateLimit(Protocol):
    """The limit on the requests a second of tenants; implemented by `EdgeShares`."""

    async def admit(self, tenant: str) -> float:
        """Returns 0.0 if a request of the tenant may run now; else the seconds after which the client should retry."""
