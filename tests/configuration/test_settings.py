"""Tests of postpass.configuration.settings."""

from __future__ import annotations

from typing import Any

from postpass.configuration.settings import Bounds, load, parse

VALID: dict[str, Any] = {
    "name": "s1", "area": "a", "peer": "127.1.0.1:7000", "http": "127.1.0.1:8000",
    "seeds": ["127.1.0.1:7000", "127.1.0.2:7000", "127.1.0.3:7000"],
}  # fmt: skip


def test_bounds_keep_their_invariants() -> None:
    bounds = Bounds()
    assert bounds.heartbeat_interval * 3 <= bounds.detection_time
    assert (
        bounds.heartbeat_interval * 5 / 2 + bounds.sync_request_limit / 2
        <= bounds.contact_lease
        < bounds.detection_time * 9 / 10
    )
    assert (
        bounds.detection_time + bounds.candidate_delay * 5 + bounds.sync_request_limit + bounds.refill_time
        <= bounds.recover
    )
    assert bounds.item_lease + bounds.scheduling_pause <= bounds.end
    assert bounds.feed_interval * 2 <= bounds.manifest
    assert bounds.overtaken_silence_limit < bounds.silence_limit < bounds.longest_silence_limit < bounds.recover
    assert bounds.longest_silence_limit + bounds.silence_check_interval + bounds.scheduling_pause <= bounds.recover
    assert bounds.probe_interval * 3 <= bounds.leave
    assert bounds.acknowledge * 10 <= bounds.resend_period
    assert bounds.feed_interval * 2 < bounds.isolation_time < bounds.leave


def test_invalid_settings_are_rejected_with_the_key_and_what_is_expected() -> None:
    assert parse(VALID).unwrap().bounds.end == 3.0
    invalid = VALID | {"peer": "localhost:1", "seeds": [], "duties": ["store"], "bounds": {"end": 0}}
    errors = parse(invalid).unwrap_err()
    assert [s.split(":")[0] for s in errors] == ["peer", "seeds", "data", "bounds.end"]
    assert parse(VALID | {"odd": 1}).unwrap_err()[0].startswith("odd: unknown key")
    assert load("/no/such", {}).unwrap_err() == ["/no/such: cannot be read: No such file or directory"]


def test_the_bounds_of_the_rate_limit_have_defaults_and_may_be_zero_except_the_window() -> None:
    bounds = Bounds()
    assert (bounds.quota_window, bounds.quota_excess, bounds.quota_extra) == (5.0, 0.1, 20.0)
    parsed = parse(VALID | {"bounds": {"quota_window": 2.5, "quota_excess": 0, "quota_extra": 0}}).unwrap().bounds
    assert (parsed.quota_window, parsed.quota_excess, parsed.quota_extra) == (2.5, 0, 0)
    errors = parse(VALID | {"bounds": {"quota_window": 0, "quota_excess": -0.1, "quota_extra": -1}}).unwrap_err()
    assert errors == [
        "bounds.quota_window: want a number above 0, got 0",
        "bounds.quota_excess: want 0 or more, got -0.1",
        "bounds.quota_extra: want 0 or more, got -1",
    ]
