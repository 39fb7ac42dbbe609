"""Tests of postpass.gateway.route_table."""

from __future__ import annotations

from postpass.gateway.route_table import route_table_of
from tests.gateway.test_relay import relay_configuration


def test_the_longest_prefix_wins() -> None:
    table = route_table_of(relay_configuration(["w1"]))
    names = [
        entry[0] if (entry := table.match(b"SHOP.example:81", path)) else ""
        for path in (b"/o/x", b"/o/deep/x", b"/o/deep", b"/")
    ]
    assert names == ["once", "deep", "once", ""]
