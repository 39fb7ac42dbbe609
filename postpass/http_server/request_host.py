"""Whether it is clear which host a request is for (RFC 9112, sections 3.2 and 3.2.2)."""

from __future__ import annotations

import re
from collections.abc import Sequence

from postpass.configuration.route_host import RouteHost

# The authority of a target in absolute form, such as `http://shop.example:8080/orders?id=1`.
_ABSOLUTE_TARGET = re.compile(rb"[A-Za-z][A-Za-z0-9+.-]*://([^/?#]*)")


def has_clear_host(target: bytes, headers: Sequence[tuple[bytes, bytes]]) -> bool:
    """Returns whether a request names at most one host.

    Several `Host` headers are never clear, even if they are equal. A target in absolute form has to name the same host as
    the header: by the RFC the target would count, while routes are matched by the header. Names of headers are in lower case.
    """
    hosts = [value for name, value in headers if name == b"host"]
    if len(hosts) > 1:
        return False
    absolute_target = _ABSOLUTE_TARGET.match(target)
    if absolute_target is None:
        return True
    return len(hosts) == 1 and RouteHost.parse(absolute_target[1]) == RouteHost.parse(hosts[0])
