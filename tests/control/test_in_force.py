"""Which machines a new version of the configuration waits for, and which responses end the wait for one."""

from __future__ import annotations

import random

from result import Err

from postpass.configuration.configuration import Configuration
from postpass.configuration.settings import Bounds
from postpass.control.contact import last_majority
from postpass.control.in_force import ContactTimes, VersionWait, awaited_senders
from postpass.rpc.codec import PeerResponse
from postpass.rpc.peer_links import PeerLinks
from postpass.runtime.errors import Fault


def _contact_times(**other_machines: float) -> ContactTimes:
    machines = {"e1": 9.8, "e2": 5.0, "s1": 9.9}
    return ContactTimes(machines | other_machines, {"c2": 9.7, "c3": 9.6}, 0.0)


def _configuration() -> Configuration:
    machines = {n: {"area": "a", "peer": f"{n}:1", "http": "", "duties": duties} for n, duties in
                {"c1": ["control"], "c2": ["control"], "c3": ["control"], "e1": ["edge"], "e2": ["edge"], "s1": ["store", "sched"]}.items()}  # fmt: skip
    return {"machines": machines}  # type: ignore[typeddict-item]


def _awaited(contact_times: ContactTimes, patience: float = 8.0) -> set[str]:
    return set(awaited_senders(_configuration(), "c1", contact_times, 10.0, 1.5, patience))


def test_a_silent_sender_is_left_out_only_once_every_member_has_reported() -> None:
    assert _awaited(_contact_times()) == {"e1", "s1"}
    report_missing = ContactTimes(_contact_times().machines, {"c2": 9.7, "c3": 6.0}, 0.0)
    assert _awaited(report_missing) == {"e1", "e2", "s1"}
    assert _awaited(report_missing, 4.0) == {"e1", "s1"}
    # A primary that began to listen a moment ago leaves no sender out.
    assert _awaited(ContactTimes({}, {}, 9.0)) == {"e1", "e2", "s1"}


def test_a_relays_refusal_says_nothing_about_another_machine() -> None:
    wait = VersionWait(PeerLinks(), random.Random(1), Bounds(), 7, "", 0.0, {"e1": "e1:1", "e2": "e2:1"})
    refusal: PeerResponse = Err(Fault("connect", "e2:1", "refused", hint="refused"))
    assert wait._is_conclusive(refusal) and not wait._is_conclusive_relayed(refusal)


def test_the_last_contact_of_a_primary_is_its_last_contact_with_a_majority_of_voters() -> None:
    voters = {f"c{i}": f"d{i}" for i in range(1, 6)}
    answered = {"c1": 9.0, "c2": 8.0, "c3": 7.0, "c4": 1.0, "gone": 9.0}
    assert last_majority(voters, answered) == 7.0
    assert last_majority({n: d for n, d in voters.items() if n != "c5"}, answered) == 7.0
    assert last_majority(voters, {"c1": 9.0, "c2": 8.0}) == float("-inf") == last_majority({}, answered)
    assert last_majority({"c1": "d1"}, answered) == 9.0
