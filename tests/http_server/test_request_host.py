"""Requests that don't say clearly which host they are for: refused with 400, never handled under either host."""

from __future__ import annotations

import pytest

from tests.http_server.test_protocol_fuzz import OK_HEAD, responses_to


def response_to(target: str, *hosts: str) -> bytes:
    lines = "".join(f"Host: {host}\r\n" for host in hosts)
    return responses_to([f"GET {target} HTTP/1.1\r\n{lines}\r\n".encode()])[0]


@pytest.mark.parametrize(
    ("target", "hosts"),
    [
        ("/x", ("a.example", "b.example")),
        ("/x", ("a.example", "a.example")),
        ("http://b.example/x", ("a.example",)),
        ("http://a.example:81/x", ("a.example",)),
        ("http://user@a.example/x", ("a.example",)),
        ("http://a.example/x", ()),
        ("http://a.example/x", ("",)),
    ],
)
def test_two_hosts_are_refused(target: str, hosts: tuple[str, ...]) -> None:
    assert response_to(target, *hosts).startswith(b"HTTP/1.1 400 ")


@pytest.mark.parametrize(
    ("target", "hosts"),
    [
        ("/x", ("a.example",)),
        ("/x", ("",)),
        ("/x", ()),
        ("/x?to=http://b.example/", ("a.example",)),
        ("http://A.example./x", ("a.example",)),
        ("http://a.example:81/x", ("a.example:81",)),
    ],
)
def test_one_host_is_not_refused(target: str, hosts: tuple[str, ...]) -> None:
    response = response_to(target, *hosts)
    assert response.startswith(OK_HEAD) and b"/x 0;" in response
