"""Tests of postpass.configuration.settings."""

from __future__ import annotations

from typing import Any

from postpass.configuration.settings import Bounds, load, parse

GOOD: dict[str, Any] = {
    "name": "s1", "area": "a", "peer": "127.1.0.1:7000", "http": "127.1.0.1:8000",
    "seeds": ["127.1.0.1:7000", "127.1.0.2:7000", "127.1.0.3:7000"],
}  # fmt: skip


def test_bounds_keep_their_invariants() -> None:
    b = Bounds()
    assert b.beat * 3 <= b.detect
    assert b.beat * 5 / 2 + b.promise / 2 <= b.contact < b.detect * 9 / 10
    assert b.detect + b.stagger * 5 + b.promise + b.refill <= b.recover
    assert b.lease + b.poll <= b.end
    assert b.follow * 2 <= b.manifest
    assert b.probe * 3 <= b.leave
    assert b.acknowledge * 10 <= b.resend
    assert b.follow * 2 < b.deaf < b.leave


def test_config_is_refused_whole_with_key_and_want() -> None:
    assert parse(GOOD).unwrap().bounds.end == 3.0
    bad = GOOD | {"peer": "localhost:1", "seeds": [], "duties": ["store"], "bounds": {"end": 0}}
    seen = parse(bad).unwrap_err()
    assert [s.split(":")[0] for s in seen] == ["peer", "seeds", "data", "bounds.end"]
    assert parse(GOOD | {"odd": 1}).unwrap_err()[0].startswith("odd: unknown key")
    assert load("/no/such", {}).unwrap_err() == ["/no/such: cannot be read: No such file or directory"]


def test_the_figures_of_the_rate_limit_have_defaults_and_may_be_zero_but_for_the_window() -> None:
    bounds = Bounds()
    assert (bounds.quota_window, bounds.quota_excess, bounds.quota_extra) == (5.0, 0.1, 20.0)
    given = parse(GOOD | {"bounds": {"quota_window": 2.5, "quota_excess": 0, "quota_extra": 0}}).unwrap().bounds
    assert (given.quota_window, given.quota_excess, given.quota_extra) == (2.5, 0, 0)
    bad = parse(GOOD | {"bounds": {"quota_window": 0, "quota_excess": -0.1, "quota_extra": -1}}).unwrap_err()
    assert bad == [
        "bounds.quota_window: want a number above 0, got 0",
        "bounds.quota_excess: want 0 or more, got -0.1",
        "bounds.quota_extra: want 0 or more, got -1",
    ]
