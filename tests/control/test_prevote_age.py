"""A candidate that was frozen after its pre-vote must not ask for promises on the basis of outdated answers."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from postpass.control.daemon import ControlPlane
from postpass.control.election_rules import PREVOTE_TOO_OLD, Cause, ElectionReason, PreVotes
from tests.control.test_leadership import DETECTION_TIME, isolate, leader, play, settle
from tests.support.announced import Fleet


async def won_prevote(fleet: Fleet, candidate: ControlPlane, others: list[str]) -> PreVotes:
    """Cuts off a candidate and these others from the primary, and returns the pre-vote that the candidate wins."""
    isolate(fleet, [candidate.settings.name, *others])
    configuration = candidate.known_configuration()
    assert configuration is not None
    await asyncio.sleep(DETECTION_TIME)
    prevotes: PreVotes = await fleet.ask(candidate.settings.name, lambda c: c.collect_prevotes(configuration))
    # Only the answers of members that hear no primary are kept; the others count as not asked.
    return replace(prevotes, answers={n: a for n, a in prevotes.answers.items() if a.accepted})


async def election_failure(fleet: Fleet, candidate: ControlPlane, prevotes: PreVotes) -> str:
    """Runs an election on the basis of a pre-vote; returns why it was lost, or an empty string if it was won."""
    configuration = candidate.known_configuration()
    assert configuration is not None

    async def locked(member: ControlPlane) -> str:
        async with member.lock:
            result = await member.run_election(configuration, ElectionReason(Cause.PRIMARY_LOST), prevotes=prevotes)
            return "" if result.is_ok() else result.unwrap_err().why

    return str(await fleet.ask(candidate.settings.name, locked))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_candidate_frozen_between_two_cuts_deposes_nobody(seed: int) -> None:
    """Of five members the candidate and two others don't hear the primary, and the candidate wins its pre-vote. While
    it is frozen, one of the two hears the primary again. When it is thawed it must not ask for promises: its pre-vote
    is too old, and a majority hears the primary."""

    async def scene(fleet: Fleet) -> tuple[str, bool]:
        primary = await settle(fleet)
        others = [c for c in fleet.controls() if c is not primary]
        candidate, late, third = others[-1], others[-2], others[-3]
        prevotes = await won_prevote(fleet, candidate, [late.settings.name, third.settings.name])
        assert len(prevotes.answers) == 3, "most voters heard no primary"
        # The candidate is frozen from here on. The third member is reconnected, so three of five hear the primary.
        cut_off = {candidate.settings.name, late.settings.name}
        fleet.loop.net.cuts.clear()
        isolate(fleet, cut_off)
        frozen_since = fleet.loop.clock
        fleet.loop.freeze(fleet.nodes[candidate.settings.name].host)
        await asyncio.sleep(2 * DETECTION_TIME)
        fleet.loop.thaw(fleet.nodes[candidate.settings.name].host)
        primary_before = (leader(fleet), leader(fleet).epoch)
        reason = await election_failure(fleet, candidate, replace(prevotes, requested_at=frozen_since - 0.1))
        fleet.loop.net.cuts.clear()
        await asyncio.sleep(2 * DETECTION_TIME)
        return reason, (leader(fleet), leader(fleet).epoch) == primary_before

    assert play(scene, seed, control=5) == (PREVOTE_TOO_OLD, True)


def test_a_fresh_prevote_still_counts() -> None:
    """The same without a freeze: a majority that hears no primary elects another one."""

    async def scene(fleet: Fleet) -> tuple[str, bool]:
        primary = await settle(fleet)
        others = [c for c in fleet.controls() if c is not primary]
        holder = next(c for c in others if c.settings.name in primary.replicated_state.replica_set.backups)
        other_names = [c.settings.name for c in others if c is not holder]
        prevotes = await won_prevote(fleet, holder, other_names)
        reason = await election_failure(fleet, holder, prevotes)
        return reason, holder.epoch > 0 or leader(fleet) is not primary

    reason, led = play(scene, control=4)
    assert led, reason
