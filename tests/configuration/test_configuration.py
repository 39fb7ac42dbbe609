"""Tests of postpass.configuration.configuration."""

from __future__ import annotations

import json
from typing import Any, cast

from postpass.configuration.configuration import dump, members
from postpass.configuration.configuration_check import check
from tests.support.sample_configuration import small_configuration


def test_an_invalid_configuration_is_rejected_with_the_path_of_each_error() -> None:
    assert check(small_configuration()).is_ok()
    invalid = cast(Any, json.loads(dump(small_configuration())))
    invalid["classes"]["lot"]["borrows"] = ["view", "nope"]
    invalid["classes"]["ask"]["share"] = 0.9
    invalid["ways"] = {"view": "ask"}
    invalid["evacuated"] = ["a", "b", "c", "d"]
    invalid["pools"]["gpu"]["servers"]["w1"]["url"] = "http://worker:1"
    invalid["classes"]["ask"]["place"] = "nowhere"
    invalid["classes"]["lot"]["once"] = True
    errors = check(invalid).unwrap_err()
    paths = [s.split(":")[0] for s in errors]
    assert paths == [
        "evacuated", "pools.gpu.servers.w1.url", "pools.gpu", "pools.app", "classes.ask.place",
        "classes.lot.borrows[0]", "classes.lot.borrows[1]", "classes.lot.once", "classes", "ways.view", "ways.view",
    ]  # fmt: skip


def test_a_class_that_could_never_run_is_refused() -> None:
    borrower = cast(Any, json.loads(dump(small_configuration())))
    borrower["classes"]["ask"] |= {"share": 0, "borrows": ["lot"]}
    borrower["classes"]["lot"] |= {"share": 0, "lends": True}
    assert [f.split(":")[0] for f in check(borrower).unwrap_err()] == ["classes.ask.share", "classes.lot.share"]
    borrower["classes"]["ask"]["share"] = 0.5
    assert check(borrower).is_ok()


def test_predicates_must_survive_the_tolerated_loss() -> None:
    insufficient = small_configuration() | {"predicate": "MAX($ALLWNODES)"}
    assert "does not survive the loss of the disk of" in check(insufficient).unwrap_err()[0]
    with_class_predicate = cast(Any, json.loads(dump(small_configuration())))
    with_class_predicate["classes"]["lot"]["predicate"] = "KTH_MAX(2, $ALLWNODES)"
    assert check(with_class_predicate).unwrap_err() == [
        "classes.lot.predicate: weaker than the default predicate; a class may only ask for more"
    ]
    with_class_predicate["classes"]["lot"]["predicate"] = "MIN($ALLWNODES)"
    assert check(with_class_predicate).is_ok()
    with_retiring_store = cast(Any, json.loads(dump(small_configuration())))
    with_retiring_store["machines"]["s1"]["retire"] = True
    assert check(with_retiring_store).unwrap_err() == ["copies: 4 copies can't be held by 3 stores that stay"]


def test_members_are_in_distinct_zones_and_owners_are_spread() -> None:
    configuration = small_configuration()
    assert {members(configuration, p)[0] for p in range(4)} == {"s1", "s2", "s3", "s4"}
    configuration["machines"]["s5"] = {"area": "a", "peer": "127.1.0.9:1", "http": "127.1.0.9:2", "duties": ["store"]}
    for part in range(16):
        assert {configuration["machines"][n]["area"] for n in members(configuration, part)} == {"a", "b", "c", "d"}
