"""Who a client is: the tenant whose key it shows, by the configuration in force."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from result import Err, Ok, Result

from postpass.configuration.configuration import Route, Tenant
from postpass.configuration.tenant_keys import key_digest
from postpass.feed.configuration_view import ConfigurationView
from postpass.gateway.attempts import KeyStanding
from postpass.gateway.http_headers import AUTHORIZATION, Headers

SCHEME = b"bearer"
CHALLENGE = (b"www-authenticate", b"Bearer")  # goes with each 401


class KeyRefusal(StrEnum):
    """Why a client is not let in; it is told no more than this."""

    UNKNOWN = "no known key"


@dataclass(frozen=True, slots=True)
class ClientIdentity:
    """A client as it was let in. It holds the digest of a key, never the key itself.

    :ivar tenant: the tenant's name; empty where no key is needed.
    :ivar digest: of the key that it showed.
    :ivar rank: the tenant's own, in place of a route's.
    :ivar hides_key: workers don't see its `Authorization`, since keys of tenants stand there.
    """

    tenant: str = ""
    digest: str = ""
    rank: int | None = None
    hides_key: bool = True

    def rank_on(self, route: Route) -> int:
        """The rank of its requests on a route; 0 is the highest."""
        return route["rank"] if self.rank is None else self.rank


WITHOUT_TENANTS = ClientIdentity(hides_key=False)  # anyone, where the configuration has no tenants
PUBLIC = ClientIdentity()  # anyone, on a public route


def shown_key(headers: Headers) -> bytes | None:
    """The key that a client shows; None if it shows none, or it is unclear which."""
    values = [value for name, value in headers if name == AUTHORIZATION]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].partition(b" ")
    return key.strip(b" ") or None if scheme.lower() == SCHEME else None


@dataclass(eq=False)
class ClientKeys:
    """Which tenant holds which key. Owner: `Relay`.

    Invariant: after `refresh`, all of it follows from the tenants of the configuration in force. Only keys that a tenant
    holds are remembered, so that there are never more of them than the configuration has.
    """

    configuration_view: ConfigurationView
    tenants: dict[str, Tenant] | None = None  # None: the configuration has none, so nobody needs a key
    holders: dict[str, str] = field(default_factory=dict)  # the tenant's name by the digest of a key
    seen: dict[bytes, ClientIdentity] = field(default_factory=dict)  # by key, so that each is digested once

    def refresh(self) -> None:
        """Learns the tenants in force. Revisions share what they have in common, so only tenants that changed cost."""
        configuration = self.configuration_view.manifest
        tenants = configuration.get("tenants") if configuration is not None else None
        if tenants is self.tenants:
            return
        old, new = self.tenants or {}, tenants or {}
        for name, tenant in old.items():
            if new.get(name) is not tenant:
                for digest in tenant["keys"]:
                    self.holders.pop(digest, None)
        for name, tenant in new.items():
            if old.get(name) is not tenant:
                self.holders.update(dict.fromkeys(tenant["keys"], name))
        self.tenants = tenants
        self.seen.clear()

    def authenticate(self, route: Route, headers: Headers) -> Result[ClientIdentity, KeyRefusal]:
        """Whose request on a route this is."""
        self.refresh()
        if self.tenants is None:
            return Ok(WITHOUT_TENANTS)
        return Ok(PUBLIC) if route.get("public") else self._holder(headers)

    def authenticate_for_job(self, routes: Iterable[Route], headers: Headers) -> Result[ClientIdentity, KeyRefusal]:
        """Whose call about a job this is, of which only the routes are known that it may have come by."""
        self.refresh()
        if self.tenants is None:
            return Ok(WITHOUT_TENANTS)
        found = self._holder(headers)
        if isinstance(found, Err) and any(route.get("public") and route["kind"] == "lot" for route in routes):
            return Ok(PUBLIC)
        return found

    def _holder(self, headers: Headers) -> Result[ClientIdentity, KeyRefusal]:
        """The tenant whose key the client shows."""
        key = shown_key(headers)
        if key is None:
            return Err(KeyRefusal.UNKNOWN)
        known = self.seen.get(key)
        if known is not None:
            return Ok(known)
        digest = key_digest(key)
        name = self.holders.get(digest)
        if name is None or self.tenants is None:
            return Err(KeyRefusal.UNKNOWN)
        identity = ClientIdentity(name, digest, self.tenants[name].get("rank"))
        self.seen[key] = identity
        return Ok(identity)

    def standing(self, route: Route, client: ClientIdentity) -> KeyStanding:
        """Would a client that was let in be let in now, as the same one?"""
        self.refresh()
        if self.tenants is None or route.get("public"):
            expected = WITHOUT_TENANTS if self.tenants is None else PUBLIC
            return KeyStanding.HELD if client == expected else KeyStanding.CHANGED
        if not client.digest:
            return KeyStanding.CHANGED
        holder = self.holders.get(client.digest)
        if holder is None:
            return KeyStanding.WITHDRAWN
        return KeyStanding.HELD if holder == client.tenant else KeyStanding.CHANGED
