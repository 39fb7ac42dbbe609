"""The memory of accepted configuration orders: what it knows again, what it forgets, and what it costs."""

from __future__ import annotations

import json
import random

import pytest

from postpass.configuration.accepted_orders import (
    MAXIMUM,
    MINIMUM,
    UNVERSIONED_LIMIT,
    ConfigurationOrder,
    Recollection,
    forgotten_up_to,
    limit_of,
    recall,
    remember,
)
from postpass.configuration.settings import Bounds

ACCEPTED, NOT_ACCEPTED, FORGOTTEN = Recollection.ACCEPTED, Recollection.NOT_ACCEPTED, Recollection.FORGOTTEN


def put(version: int, text: str = "") -> ConfigurationOrder:
    return ConfigurationOrder.of({"version": version, "routes": [text]})


def accepted(*orders: ConfigurationOrder, limit: int = 100) -> list[str]:
    entries: list[str] = []
    for order in orders:
        entries = remember(entries, order, limit)
    return entries


def test_every_accepted_order_is_known_again() -> None:
    versions = sorted(random.Random(1).sample(range(1, 10_000), 2_000))
    entries = accepted(*map(put, versions), limit=2_000)
    assert all(recall(entries, put(v), versions[-1]) is ACCEPTED for v in versions)
    assert recall(entries, put(versions[5], "other"), versions[-1]) is NOT_ACCEPTED
    assert recall(entries, put(versions[-1] + 1), versions[-1]) is NOT_ACCEPTED


def test_the_order_of_keys_says_nothing_and_the_base_only_for_changes() -> None:
    whole = ConfigurationOrder.of({"version": 3, "a": 1})
    assert whole == ConfigurationOrder.of({"a": 1, "version": 3})
    change = ConfigurationOrder.of({"version": 3, "a": 1}, 2)
    assert change != whole and change != ConfigurationOrder.of({"version": 3, "a": 1}, 1)


@pytest.mark.parametrize("body", [None, [], "text", {}, {"version": "7"}, {"version": True}, {"version": None}])
def test_what_names_no_version_was_never_taken(body: object) -> None:
    entries = accepted(*map(put, range(1, 20)), limit=5)
    assert recall(entries, ConfigurationOrder.of(body), 19) is NOT_ACCEPTED


def test_an_order_older_than_the_memory_is_forgotten_not_refused() -> None:
    entries = accepted(*(put(v) for v in range(10, 200, 10)), limit=5)
    assert entries[0] == "149." and len(entries) == 6
    assert [recall(entries, put(v), 190) for v in (190, 150)] == [ACCEPTED, ACCEPTED]
    assert recall(entries, put(140), 190) is FORGOTTEN
    assert recall(entries, put(150, "other"), 190) is NOT_ACCEPTED


def test_the_memory_never_holds_fewer_than_its_limit_and_mostly_grows_at_its_end() -> None:
    entries: list[str] = []
    shortened = 0
    for version in range(1, 1_001):
        before, entries = entries, remember(entries, put(version), 100)
        shortened += entries[: len(before)] != before
        known = len(entries) - entries[0].endswith(".")
        assert min(version, 100) <= known <= 125
    assert shortened == 900 // 26


def test_a_larger_limit_does_not_bring_back_what_was_forgotten() -> None:
    entries = accepted(*map(put, range(1, 20)), limit=5)
    entries = remember(entries, put(20), 100)
    assert recall(entries, put(3), 20) is FORGOTTEN and recall(entries, put(16), 20) is ACCEPTED


@pytest.mark.parametrize("count", [UNVERSIONED_LIMIT - 1, UNVERSIONED_LIMIT])
def test_digests_of_the_last_release_are_still_read(count: int) -> None:
    """It kept the last 16 orders: where there are as many, older ones may have been forgotten."""
    entries = [put(v).digest for v in range(5, 5 + count)]
    current = 4 + count
    older = FORGOTTEN if count == UNVERSIONED_LIMIT else NOT_ACCEPTED
    assert recall(entries, put(5), current) is ACCEPTED and recall(entries, put(current), current) is ACCEPTED
    assert recall(entries, put(2), current) is older
    entries = remember(entries, put(current + 3), 100)
    assert (
        recall(entries, put(5), current + 3) is ACCEPTED and recall(entries, put(current + 3), current + 3) is ACCEPTED
    )
    assert recall(entries, put(2), current + 3) is older
    assert recall(entries, put(current + 3, "other"), current + 3) is NOT_ACCEPTED
    for version in range(current + 4, current + 200):
        entries = remember(entries, put(version), 100)
    assert recall(entries, put(5), current + 199) is FORGOTTEN


def test_after_a_loss_nothing_is_known_of_older_orders() -> None:
    entries = forgotten_up_to(7)
    assert recall(entries, put(7), 7) is FORGOTTEN and recall(entries, put(8), 7) is NOT_ACCEPTED
    entries = remember(entries, put(8), 100)
    assert recall(entries, put(7), 8) is FORGOTTEN and recall(entries, put(8), 8) is ACCEPTED


def test_the_bound_follows_the_settings() -> None:
    assert limit_of(Bounds()) == 2_400
    assert limit_of(Bounds(acknowledge=10.0)) == 6_000
    assert limit_of(Bounds(acknowledge=0.1)) == MINIMUM
    assert limit_of(Bounds(acknowledge=60.0)) == MAXIMUM


def test_a_thousand_orders_take_a_few_bytes_each() -> None:
    entries = accepted(*map(put, range(1_000, 2_000)), limit=1_000)
    assert len(json.dumps(entries, separators=(",", ":"))) == 1_000 * 20 + 1
