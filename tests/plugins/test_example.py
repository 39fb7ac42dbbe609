"""Tests of the example plug-ins."""

from __future__ import annotations

from postpass_example.near import near
from postpass_example.shared import all_shared

from postpass.worker_api.plugins import Ask, Seat


def test_requests_stay_in_their_zone_while_it_has_capacity() -> None:
    request = Ask("ask", (), 10, "b")
    remote_worker, local_worker = Seat("w1", "a", 4, 4, 0), Seat("w2", "b", 1, 4, 3)
    assert near(request, (remote_worker, local_worker)) == "w2"
    assert near(request, (remote_worker,)) == "w1"


def test_the_key_depends_on_all_shared_parts() -> None:
    one, two = Ask("ask", ("a", "b"), 1, "x"), Ask("ask", ("a", "c"), 1, "x")
    assert all_shared(one) != all_shared(two) and all_shared(Ask("ask", (), 1, "x")) == ""
