"""The voters of an epoch that was proposed but never granted. Such a proposal arises when a promise is delivered so
late that a voter was wiped and restarted meanwhile."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from postpass.configuration.configuration import Configuration
from postpass.control.daemon import ControlPlane
from postpass.control.election_rules import Cause, ElectionReason
from postpass.control.epochs import ReplicaSet
from postpass.rpc.codec import Body
from tests.control.test_leadership import (
    DETECTION_TIME,
    RECOVERY_TIME,
    current_disks,
    isolate,
    leader,
    play,
    readable,
    settle,
    wipe,
)
from tests.support.announced import Fleet


def replica_set_on_disk(fleet: Fleet, name: str) -> ReplicaSet:
    """The replica set of the state that a member synced last."""
    member = fleet.nodes[name].daemon
    assert isinstance(member, ControlPlane)
    return member.last_synced_state().replica_set


def promise_request_of(candidate: str, epoch: int) -> Body:
    """A candidate's request for a promise, with the mark of a handover, so that it is answered without a pre-vote."""
    return {"epoch": epoch, "who": candidate, "handover": 1}


async def campaign(candidate: ControlPlane, late_answers: dict[str, Body]) -> None:
    """Runs an election in which promises arrive that members gave before the candidate was cut off from them."""
    ask_all, configuration = candidate.ask_all, candidate.known_configuration()
    assert configuration is not None

    async def ask_with_late_answers(
        verb: str, body: Body, names: list[str], configuration: Configuration, quick: bool = False
    ) -> dict[str, Body]:
        answers = await ask_all(verb, body, names, configuration, quick)
        return answers | {n: a for n, a in late_answers.items() if verb == "look" and n in names}

    candidate.ask_all = ask_with_late_answers  # type: ignore[method-assign]
    prevotes = await candidate.collect_prevotes(configuration, True)
    highest_promise = candidate.vote_record.promised
    answers = {n: replace(a, promised=min(a.promised, highest_promise)) for n, a in prevotes.answers.items()}
    prevotes = replace(prevotes, answers=answers)
    async with candidate.lock:
        result = await candidate.run_election(
            configuration, ElectionReason(Cause.PRIMARY_LOST), prevotes=prevotes, change_voters=True
        )
        assert result.is_err(), "it needs a majority of the previous voters"
    candidate.ask_all = ask_all  # type: ignore[method-assign]


async def propose_to_the_wiped_member(fleet: Fleet) -> ReplicaSet:
    """Makes a former backup propose an epoch that nobody grants; returns the replica set of the present primary.

    The primary leads on under a new epoch two numbers higher, granted by itself and by a third member, whose disk is
    then wiped. The former backup has the primary's promise for the epoch in between, and proposes that epoch with the
    third member's new disk as a voter and backup.
    """
    primary = await settle(fleet)
    first, second = primary.settings.name, primary.replicated_state.replica_set.backup
    third = next(n for n in ("c1", "c2", "c3") if n not in (first, second))
    epoch = primary.epoch
    isolate(fleet, [second])
    late_answer = await fleet.ask(first, lambda c: c.on_look(promise_request_of(second, epoch + 1)))
    assert late_answer.unwrap()["ok"]

    def leads_later_epoch() -> bool:
        now_leading = fleet.primary()
        return (
            now_leading is not None
            and now_leading.epoch > epoch + 1
            and now_leading.replicated_state.replica_set.backups == (third,)
        )

    assert await fleet.until(leads_later_epoch, RECOVERY_TIME) >= 0
    current = leader(fleet).replicated_state.replica_set
    assert current.primary == first
    wipe(fleet, third)
    isolate(fleet, [first])
    fleet.loop.net.cuts -= {(second, third), (third, second)}
    fleet.boot(third)
    await fleet.until(
        lambda: fleet.nodes[third].daemon is not None and fleet.nodes[third].daemon.known_configuration() is not None,  # type: ignore[union-attr]
        5,
    )
    await fleet.ask(second, lambda c: campaign(c, {first: late_answer.unwrap()}))
    return current


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_new_voters_of_an_epoch_that_nobody_granted_elect_nobody(seed: int) -> None:
    async def scene(fleet: Fleet) -> Any:
        current = await propose_to_the_wiped_member(fleet)
        third = current.backup
        proposed = fleet.nodes[third].daemon.replicated_state  # type: ignore[union-attr]
        assert (
            proposed.replica_set.epoch == current.epoch - 1
            and proposed.replica_set.voters[third] != current.voters[third]
        ), proposed
        epochs = {current.primary: current.epoch}
        for _ in range(int(3 * RECOVERY_TIME)):
            await asyncio.sleep(1)
            epochs |= {
                c.settings.name: c.epoch for c in fleet.controls() if c.epoch and c.settings.name != current.primary
            }
        assert set(epochs) == {current.primary}, epochs
        # The members that were cut off are reconnected, and the fleet continues from what was acknowledged.
        fleet.loop.net.cuts.clear()
        assert await readable(fleet, 3) >= 0
        await asyncio.sleep(2 * DETECTION_TIME)
        disks = {c.settings.name: c.disk_id for c in fleet.controls()}
        assert leader(fleet).replicated_state.replica_set.voters == disks
        assert (await fleet.ask(leader(fleet).settings.name, lambda c: c.read_document())).unwrap()["version"] == 3

    play(scene, seed)


@pytest.mark.parametrize("control", [3, 4, 5])
def test_a_wiped_voter_is_back_only_once_no_election_needs_the_voters_before(control: int) -> None:
    """Otherwise the next loss, right after the repair, could leave too few of the previous voters."""

    async def scene(fleet: Fleet) -> None:
        primary = (await settle(fleet)).settings.name
        wiped = leader(fleet).replicated_state.replica_set.backup
        wipe(fleet, wiped)
        await asyncio.sleep(1)
        fleet.boot(wiped)

        def repaired() -> bool:
            lead = fleet.primary()
            return lead is not None and lead.replicated_state.replica_set.voters == current_disks(fleet)

        assert await fleet.until(repaired, RECOVERY_TIME) >= 0
        replica_set = leader(fleet).replicated_state.replica_set
        assert replica_set.primary == primary and replica_set.backups
        assert [name for name in replica_set.holders if replica_set_on_disk(fleet, name).previous_voters] == []

    play(scene, control=control)


def test_a_takeover_changes_no_voters_and_the_new_primary_does() -> None:
    """So a takeover has no previous voters to settle, and takes no longer than one without lost disks."""

    async def scene(fleet: Fleet) -> None:
        primary = await settle(fleet)
        before = primary.replicated_state.replica_set
        wiped = next(n for n in before.voters if n not in before)
        fleet.kill(before.primary, silent=True)
        await asyncio.sleep(0.2)
        wipe(fleet, wiped)
        fleet.boot(wiped)
        assert await fleet.until(fleet.primary, RECOVERY_TIME) >= 0
        taken_over = leader(fleet).replicated_state.replica_set
        assert taken_over.primary == before.backup and taken_over.voters == before.voters

        def repaired() -> bool:
            lead = fleet.primary()
            return lead is not None and lead.replicated_state.replica_set.voters == before.voters | current_disks(fleet)

        assert await fleet.until(repaired, RECOVERY_TIME) >= 0

    play(scene, control=5)
