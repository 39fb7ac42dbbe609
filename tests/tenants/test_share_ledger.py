"""A home's ledger of one tenant: the shares that may be in use add up to no more than the limit."""

from __future__ import annotations

import pytest

from postpass.tenants.limits import CLOCK_MARGIN, RateBurst
from postpass.tenants.messages import ShareGrant, ShareRequest
from postpass.tenants.share_ledger import LEASED_RATE, ShareLedger

LEASE = 5.0
LIMIT = RateBurst(80.0, 40.0)


def settled(at: float = 0.0) -> ShareLedger:
    return ShareLedger(LEASE, 0.0, at, limit=LIMIT, settled=True)


def request_share(
    ledger: ShareLedger,
    holder: str,
    number: int,
    now: float,
    previous_grant: ShareGrant | None = None,
    **figures: float,
) -> ShareGrant | None:
    share_in_use = (
        {"rate": previous_grant.rate, "burst": previous_grant.burst, "remaining": LEASE}
        if previous_grant is not None
        else {}
    )
    return ledger.grant(holder, ShareRequest("t", number, **(share_in_use | figures)), LIMIT, True, now)


def test_a_ledger_without_shares_gives_the_tokens_that_have_come() -> None:
    grant = request_share(settled(), "a", 1, 0.25, demand=10.0, wanted=30.0)
    assert grant is not None and grant.tokens == 20.0
    assert grant.burst >= 20.0


def test_no_two_shares_add_up_to_more_than_the_limit() -> None:
    ledger = settled()
    first = request_share(ledger, "a", 1, 10.0, demand=500.0)
    second = request_share(ledger, "b", 1, 10.0, demand=500.0)
    assert first is not None and second is not None
    assert first.rate == LIMIT.rate * LEASED_RATE
    assert second.rate == 0.0


def test_a_former_share_counts_until_the_edge_reports_a_smaller_one() -> None:
    ledger = settled()
    first = request_share(ledger, "a", 1, 10.0, demand=500.0)
    request_share(ledger, "b", 1, 10.0, demand=500.0)
    half = request_share(ledger, "a", 2, 10.1, previous_grant=first, demand=500.0)
    assert half is not None and half.rate == pytest.approx(LIMIT.rate * LEASED_RATE / 2)
    before = request_share(ledger, "b", 2, 10.2, demand=500.0)
    assert before is not None and before.rate == 0.0
    request_share(ledger, "a", 3, 10.3, previous_grant=half, demand=500.0)
    after = request_share(ledger, "b", 3, 10.4, demand=500.0)
    assert after is not None and after.rate == pytest.approx(half.rate)


def test_the_share_of_an_edge_that_is_silent_is_free_after_a_lease() -> None:
    ledger = settled()
    request_share(ledger, "a", 1, 10.0, demand=500.0)
    early = request_share(ledger, "b", 1, 10.0 + LEASE, demand=500.0)
    late = request_share(ledger, "b", 2, 10.0 + LEASE * CLOCK_MARGIN + 0.01, demand=500.0)
    assert early is not None and early.rate == 0.0
    assert late is not None and late.rate == LIMIT.rate * LEASED_RATE


def test_a_repeated_request_gets_the_same_answer_and_an_earlier_one_none() -> None:
    ledger = settled()
    first = request_share(ledger, "a", 2, 10.0, demand=5.0, wanted=5.0)
    assert request_share(ledger, "a", 2, 10.1, demand=5.0, wanted=5.0) is first
    assert request_share(ledger, "a", 1, 10.2, demand=5.0, wanted=5.0) is None


def test_tokens_that_an_edge_returns_are_there_for_the_next_but_not_twice() -> None:
    ledger = settled()
    first = request_share(ledger, "a", 1, 10.0, demand=50.0, wanted=40.0)
    assert first is not None and first.tokens == 40.0
    request_share(ledger, "a", 2, 10.0, demand=0.0, returned=30.0)
    request_share(ledger, "a", 2, 10.0, demand=0.0, returned=30.0)
    request_share(ledger, "a", 3, 10.0, demand=0.0)
    second = request_share(ledger, "b", 1, 10.0, demand=50.0, wanted=100.0)
    assert second is not None and second.tokens == 30.0


def test_an_unsettled_home_lets_edges_keep_what_they_have_and_gives_nothing_more() -> None:
    ledger = ShareLedger(LEASE, 3.0, 0.0, limit=LIMIT)
    kept_share = ledger.grant("a", ShareRequest("t", 9, 50.0, 30.0, 10.0, 4.0, 2.0, 20.0), LIMIT, False, 1.0)
    new_share = ledger.grant("b", ShareRequest("t", 9, 50.0, wanted=20.0), LIMIT, False, 1.0)
    assert kept_share is not None and (kept_share.rate, kept_share.tokens) == (30.0, 3.0)
    assert new_share is not None and (new_share.rate, new_share.tokens) == (0.0, 0.0)


def test_a_former_share_counts_once_whichever_message_reports_it() -> None:
    ledger = ShareLedger(LEASE, 0.0, 0.0, limit=LIMIT)
    holding = ShareRequest("t", 4, 30.0, 30.0, 10.0, 4.0)
    ledger.adopt("a", holding, 0.0)
    assert ledger.others_in_use("", 0.0) == RateBurst(30.0, 10.0)
    ledger.grant("a", ShareRequest("t", 5, 30.0, 30.0, 10.0, 3.9), LIMIT, False, 0.1)
    ledger.adopt("a", holding, 0.2)
    assert ledger.others_in_use("", 0.2) == RateBurst(30.0, 10.0)


def test_a_lower_limit_shrinks_shares_as_they_are_asked_for() -> None:
    ledger = settled()
    first = request_share(ledger, "a", 1, 10.0, demand=500.0)
    lower = RateBurst(8.0, 4.0)
    assert first is not None
    request = ShareRequest("t", 2, 500.0, first.rate, first.burst, LEASE - 1)
    shrunk = ledger.grant("a", request, lower, True, 11.0)
    assert shrunk is not None and shrunk.rate == lower.rate * LEASED_RATE
