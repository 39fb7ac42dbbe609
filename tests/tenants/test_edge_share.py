"""The share of one tenant at an edge: its tokens, its expiry, share requests and grants."""

from __future__ import annotations

import math

import pytest

from postpass.tenants.edge_share import EdgeShare
from postpass.tenants.limits import RateBurst
from postpass.tenants.messages import ShareGrant, ShareRequest

LIMIT = RateBurst(100.0, 50.0)
RENEW = 1.0


def share_with(rate: float, burst: float, tokens: float, at: float = 0.0, seconds: float = 5.0) -> EdgeShare:
    share = EdgeShare(smoothing=1.0)
    share.next_request("t", 1, 0, RENEW, LIMIT, at)
    assert share.apply(ShareGrant("t", 1, rate, burst, tokens, seconds), LIMIT, at)
    return share


def test_tokens_come_at_the_rate_up_to_the_burst() -> None:
    share = share_with(10.0, 3.0, 0.0)
    assert not share.take_token(LIMIT, 0.05)
    assert share.take_token(LIMIT, 0.1)
    assert [share.take_token(LIMIT, 2.0) for _ in range(4)] == [True, True, True, False]


def test_nothing_is_taken_after_the_end() -> None:
    share = share_with(10.0, 3.0, 3.0)
    assert share.take_token(LIMIT, 4.999)
    assert not share.take_token(LIMIT, 5.0)
    assert share.wait_for(1.0, LIMIT, 5.0) == math.inf


def test_a_share_is_valid_from_when_it_was_requested() -> None:
    share = EdgeShare(smoothing=1.0)
    share.next_request("t", 1, 1, RENEW, LIMIT, 2.0)
    assert share.apply(ShareGrant("t", 1, 10.0, 3.0, 3.0, 5.0), LIMIT, 8.0)
    assert not share.take_token(LIMIT, 8.0)


def test_an_answer_to_an_earlier_request_or_a_repeated_answer_is_ignored() -> None:
    share = EdgeShare(smoothing=1.0)
    share.next_request("t", 1, 1, RENEW, LIMIT, 0.0)
    share.abandon_request()
    share.next_request("t", 2, 1, RENEW, LIMIT, 1.0)
    assert not share.apply(ShareGrant("t", 1, 10.0, 3.0, 3.0, 5.0), LIMIT, 1.1)
    assert share.apply(ShareGrant("t", 2, 10.0, 3.0, 1.0, 5.0), LIMIT, 1.1)
    assert not share.apply(ShareGrant("t", 2, 10.0, 3.0, 1.0, 5.0), LIMIT, 1.1)
    assert [share.take_token(LIMIT, 1.1) for _ in range(2)] == [True, False]


def test_a_lower_limit_holds_at_once() -> None:
    share = share_with(10.0, 5.0, 5.0)
    lower = RateBurst(1.0, 2.0)
    assert [share.take_token(lower, 0.0) for _ in range(3)] == [True, True, False]
    assert share.wait_for(1.0, lower, 0.0) == 1.0


def test_what_is_not_needed_any_more_is_given_back_with_the_next_request() -> None:
    share = share_with(80.0, 40.0, 4.0)
    assert share.should_request(LIMIT, RENEW, 0.5)
    request = share.next_request("t", 2, 0, RENEW, LIMIT, 0.5)
    assert (request.rate, request.burst, request.demand) == (0.0, 0.0, 0.0)
    assert request.returned == 40.0 and request.tokens == 0.0
    assert share.rate == 0.0 and not share.take_token(LIMIT, 0.5)


def test_demand_ends_after_a_pause_that_is_long_for_the_former_demand() -> None:
    share = EdgeShare(smoothing=1.0)
    for step in range(200):
        share.note_arrival(step / 100)
    assert share.demand(2.05) > 70.0
    assert share.demand(2.15) == 0.0


def test_a_used_share_is_renewed_and_an_unused_one_is_not() -> None:
    share = share_with(8.0, 8.0, 8.0)
    for step in range(20):
        share.note_arrival(step / 10)
    assert not share.should_request(LIMIT, 3.0, 2.0)
    assert share.should_request(LIMIT, 1.5, 2.0)
    idle = share_with(0.0, 1.0, 0.0)
    assert not idle.should_request(LIMIT, RENEW, 4.0)


def test_demand_is_about_the_arrivals_a_second() -> None:
    share = EdgeShare(smoothing=1.0)
    for step in range(500):
        share.note_arrival(step / 50)
    assert share.demand(10.0) == pytest.approx(50.0, rel=0.05)
    assert share.demand(15.0) < 1.0


def test_messages_are_read_as_they_were_written() -> None:
    request = ShareRequest("t", 3, 1.5, 2.5, 3.5, 4.5, 5.5, 6.5, 7.5)
    grant = ShareGrant("t", 3, 1.5, 2.5, 3.5, 4.5)
    assert ShareRequest.from_json(request.as_json()) == request
    assert ShareGrant.from_json(grant.as_json()) == grant
