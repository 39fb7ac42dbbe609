"""The identity of hosts: which `Host` headers and which hosts of routes mean the same.

Hosts are compared as RFC 3986 (section 3.2.2) and RFC 9110 (section 7.2) describe them: a name, an IPv4 address or an
IPv6 address in brackets, and optionally a port. Everything that compares hosts goes by this module.
"""

from __future__ import annotations

from dataclasses import dataclass

# Hosts come from JSON, where a text may hold half of a surrogate pair, which has no form in plain UTF-8.
ENCODING_ERRORS = "surrogatepass"


def _is_name(name: bytes) -> bool:
    """Returns whether this is a name or an address, without a port behind it."""
    if name.startswith(b"["):
        return name.endswith(b"]") and name.count(b"]") == 1
    return bool(name) and b":" not in name


def _without_root_dot(name: bytes) -> bytes:
    """Returns a name without the one dot that marks a domain name as absolute."""
    shortened = name.removesuffix(b".")
    return name if shortened == name or not shortened or shortened.endswith(b".") else shortened


@dataclass(frozen=True, slots=True)
class RouteHost:
    """A host in the form in which it is compared: two hosts are the same if they are equal.

    Letters compare without regard to case, a trailing dot of the name and leading zeros of the port don't count, and an
    empty port is no port. No port is assumed by default, since an edge doesn't know the scheme that clients use. What
    is not of the form NAME or NAME:PORT is a name as a whole.

    :ivar name: the name or address, in lower case.
    :ivar port: the port in digits; empty if none is given.
    """

    name: bytes
    port: bytes = b""

    @classmethod
    def parse(cls, host: str | bytes) -> RouteHost:
        """Returns the host that a route, a `Host` header or the authority of a URL names. Any text is a host."""
        raw = host.encode(errors=ENCODING_ERRORS) if isinstance(host, str) else host
        text = raw.lower()
        if _is_name(text):
            return cls(_without_root_dot(text))
        name, _, port = text.rpartition(b":")
        if _is_name(name) and (not port or port.isdigit()):
            return cls(_without_root_dot(name), port and (port.lstrip(b"0") or b"0"))
        return cls(text)

    @property
    def without_port(self) -> RouteHost:
        """The same host at any port."""
        return RouteHost(self.name)

    @property
    def text(self) -> str:
        """The host as text; `parse` returns an equal host for it."""
        return (self.name + b":" + self.port if self.port else self.name).decode(errors=ENCODING_ERRORS)
