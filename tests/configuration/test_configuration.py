"""Tests of postpass.configuration.configuration."""

from __future__ import annotations

import json
from typing import Any, cast

from postpass.configuration.configuration import dump, members
from postpass.configuration.configuration_check import check
from tests.support.sample_configuration import small_configuration


def test_a_bad_manifest_is_refused_whole_with_paths() -> None:
    assert check(small_configuration()).is_ok()
    bad = cast(Any, json.loads(dump(small_configuration())))
    bad["classes"]["lot"]["borrows"] = ["view", "nope"]
    bad["classes"]["ask"]["share"] = 0.9
    bad["ways"] = {"view": "ask"}
    bad["evacuated"] = ["a", "b", "c", "d"]
    bad["pools"]["gpu"]["servers"]["w1"]["url"] = "http://worker:1"
    bad["classes"]["ask"]["place"] = "nowhere"
    bad["classes"]["lot"]["once"] = True
    seen = check(bad).unwrap_err()
    paths = [s.split(":")[0] for s in seen]
    assert paths == [
        "evacuated", "pools.gpu.servers.w1.url", "pools.gpu", "pools.app", "classes.ask.place",
        "classes.lot.borrows[0]", "classes.lot.borrows[1]", "classes.lot.once", "classes", "ways.view", "ways.view",
    ]  # fmt: skip


def test_a_class_that_could_never_run_is_refused() -> None:
    ring = cast(Any, json.loads(dump(small_configuration())))
    ring["classes"]["ask"] |= {"share": 0, "borrows": ["lot"]}
    ring["classes"]["lot"] |= {"share": 0, "lends": True}
    assert [f.split(":")[0] for f in check(ring).unwrap_err()] == ["classes.ask.share", "classes.lot.share"]
    ring["classes"]["ask"]["share"] = 0.5
    assert check(ring).is_ok()


def test_predicates_must_survive_the_tolerated_loss() -> None:
    weak = small_configuration() | {"predicate": "MAX($ALLWNODES)"}
    assert "does not survive the loss of the disk of" in check(weak).unwrap_err()[0]
    soft = cast(Any, json.loads(dump(small_configuration())))
    soft["classes"]["lot"]["predicate"] = "KTH_MAX(2, $ALLWNODES)"
    assert check(soft).unwrap_err() == [
        "classes.lot.predicate: weaker than the default predicate; a class may only ask for more"
    ]
    soft["classes"]["lot"]["predicate"] = "MIN($ALLWNODES)"
    assert check(soft).is_ok()
    lone = cast(Any, json.loads(dump(small_configuration())))
    lone["machines"]["s1"]["retire"] = True
    assert check(lone).unwrap_err() == ["copies: 4 copies can't be held by 3 stores that stay"]


def test_members_stand_in_distinct_areas_and_owners_spread() -> None:
    configuration = small_configuration()
    assert {members(configuration, p)[0] for p in range(4)} == {"s1", "s2", "s3", "s4"}
    configuration["machines"]["s5"] = {"area": "a", "peer": "127.1.0.9:1", "http": "127.1.0.9:2", "duties": ["store"]}
    for part in range(16):
        assert {configuration["machines"][n]["area"] for n in members(configuration, part)} == {"a", "b", "c", "d"}
