"""Tests of the list of accepted orders: which orders it recognises, which it drops, and how much space it takes."""

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


def order_of_version(version: int, text: str = "") -> ConfigurationOrder:
    return ConfigurationOrder.of({"version": version, "routes": [text]})


def accepted(*orders: ConfigurationOrder, limit: int = 100) -> list[str]:
    entries: list[str] = []
    for order in orders:
        entries = remember(entries, order, limit)
    return entries


def test_every_accepted_order_is_recognised() -> None:
    versions = sorted(random.Random(1).sample(range(1, 10_000), 2_000))
    entries = accepted(*map(order_of_version, versions), limit=2_000)
    assert all(recall(entries, order_of_version(v), versions[-1]) is ACCEPTED for v in versions)
    assert recall(entries, order_of_version(versions[5], "other"), versions[-1]) is NOT_ACCEPTED
    assert recall(entries, order_of_version(versions[-1] + 1), versions[-1]) is NOT_ACCEPTED


def test_the_order_of_keys_does_not_matter_and_the_base_version_only_for_changes() -> None:
    complete = ConfigurationOrder.of({"version": 3, "a": 1})
    assert complete == ConfigurationOrder.of({"a": 1, "version": 3})
    change = ConfigurationOrder.of({"version": 3, "a": 1}, 2)
    assert change != complete and change != ConfigurationOrder.of({"version": 3, "a": 1}, 1)


@pytest.mark.parametrize("body", [None, [], "text", {}, {"version": "7"}, {"version": True}, {"version": None}])
def test_an_order_without_a_version_counts_as_not_accepted(body: object) -> None:
    entries = accepted(*map(order_of_version, range(1, 20)), limit=5)
    assert recall(entries, ConfigurationOrder.of(body), 19) is NOT_ACCEPTED


def test_an_order_older_than_the_list_is_forgotten_rather_than_refused() -> None:
    entries = accepted(*(order_of_version(v) for v in range(10, 200, 10)), limit=5)
    assert entries[0] == "149." and len(entries) == 6
    assert [recall(entries, order_of_version(v), 190) for v in (190, 150)] == [ACCEPTED, ACCEPTED]
    assert recall(entries, order_of_version(140), 190) is FORGOTTEN
    assert recall(entries, order_of_version(150, "other"), 190) is NOT_ACCEPTED


def test_the_list_never_has_fewer_entries_than_its_limit_and_mostly_grows_at_its_end() -> None:
    entries: list[str] = []
    shortened = 0
    for version in range(1, 1_001):
        previous, entries = entries, remember(entries, order_of_version(version), 100)
        shortened += entries[: len(previous)] != previous
        listed = len(entries) - entries[0].endswith(".")
        assert min(version, 100) <= listed <= 125
    assert shortened == 900 // 26


def test_a_larger_limit_does_not_bring_back_what_was_forgotten() -> None:
    entries = accepted(*map(order_of_version, range(1, 20)), limit=5)
    entries = remember(entries, order_of_version(20), 100)
    assert (
        recall(entries, order_of_version(3), 20) is FORGOTTEN and recall(entries, order_of_version(16), 20) is ACCEPTED
    )


@pytest.mark.parametrize("count", [UNVERSIONED_LIMIT - 1, UNVERSIONED_LIMIT])
def test_digests_of_the_last_release_are_still_read(count: int) -> None:
    """Release 0.2.0 kept the last 16 orders, so a list of that length may have lost older ones."""
    entries = [order_of_version(v).digest for v in range(5, 5 + count)]
    current = 4 + count
    older = FORGOTTEN if count == UNVERSIONED_LIMIT else NOT_ACCEPTED
    assert (
        recall(entries, order_of_version(5), current) is ACCEPTED
        and recall(entries, order_of_version(current), current) is ACCEPTED
    )
    assert recall(entries, order_of_version(2), current) is older
    entries = remember(entries, order_of_version(current + 3), 100)
    assert (
        recall(entries, order_of_version(5), current + 3) is ACCEPTED
        and recall(entries, order_of_version(current + 3), current + 3) is ACCEPTED
    )
    assert recall(entries, order_of_version(2), current + 3) is older
    assert recall(entries, order_of_version(current + 3, "other"), current + 3) is NOT_ACCEPTED
    for version in range(current + 4, current + 200):
        entries = remember(entries, order_of_version(version), 100)
    assert recall(entries, order_of_version(5), current + 199) is FORGOTTEN


def test_after_a_loss_older_orders_count_as_forgotten() -> None:
    entries = forgotten_up_to(7)
    assert (
        recall(entries, order_of_version(7), 7) is FORGOTTEN and recall(entries, order_of_version(8), 7) is NOT_ACCEPTED
    )
    entries = remember(entries, order_of_version(8), 100)
    assert recall(entries, order_of_version(7), 8) is FORGOTTEN and recall(entries, order_of_version(8), 8) is ACCEPTED


def test_the_limit_follows_the_settings() -> None:
    assert limit_of(Bounds()) == 2_400
    assert limit_of(Bounds(acknowledge=10.0)) == 6_000
    assert limit_of(Bounds(acknowledge=0.1)) == MINIMUM
    assert limit_of(Bounds(acknowledge=60.0)) == MAXIMUM


def test_a_thousand_orders_take_a_few_bytes_each() -> None:
    entries = accepted(*map(order_of_version, range(1_000, 2_000)), limit=1_000)
    assert len(json.dumps(entries, separators=(",", ":"))) == 1_000 * 20 + 1
