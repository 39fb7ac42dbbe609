"""Tests of postpass.control.partition_reports: when a silent store may be dropped."""

from __future__ import annotations

from typing import Any

import pytest
from result import Err, Ok

from postpass.control.partition_reports import OwnerReport, all_serve_without, newest_owner_reports
from postpass.rpc.codec import PeerResponse
from postpass.runtime.errors import Fault

MEMBERS = {"s1": "d1", "s2": "d2", "s3": "d3", "s4": "d4"}


def row(partition: int = 0, owner: str = "s1", epoch: int = 3, **changes: Any) -> dict[str, Any]:
    """A row of an owner's answer; by default all members answer it."""
    mirrors = {name: {"disk": disk, "silent": False} for name, disk in MEMBERS.items() if name != owner}
    return {
        "part": partition, "owner": owner, "epoch": epoch, "owning": True, "ready": True, "crew": MEMBERS,
        "complete": True, "mirrors": mirrors,
    } | changes  # fmt: skip


def report(silent: tuple[str, ...] = (), wiped: tuple[str, ...] = ()) -> OwnerReport:
    """The owner's report while some members are silent and others answer with another disk."""
    mirrors = {
        name: {"disk": "other" if name in wiped else MEMBERS[name], "silent": name in silent}
        for name in ("s2", "s3", "s4")
    }
    return OwnerReport.from_json(row(mirrors=mirrors), "d1")


@pytest.mark.parametrize(
    ("silent", "wiped", "store", "serves"),
    [
        (("s2",), (), "s2", True),
        (("s2", "s3"), (), "s2", False),
        (("s2",), ("s3",), "s2", False),
        ((), ("s3",), "s2", False),
        (("s2",), (), "s9", True),
        (("s2",), (), "s1", False),
    ],
)
def test_a_partition_serves_without_a_store_if_a_majority_answers(
    silent: tuple[str, ...], wiped: tuple[str, ...], store: str, serves: bool
) -> None:
    assert report(silent, wiped).serves_without(store) is serves


def test_of_several_stores_that_claim_a_partition_the_newest_epoch_counts() -> None:
    answers = [Ok({"disk": "d1", "parts": [row(epoch=3)]}), Ok({"disk": "d2", "parts": [row(owner="s2", epoch=5)]})]
    assert newest_owner_reports(answers)[0].epoch == 5


def test_stores_that_do_not_answer_or_are_not_ready_report_nothing() -> None:
    answers: list[PeerResponse] = [
        Err(Fault("parts", "s1", "no answer")),
        Ok({"disk": "d2", "parts": [row(0, ready=False), row(1, owning=False)]}),
    ]
    reports = newest_owner_reports(answers)
    assert reports == {}
    assert not all_serve_without("s1", reports, range(2))
