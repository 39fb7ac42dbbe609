"""Who is waited for until a version is in force."""

from __future__ import annotations

import random

from result import Err

from postpass.configuration.configuration import Configuration
from postpass.configuration.settings import Bounds
from postpass.control.contact import last_majority
from postpass.control.in_force import Hearing, VersionWait, awaited_senders
from postpass.rpc.codec import PeerResponse
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime.errors import Fault


def _hearing(**more: float) -> Hearing:
    machines = {"e1": 9.8, "e2": 5.0, "s1": 9.9}
    return Hearing(machines | more, {"c2": 9.7, "c3": 9.6}, 0.0)


def _manifest() -> Configuration:
    machines = {n: {"area": "a", "peer": f"{n}:1", "http": "", "duties": d} for n, d in
                {"c1": ["control"], "c2": ["control"], "c3": ["control"], "e1": ["edge"], "e2": ["edge"], "s1": ["store", "sched"]}.items()}  # fmt: skip
    return {"machines": machines}  # type: ignore[typeddict-item]


def _awaited(hearing: Hearing, patience: float = 8.0) -> set[str]:
    return set(awaited_senders(_manifest(), "c1", hearing, 10.0, 1.5, patience))


def test_a_silent_sender_is_left_out_only_where_every_report_is_there() -> None:
    assert _awaited(_hearing()) == {"e1", "s1"}
    silent = Hearing(_hearing().machines, {"c2": 9.7, "c3": 6.0}, 0.0)
    assert _awaited(silent) == {"e1", "e2", "s1"}
    assert _awaited(silent, 4.0) == {"e1", "s1"}
    # A primary that has just begun to listen leaves nobody out.
    assert _awaited(Hearing({}, {}, 9.0)) == {"e1", "e2", "s1"}


def test_a_relays_refusal_tells_nothing_of_another_machine() -> None:
    wait = VersionWait(PeerLinks(), random.Random(1), Bounds(), 7, "", 0.0, {"e1": "e1:1", "e2": "e2:1"})
    refused: PeerResponse = Err(Fault("connect", "e2:1", "refused", hint="refused"))
    assert wait._settles(refused) and not wait._settles_relayed(refused)


def test_the_last_contact_of_a_primary_is_that_with_most_voters() -> None:
    voters = {f"c{i}": f"d{i}" for i in range(1, 6)}
    answered = {"c1": 9.0, "c2": 8.0, "c3": 7.0, "c4": 1.0, "gone": 9.0}
    assert last_majority(voters, answered) == 7.0
    assert last_majority({n: d for n, d in voters.items() if n != "c5"}, answered) == 7.0
    assert last_majority(voters, {"c1": 9.0, "c2": 8.0}) == float("-inf") == last_majority({}, answered)
    assert last_majority({"c1": "d1"}, answered) == 9.0
