"""Voters of an epoch that nobody granted, brought about by an answer that is slower than a restart."""

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


def pair_on_disk(f: Fleet, name: str) -> ReplicaSet:
    """The replica set whose state a member has synced."""
    member = f.nodes[name].daemon
    assert isinstance(member, ControlPlane)
    return member.stored().replica_set


def promise_of(candidate: str, epoch: int) -> Body:
    """A request for a promise, as a candidate sends it; the pre-vote is past."""
    return {"epoch": epoch, "who": candidate, "handover": 1}


async def campaign(candidate: ControlPlane, late: dict[str, Body]) -> None:
    """An election with promises of others that were under way since before the candidate was cut off."""
    ask_all, configuration = candidate.ask_all, candidate.known()
    assert configuration is not None

    async def ask_with_late_answers(
        verb: str, body: Body, names: list[str], configuration: Configuration, quick: bool = False
    ) -> dict[str, Body]:
        answers = await ask_all(verb, body, names, configuration, quick)
        return answers | {n: a for n, a in late.items() if verb == "look" and n in names}

    candidate.ask_all = ask_with_late_answers  # type: ignore[method-assign]
    prevotes = await candidate.collect_prevotes(configuration, True)
    known = candidate.vote_record.promised
    answers = {n: replace(a, promised=min(a.promised, known)) for n, a in prevotes.answers.items()}
    prevotes = replace(prevotes, answers=answers)
    async with candidate.lock:
        got = await candidate.run_election(
            configuration, ElectionReason(Cause.PRIMARY_LOST), prevotes=prevotes, change_voters=True
        )
        assert got.is_err(), "it needs a majority of the voters before"
    candidate.ask_all = ask_all  # type: ignore[method-assign]


async def propose_to_the_wiped_member(f: Fleet) -> ReplicaSet:
    """The replica set that leads: the primary leads two epochs on, granted by itself and a voter that is then wiped; the backup before has a promise
    of the epoch between, and proposes it with the new disk as voter and backup."""
    primary = await settle(f)
    first, second = primary.settings.name, primary.replicated_state.replica_set.backup
    third = next(n for n in ("c1", "c2", "c3") if n not in (first, second))
    epoch = primary.epoch
    isolate(f, [second])
    late = await f.ask(first, lambda c: c.on_look(promise_of(second, epoch + 1)))
    assert late.unwrap()["ok"]

    def leads_on() -> bool:
        lead = f.primary()
        return lead is not None and lead.epoch > epoch + 1 and lead.replicated_state.replica_set.backups == (third,)

    assert await f.until(leads_on, RECOVERY_TIME) >= 0
    led = leader(f).replicated_state.replica_set
    assert led.primary == first
    wipe(f, third)
    isolate(f, [first])
    f.loop.net.cuts -= {(second, third), (third, second)}
    f.boot(third)
    await f.until(lambda: f.nodes[third].daemon is not None and f.nodes[third].daemon.known() is not None, 5)  # type: ignore[union-attr]
    await f.ask(second, lambda c: campaign(c, {first: late.unwrap()}))
    return led


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_new_voters_of_an_epoch_that_nobody_granted_elect_nobody(seed: int) -> None:
    async def scene(f: Fleet) -> Any:
        led = await propose_to_the_wiped_member(f)
        third = led.backup
        held = f.nodes[third].daemon.replicated_state  # type: ignore[union-attr]
        assert held.replica_set.epoch == led.epoch - 1 and held.replica_set.voters[third] != led.voters[third], held
        epochs = {led.primary: led.epoch}
        for _ in range(int(3 * RECOVERY_TIME)):
            await asyncio.sleep(1)
            epochs |= {c.settings.name: c.epoch for c in f.controls() if c.epoch and c.settings.name != led.primary}
        assert set(epochs) == {led.primary}, epochs
        # What was cut off comes back, and the fleet goes on from what was acknowledged.
        f.loop.net.cuts.clear()
        assert await readable(f, 3) >= 0
        await asyncio.sleep(2 * DETECTION_TIME)
        disks = {c.settings.name: c.disk_id for c in f.controls()}
        assert leader(f).replicated_state.replica_set.voters == disks
        assert (await f.ask(leader(f).settings.name, lambda c: c.read_document())).unwrap()["version"] == 3

    play(scene, seed)


@pytest.mark.parametrize("control", [3, 4, 5])
def test_a_wiped_voter_is_back_only_once_no_election_needs_the_voters_before(control: int) -> None:
    """Else the next loss, right after the repair, could leave too few of the voters before."""

    async def scene(f: Fleet) -> None:
        primary = (await settle(f)).settings.name
        wiped = leader(f).replicated_state.replica_set.backup
        wipe(f, wiped)
        await asyncio.sleep(1)
        f.boot(wiped)

        def repaired() -> bool:
            lead = f.primary()
            return lead is not None and lead.replicated_state.replica_set.voters == current_disks(f)

        assert await f.until(repaired, RECOVERY_TIME) >= 0
        pair = leader(f).replicated_state.replica_set
        assert pair.primary == primary and pair.backups
        assert [name for name in pair.holders if pair_on_disk(f, name).previous_voters] == []

    play(scene, control=control)


def test_a_takeover_changes_no_voters_and_the_new_primary_does() -> None:
    """So a takeover has nothing to settle, and is not slower than with the same voters."""

    async def scene(f: Fleet) -> None:
        primary = await settle(f)
        before = primary.replicated_state.replica_set
        wiped = next(n for n in before.voters if n not in before)
        f.kill(before.primary, silent=True)
        await asyncio.sleep(0.2)
        wipe(f, wiped)
        f.boot(wiped)
        assert await f.until(f.primary, RECOVERY_TIME) >= 0
        taken_over = leader(f).replicated_state.replica_set
        assert taken_over.primary == before.backup and taken_over.voters == before.voters

        def repaired() -> bool:
            lead = f.primary()
            return lead is not None and lead.replicated_state.replica_set.voters == before.voters | current_disks(f)

        assert await f.until(repaired, RECOVERY_TIME) >= 0

    play(scene, control=5)
