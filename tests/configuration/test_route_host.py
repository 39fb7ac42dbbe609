"""Tests of postpass.configuration.route_host: which hosts are the same."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from postpass.configuration.route_host import RouteHost


@pytest.mark.parametrize(
    ("host", "other"),
    [
        ("Shop.Example", "shop.example"),
        ("shop.example.", "shop.example"),
        ("shop.example:", "shop.example"),
        ("shop.example.:080", "shop.example:80"),
        ("[::1]:", "[::1]"),
        ("[FE80::A]", "[fe80::a]"),
    ],
)
def test_these_hosts_are_the_same(host: str, other: str) -> None:
    assert RouteHost.parse(host) == RouteHost.parse(other) == RouteHost.parse(host.encode())


@pytest.mark.parametrize(
    ("host", "other"),
    [
        ("shop.example", "shop.example:80"),
        ("shop.example:80", "shop.example:81"),
        ("[::1]", "[::2]"),
        ("[::1]:80", "[::1]:81"),
        ("::1", "::2"),
        ("shop.example:http", "shop.example"),
        ("shop.example:²", "shop.example"),
        ("shop.example..", "shop.example"),
        ("shop.example:.", "shop.example"),
        (":80", ":81"),
        ("a\ud83d.example", "a.example"),
    ],
)
def test_these_hosts_are_not_the_same(host: str, other: str) -> None:
    assert RouteHost.parse(host) != RouteHost.parse(other)


def test_the_port_is_what_follows_a_name_or_an_address() -> None:
    assert RouteHost.parse("[::1]:8443") == RouteHost(b"[::1]", b"8443")
    assert RouteHost.parse("127.0.0.1:8443").without_port == RouteHost(b"127.0.0.1")
    assert RouteHost.parse("shop.example:" + "0" * 5000 + "7") == RouteHost(b"shop.example", b"7")


@given(st.text(alphabet=st.characters(codec=None)) | st.text(alphabet="aA.:[]019"))
def test_any_text_is_a_host_and_its_text_names_the_same_one(host: str) -> None:
    parsed = RouteHost.parse(host)
    assert RouteHost.parse(parsed.text) == parsed
    assert RouteHost.parse(parsed.text).text == parsed.text
