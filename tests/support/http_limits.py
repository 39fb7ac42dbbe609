"""Protocol classes of HTTP servers under given limits."""

from __future__ import annotations

from collections.abc import Callable

from postpass.http_server.limits import ConnectionLimits, ResourceLimits
from postpass.http_server.protocol import LimitedProtocol, limited_protocol
from postpass.http_server.resources import ServerResources

RESOURCES = ResourceLimits.of_process(300 << 20, 4096)


def protocol_under(
    limits: Callable[[], ConnectionLimits], peer_timeout_s: float, resources: ResourceLimits = RESOURCES
) -> type[LimitedProtocol]:
    return limited_protocol(ServerResources.create(limits, peer_timeout_s, resources))
