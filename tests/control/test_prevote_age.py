"""A candidate that was frozen after its pre-vote: it asks for nothing on the strength of what was true long ago."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from postpass.control.daemon import ControlPlane
from postpass.control.election_rules import PREVOTE_TOO_OLD, Cause, ElectionReason, PreVotes
from tests.control.test_leadership import DETECTION_TIME, isolate, leader, play, settle
from tests.support.announced import Fleet


async def won_prevote(fleet: Fleet, candidate: ControlPlane, others: list[str]) -> PreVotes:
    """The pre-vote that a candidate wins while neither it nor these others hear the primary."""
    isolate(fleet, [candidate.settings.name, *others])
    configuration = candidate.known()
    assert configuration is not None
    await asyncio.sleep(DETECTION_TIME)
    prevotes: PreVotes = await fleet.ask(candidate.settings.name, lambda c: c.collect_prevotes(configuration))
    # Those on the other side hear the primary, and were not asked.
    return replace(prevotes, answers={n: a for n, a in prevotes.answers.items() if a.accepted})


async def run(fleet: Fleet, candidate: ControlPlane, prevotes: PreVotes) -> str:
    """An election on the strength of a pre-vote; why it was lost."""
    configuration = candidate.known()
    assert configuration is not None

    async def locked(member: ControlPlane) -> str:
        async with member.lock:
            got = await member.run_election(configuration, ElectionReason(Cause.PRIMARY_LOST), prevotes=prevotes)
            return "" if got.is_ok() else got.unwrap_err().why

    return str(await fleet.ask(candidate.settings.name, locked))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_candidate_frozen_between_two_cuts_deposes_nobody(seed: int) -> None:
    """Five members: two of them miss the primary with the candidate; then all hear it again but for one of them and the
    candidate, which wakes and would ask that one for its promise."""

    async def scene(fleet: Fleet) -> tuple[str, bool]:
        primary = await settle(fleet)
        away = [c for c in fleet.controls() if c is not primary]
        candidate, late, third = away[-1], away[-2], away[-3]
        prevotes = await won_prevote(fleet, candidate, [late.settings.name, third.settings.name])
        assert len(prevotes.answers) == 3, "most voters heard no primary"
        # The candidate is frozen from here on; the cut heals for the third, and the primary is heard by three of five.
        cut_off = {candidate.settings.name, late.settings.name}
        fleet.loop.net.cuts.clear()
        isolate(fleet, cut_off)
        frozen_since = fleet.loop.clock
        fleet.loop.freeze(fleet.nodes[candidate.settings.name].host)
        await asyncio.sleep(2 * DETECTION_TIME)
        fleet.loop.thaw(fleet.nodes[candidate.settings.name].host)
        led = (leader(fleet), leader(fleet).epoch)
        why = await run(fleet, candidate, replace(prevotes, asked_at=frozen_since - 0.1))
        fleet.loop.net.cuts.clear()
        await asyncio.sleep(2 * DETECTION_TIME)
        return why, (leader(fleet), leader(fleet).epoch) == led

    assert play(scene, seed, control=5) == (PREVOTE_TOO_OLD, True)


def test_a_fresh_prevote_still_counts() -> None:
    """The same without a freeze: a majority that hears nobody elects another primary."""

    async def scene(fleet: Fleet) -> tuple[str, bool]:
        primary = await settle(fleet)
        away = [c for c in fleet.controls() if c is not primary]
        holder = next(c for c in away if c.settings.name in primary.replicated_state.replica_set.backups)
        others = [c.settings.name for c in away if c is not holder]
        prevotes = await won_prevote(fleet, holder, others)
        why = await run(fleet, holder, prevotes)
        return why, holder.epoch > 0 or leader(fleet) is not primary

    why, led = play(scene, control=4)
    assert led, why
