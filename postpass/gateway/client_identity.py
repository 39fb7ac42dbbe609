"""Authentication of clients: a client is the tenant whose key it presents, by the configuration in force."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from result import Err, Ok, Result

from postpass.configuration.configuration import Route, Tenant
from postpass.configuration.tenant_keys import key_digest
from postpass.feed.configuration_view import ConfigurationView
from postpass.gateway.attempts import KeyStatus
from postpass.gateway.http_headers import AUTHORIZATION, Headers

BEARER_SCHEME = b"bearer"
CHALLENGE = (b"www-authenticate", b"Bearer")  # header of each response with status 401


class KeyRefusal(StrEnum):
    """Why a client is not authenticated. The client learns no more than this."""

    UNKNOWN = "no known key"


@dataclass(frozen=True, slots=True)
class ClientIdentity:
    """An authenticated client. It contains the digest of the client's key, never the key itself.

    :ivar tenant: the tenant's name; empty if no key is needed.
    :ivar digest: the digest of the key that the client presented; empty if no key is needed.
    :ivar rank: the tenant's own rank, which replaces that of the route; None if the tenant has none.
    :ivar hides_key: the client's `Authorization` header is not forwarded to workers, since it contains tenants' keys.
    """

    tenant: str = ""
    digest: str = ""
    rank: int | None = None
    hides_key: bool = True

    def rank_on(self, route: Route) -> int:
        """Returns the rank of the client's requests on a route; 0 is the highest."""
        return route["rank"] if self.rank is None else self.rank


WITHOUT_TENANTS = ClientIdentity(hides_key=False)  # any client, if the configuration has no tenants
PUBLIC = ClientIdentity()  # any client of a public route


def presented_key(headers: Headers) -> bytes | None:
    """Returns the key that a client presents; None if it presents none, or if it is ambiguous which one."""
    values = [value for name, value in headers if name == AUTHORIZATION]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].partition(b" ")
    return key.strip(b" ") or None if scheme.lower() == BEARER_SCHEME else None


@dataclass(eq=False)
class ClientKeys:
    """The keys of all tenants, and the authentication of clients by them. Owned by `Relay`.

    Invariant: after `refresh`, everything here follows from the tenants of the configuration in force. Only keys that belong
    to a tenant are remembered, so that there are never more of them than the configuration has.
    """

    configuration_view: ConfigurationView
    tenants: dict[str, Tenant] | None = None  # None if the configuration has none, so that no client needs a key
    tenant_by_digest: dict[str, str] = field(default_factory=dict)  # the tenant's name by the digest of its key
    # By key, so that the digest of each key is computed only once.
    identities: dict[bytes, ClientIdentity] = field(default_factory=dict)

    def refresh(self) -> None:
        """Loads the tenants of the configuration in force, if they have changed.

        Successive revisions share the objects of tenants that did not change, so that only changed tenants cost time.
        """
        configuration = self.configuration_view.manifest
        tenants = configuration.get("tenants") if configuration is not None else None
        if tenants is self.tenants:
            return
        old, new = self.tenants or {}, tenants or {}
        for name, tenant in old.items():
            if new.get(name) is not tenant:
                for digest in tenant["keys"]:
                    self.tenant_by_digest.pop(digest, None)
        for name, tenant in new.items():
            if old.get(name) is not tenant:
                self.tenant_by_digest.update(dict.fromkeys(tenant["keys"], name))
        self.tenants = tenants
        self.identities.clear()

    def authenticate(self, route: Route, headers: Headers) -> Result[ClientIdentity, KeyRefusal]:
        """Returns the identity of the client of a request on a route, or why the client is not authenticated."""
        self.refresh()
        if self.tenants is None:
            return Ok(WITHOUT_TENANTS)
        return Ok(PUBLIC) if route.get("public") else self._identify(headers)

    def authenticate_for_job(self, routes: Iterable[Route], headers: Headers) -> Result[ClientIdentity, KeyRefusal]:
        """Returns the identity of the client of a request about a job, or why the client is not authenticated.

        `routes`: the routes by which the job may have been submitted; which of them it was is not known.
        """
        self.refresh()
        if self.tenants is None:
            return Ok(WITHOUT_TENANTS)
        identity_result = self._identify(headers)
        if isinstance(identity_result, Err) and any(route.get("public") and route["kind"] == "lot" for route in routes):
            return Ok(PUBLIC)
        return identity_result

    def _identify(self, headers: Headers) -> Result[ClientIdentity, KeyRefusal]:
        """Returns the identity of the tenant whose key the client presents."""
        key = presented_key(headers)
        if key is None:
            return Err(KeyRefusal.UNKNOWN)
        cached_identity = self.identities.get(key)
        if cached_identity is not None:
            return Ok(cached_identity)
        digest = key_digest(key)
        name = self.tenant_by_digest.get(digest)
        if name is None or self.tenants is None:
            return Err(KeyRefusal.UNKNOWN)
        identity = ClientIdentity(name, digest, self.tenants[name].get("rank"))
        self.identities[key] = identity
        return Ok(identity)

    def key_status(self, route: Route, client: ClientIdentity) -> KeyStatus:
        """Returns what has become of the key of an authenticated client.

        `VALID`: the client would be authenticated now with the same identity; `WITHDRAWN`: no tenant has its key any more;
        `CHANGED`: its identity would be another, or it would need a key although it presented none.
        """
        self.refresh()
        if self.tenants is None or route.get("public"):
            expected = WITHOUT_TENANTS if self.tenants is None else PUBLIC
            return KeyStatus.VALID if client == expected else KeyStatus.CHANGED
        if not client.digest:
            return KeyStatus.CHANGED
        tenant = self.tenant_by_digest.get(client.digest)
        if tenant is None:
            return KeyStatus.WITHDRAWN
        return KeyStatus.VALID if tenant == client.tenant else KeyStatus.CHANGED
