"""Tests of postpass.gateway.route_table."""

from __future__ import annotations

import copy
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from postpass.configuration.configuration import Configuration
from postpass.configuration.configuration_check import check, check_received
from postpass.feed.configuration_view import ConfigurationView
from postpass.gateway.route_table import RouteTable, route_table_of
from tests.gateway.test_relay import Scene, answer_ok, play, relay_configuration, route
from tests.platform.test_configuration import document
from tests.platform.test_settings import adapter

PREFIX = "/x/"
HOSTS = [
    "p.example", "P.example", "p.example.", "p.example:", "p.example:80", "p.example:080", "p.example.:80", "p.example:81",
    "p.example:http", "q.example", "[::1]", "[::1]:80", "[::2]", "::1", "::2", ":80", ".", "a\ud83d.example",
]  # fmt: skip


def test_the_longest_prefix_wins() -> None:
    table = route_table_of(relay_configuration(["w1"]))
    names = [
        entry[0] if (entry := table.match(b"SHOP.example:81", path)) else ""
        for path in (b"/o/x", b"/o/deep/x", b"/o/deep", b"/")
    ]
    assert names == ["once", "deep", "once", ""]


def configuration_with(hosts: list[str]) -> Configuration:
    """A configuration with one route of the same prefix for each host, named by its position."""
    configuration = relay_configuration(["w1"])
    configuration["routes"] = {f"r{i}": {**route("once", PREFIX), "host": host} for i, host in enumerate(hosts)}
    return configuration


def table_of(*hosts: str) -> RouteTable:
    return route_table_of(configuration_with(list(hosts)))


def matched(table: RouteTable, host: str) -> str:
    entry = table.match(host.encode(errors="surrogatepass"), b"/x/1")
    return entry[0] if entry else ""


# Guards against requests that run at the service of another host: ports and IPv6 addresses were cut off at the first colon.
@pytest.mark.parametrize(
    ("hosts", "requested", "expected"),
    [
        (("p.example", "p.example:8443"), "p.example:8443", "r1"),
        (("p.example", "p.example:8443"), "p.example", "r0"),
        (("p.example", "p.example:8443"), "p.example:81", "r0"),
        (("[::1]", "[::2]"), "[::1]", "r0"),
        (("[::1]", "[::2]"), "[::2]", "r1"),
        (("[::1]", "[::2]"), "[::2]:8000", "r1"),
        (("[::1]", "[::2]"), "[::3]", ""),
        (("p.example:80",), "p.example:80", "r0"),
        (("p.example:80",), "p.example", ""),
        (("p.example:80",), "p.example:81", ""),
        (("p.example",), "p.example.", "r0"),
        (("p.example",), "", ""),
    ],
)
def test_a_request_is_matched_by_its_own_host(hosts: tuple[str, ...], requested: str, expected: str) -> None:
    assert matched(table_of(*hosts), requested) == expected


def test_a_port_without_a_matching_prefix_gets_no_route_of_the_host_without_a_port() -> None:
    configuration = configuration_with(["p.example", "p.example:81"])
    configuration["routes"]["r1"]["prefix"] = "/y/"
    assert matched(route_table_of(configuration), "p.example:81") == ""


def document_with(hosts: list[str]) -> dict[str, object]:
    source = document(1)
    source["routes"] = [
        {"name": f"r{i}", "host": h, "prefix": PREFIX, "kind": "once", "timeoutMs": 1000, "service": "app"}
        for i, h in enumerate(hosts)
    ]
    return source


@given(st.lists(st.sampled_from(HOSTS), min_size=1, max_size=5), st.sampled_from(HOSTS))
def test_both_checks_accept_just_the_hosts_that_the_table_can_tell_apart(hosts: list[str], requested: str) -> None:
    configuration, source = configuration_with(hosts), document_with(hosts)
    is_valid = check(configuration).is_ok()
    assert adapter("configuration").operator_configuration(source).is_ok() == is_valid
    table = route_table_of(configuration)
    assert is_valid == (len(table.hosts) == len(hosts))
    if is_valid:
        # No other order of the same routes has another answer, and nothing answers for a host that no route has.
        names = list(configuration["routes"])
        reverse = copy.copy(configuration)
        reverse["routes"] = {name: configuration["routes"][name] for name in reversed(names)}
        assert matched(route_table_of(reverse), requested) == matched(table, requested)
        assert [matched(table, host) for host in hosts] == names
        alone = [name for name, host in zip(names, hosts, strict=True) if matched(table_of(host), requested)]
        assert bool(matched(table, requested)) == bool(alone)


# Guards against a new release that doesn't start on what the former one accepted.
def test_hosts_that_an_earlier_release_took_for_two_are_still_received() -> None:
    stored = configuration_with(["p.example.", "p.example"])
    assert check(stored).is_err()
    assert check_received(stored).is_ok()
    assert matched(route_table_of(stored), "p.example") == "r0"
    fleet = cast(Configuration, {**stored, "announced": False})
    assert ConfigurationView("e").accept(1, fleet)


# Guards against an edge that answers 500 to all requests, since one configuration can't be applied.
def test_an_edge_serves_by_the_former_routes_if_new_ones_cannot_be_derived() -> None:
    async def main(scene: Scene) -> None:
        assert (await scene.ask("/i/x"))[0] == 200
        scene.change(lambda c: c["routes"].update(broken={**c["routes"]["idem"], "host": 7}))
        assert (await scene.ask("/i/x"))[0] == 200
        scene.change(lambda c: c["routes"].pop("broken"))
        scene.change(lambda c: c["routes"].update(new=route("idem", "/new/")))
        assert (await scene.ask("/new/x"))[0] == 200

    play({"w1": answer_ok}, main)


# Guards against a new release that refuses a stored configuration: what no float holds was accepted where a float is wanted.
def test_a_number_that_an_earlier_release_accepted_is_still_received() -> None:
    stored: Any = {**relay_configuration(["w1"]), "announced": False}
    stored["classes"] = {"c": {"kind": "plain", "pool": "p", "share": 0.5, "deadline": 10**400}}
    assert "classes.c.deadline" in check(stored).unwrap_err()[0]
    assert check_received(stored).is_ok()
    assert ConfigurationView("e").accept(1, stored)
    stored["classes"]["c"]["deadline"] = float("inf")
    assert check_received(stored).is_err()
