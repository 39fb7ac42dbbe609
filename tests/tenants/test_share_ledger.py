"""A home's ledger of one tenant: what may be in use adds up to no more than the limit."""

from __future__ import annotations

import pytest

from postpass.tenants.limits import CLOCK_MARGIN, RateBurst
from postpass.tenants.messages import ShareGrant, ShareRequest
from postpass.tenants.share_ledger import LEASED_RATE, ShareLedger

LEASE = 5.0
LIMIT = RateBurst(80.0, 40.0)


def settled(at: float = 0.0) -> ShareLedger:
    return ShareLedger(LEASE, 0.0, at, limit=LIMIT, settled=True)


def ask(
    ledger: ShareLedger, holder: str, number: int, now: float, held: ShareGrant | None = None, **figures: float
) -> ShareGrant | None:
    told = {"rate": held.rate, "burst": held.burst, "remaining": LEASE} if held is not None else {}
    return ledger.grant(holder, ShareRequest("t", number, **(told | figures)), LIMIT, True, now)


def test_a_ledger_without_shares_gives_the_tokens_that_have_come() -> None:
    grant = ask(settled(), "a", 1, 0.25, demand=10.0, wanted=30.0)
    assert grant is not None and grant.tokens == 20.0
    assert grant.burst >= 20.0


def test_no_two_shares_add_up_to_more_than_the_limit() -> None:
    ledger = settled()
    first = ask(ledger, "a", 1, 10.0, demand=500.0)
    second = ask(ledger, "b", 1, 10.0, demand=500.0)
    assert first is not None and second is not None
    assert first.rate == LIMIT.rate * LEASED_RATE
    assert second.rate == 0.0


def test_what_an_edge_had_counts_until_it_tells_that_it_has_less() -> None:
    ledger = settled()
    first = ask(ledger, "a", 1, 10.0, demand=500.0)
    ask(ledger, "b", 1, 10.0, demand=500.0)
    half = ask(ledger, "a", 2, 10.1, held=first, demand=500.0)
    assert half is not None and half.rate == pytest.approx(LIMIT.rate * LEASED_RATE / 2)
    before = ask(ledger, "b", 2, 10.2, demand=500.0)
    assert before is not None and before.rate == 0.0
    ask(ledger, "a", 3, 10.3, held=half, demand=500.0)
    after = ask(ledger, "b", 3, 10.4, demand=500.0)
    assert after is not None and after.rate == pytest.approx(half.rate)


def test_the_share_of_an_edge_that_is_silent_is_free_after_a_lease() -> None:
    ledger = settled()
    ask(ledger, "a", 1, 10.0, demand=500.0)
    early = ask(ledger, "b", 1, 10.0 + LEASE, demand=500.0)
    late = ask(ledger, "b", 2, 10.0 + LEASE * CLOCK_MARGIN + 0.01, demand=500.0)
    assert early is not None and early.rate == 0.0
    assert late is not None and late.rate == LIMIT.rate * LEASED_RATE


def test_a_repeated_question_gets_the_same_answer_and_an_earlier_one_none() -> None:
    ledger = settled()
    first = ask(ledger, "a", 2, 10.0, demand=5.0, wanted=5.0)
    assert ask(ledger, "a", 2, 10.1, demand=5.0, wanted=5.0) is first
    assert ask(ledger, "a", 1, 10.2, demand=5.0, wanted=5.0) is None


def test_tokens_that_an_edge_returns_are_there_for_the_next_but_not_twice() -> None:
    ledger = settled()
    first = ask(ledger, "a", 1, 10.0, demand=50.0, wanted=40.0)
    assert first is not None and first.tokens == 40.0
    ask(ledger, "a", 2, 10.0, demand=0.0, returned=30.0)
    ask(ledger, "a", 2, 10.0, demand=0.0, returned=30.0)
    ask(ledger, "a", 3, 10.0, demand=0.0)
    second = ask(ledger, "b", 1, 10.0, demand=50.0, wanted=100.0)
    assert second is not None and second.tokens == 30.0


def test_an_unsettled_home_lets_edges_keep_what_they_have_and_gives_nothing_more() -> None:
    ledger = ShareLedger(LEASE, 3.0, 0.0, limit=LIMIT)
    kept = ledger.grant("a", ShareRequest("t", 9, 50.0, 30.0, 10.0, 4.0, 2.0, 20.0), LIMIT, False, 1.0)
    new = ledger.grant("b", ShareRequest("t", 9, 50.0, wanted=20.0), LIMIT, False, 1.0)
    assert kept is not None and (kept.rate, kept.tokens) == (30.0, 3.0)
    assert new is not None and (new.rate, new.tokens) == (0.0, 0.0)


def test_what_edges_held_before_counts_once_whichever_way_the_home_hears_of_it() -> None:
    ledger = ShareLedger(LEASE, 0.0, 0.0, limit=LIMIT)
    held = ShareRequest("t", 4, 30.0, 30.0, 10.0, 4.0)
    ledger.adopt("a", held, 0.0)
    assert ledger.others_in_use("", 0.0) == RateBurst(30.0, 10.0)
    ledger.grant("a", ShareRequest("t", 5, 30.0, 30.0, 10.0, 3.9), LIMIT, False, 0.1)
    ledger.adopt("a", held, 0.2)
    assert ledger.others_in_use("", 0.2) == RateBurst(30.0, 10.0)


def test_a_lower_limit_shrinks_shares_as_they_are_asked_for() -> None:
    ledger = settled()
    first = ask(ledger, "a", 1, 10.0, demand=500.0)
    lower = RateBurst(8.0, 4.0)
    assert first is not None
    told = ShareRequest("t", 2, 500.0, first.rate, first.burst, LEASE - 1)
    shrunk = ledger.grant("a", told, lower, True, 11.0)
    assert shrunk is not None and shrunk.rate == lower.rate * LEASED_RATE
