"""Control members that are cut off or lose their disks: which may lead, what they may acknowledge, whom they never depose."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Iterable
from dataclasses import asdict, replace
from typing import Any

import pytest
from result import Ok

from postpass.control.daemon import ControlPlane
from postpass.control.epochs import ReplicaSet
from postpass.control.journal import replay
from postpass.control.member import STATE_SEGMENT
from postpass.membership import machine_registry
from postpass.membership.registry import WorkerAnnouncement
from postpass.storage.segmented_log import SegmentedLog
from sim.disk import SimDisk
from sim.loop import SimLoop, run_sim
from tests.platform.test_configuration import document
from tests.support.announced import Fleet, Node

DETECTION_TIME = 1.5  # seconds of silence after which a primary counts as lost
RECOVERY_TIME = 12.0  # seconds within which another primary must serve
CUT_TIME = 20.0  # seconds for which members are cut off


def worker_announcement(number: int, **fields: Any) -> WorkerAnnouncement:
    return {"pool": "llm", "url": f"http://10.9.0.{number}:9000", "area": "a", "slots": 8, **fields}  # type: ignore[typeddict-item]


def play(scene: Any, seed: int = 1, **sizes: Any) -> Any:
    async def main(loop: SimLoop) -> Any:
        fleet = Fleet(loop, **({"stores": 4, "edges": 2} | sizes))
        fleet.start()
        return await scene(fleet)

    return run_sim(main, seed)


def leader(fleet: Fleet) -> ControlPlane:
    primary = fleet.primary()
    assert primary is not None
    return primary


async def settle(fleet: Fleet) -> ControlPlane:
    """Waits until all have joined, all control members vote, and a first document is in force."""
    assert await fleet.until(fleet.joined, 10) >= 0

    def all_vote() -> bool:
        primary = fleet.primary()
        return primary is not None and len(primary.replicated_state.replica_set.voters) == fleet.control

    assert await fleet.until(all_vote, 10) >= 0
    result = await fleet.ask(leader(fleet).settings.name, lambda c: c.apply_document(document(3), 0))
    assert result.is_ok(), result
    await asyncio.sleep(3)
    fleet.first = False
    for node in fleet.nodes.values():
        node.settings = replace(node.settings, bootstrap=False)
    return leader(fleet)


def wipe(fleet: Fleet, name: str) -> None:
    """Takes a machine's power away and replaces its disk by an empty one; the caller boots it."""
    fleet.kill(name, silent=True)
    fleet.nodes[name].disk = SimDisk(random.Random(f"{name}{fleet.loop.clock}"))


def isolate(fleet: Fleet, isolated: Iterable[str], direction: str = "both") -> None:
    """Cuts members off from all other machines: what they send (`out`), what the others send them (`in`), or both."""
    isolated = set(isolated)
    for member in isolated:
        for other in set(fleet.nodes) - isolated:
            if direction in ("out", "both"):
                fleet.loop.net.cuts.add((member, other))
            if direction in ("in", "both"):
                fleet.loop.net.cuts.add((other, member))


def current_disks(fleet: Fleet) -> dict[str, str]:
    return {c.settings.name: c.disk_id for c in fleet.controls()}


async def readable(fleet: Fleet, version: int, limit: float = RECOVERY_TIME) -> float:
    """Returns the seconds until a member answers a confirmed read with that version or a later one; -1 after the limit."""
    started_at = fleet.loop.clock
    while fleet.loop.clock - started_at < limit:
        for member in fleet.controls():
            result = await fleet.ask(member.settings.name, lambda c: c.read_document())
            if result.is_ok() and result.unwrap()["version"] >= version:
                return fleet.loop.clock - started_at
        await asyncio.sleep(0.1)
    return -1.0


# --- A: a member that lost its disk and is back before its silence was noticed, or later
@pytest.mark.parametrize("control", [3, 4, 5])
@pytest.mark.parametrize("downtime", [0.2, 1.0, 3.0])
def test_a_wiped_backup_gets_its_vote_back_whenever_it_returns(control: int, downtime: float) -> None:
    async def scene(fleet: Fleet) -> tuple[bool, float, float, int]:
        primary = await settle(fleet)
        backup = primary.replicated_state.replica_set.backup
        wipe(fleet, backup)
        await asyncio.sleep(downtime)
        fleet.boot(backup)
        await asyncio.sleep(10)
        primary = leader(fleet)
        voters_are_current = primary.replicated_state.replica_set.voters == current_disks(fleet)
        result = await fleet.ask(primary.settings.name, lambda c: c.apply_document(document(4), 3))
        assert result.is_ok(), result
        wiped = leader(fleet).settings.name
        for name, node in fleet.nodes.items():
            fleet.kill(name, silent=True)
            if node.disk is not None:
                node.disk.power_off()
        fleet.nodes[wiped].disk = SimDisk(random.Random("new"))
        await asyncio.sleep(1)
        for name in fleet.nodes:
            fleet.boot(name)
        elected_after = await fleet.until(fleet.primary, RECOVERY_TIME)
        read_after = await readable(fleet, 4)
        return (
            voters_are_current,
            elected_after,
            read_after,
            max(c.replicated_state.state.losses for c in fleet.controls()),
        )

    voters_are_current, elected_after, read_after, losses = play(scene, control=control)
    assert voters_are_current, "the voters name a disk that is no more"
    assert 0 <= elected_after < RECOVERY_TIME and 0 <= read_after < RECOVERY_TIME and losses == 0, (
        elected_after,
        read_after,
        losses,
    )


@pytest.mark.parametrize("control", [3, 4])
@pytest.mark.parametrize("downtime", [0.2, 0.5, 2.5, 5.0])
def test_wiping_the_backup_and_later_the_primary_loses_nothing(control: int, downtime: float) -> None:
    async def scene(fleet: Fleet) -> tuple[float, int]:
        primary = await settle(fleet)
        backup, old_primary = primary.replicated_state.replica_set.backup, primary.settings.name
        wipe(fleet, backup)
        await asyncio.sleep(downtime)
        fleet.boot(backup)
        await asyncio.sleep(10)
        result = await fleet.ask(backup, lambda c: c.apply_document(document(4), 3))
        assert result.is_ok(), result
        wipe(fleet, old_primary)
        await asyncio.sleep(downtime)
        fleet.boot(old_primary)
        read_after = await readable(fleet, 4)
        return read_after, max(c.replicated_state.state.losses for c in fleet.controls())

    read_after, losses = play(scene, control=control)
    assert 0 <= read_after < RECOVERY_TIME and losses == 0, (read_after, losses)


# --- B: a member that was cut off deposes no primary when it returns
@pytest.mark.parametrize("control", [3, 4, 5, 7])
@pytest.mark.parametrize("role", ["primary", "backup", "witness", "primary and backup"])
@pytest.mark.parametrize("direction", ["both", "in", "out"])
def test_a_member_that_returns_from_a_cut_never_deposes_a_primary(control: int, role: str, direction: str) -> None:
    async def scene(fleet: Fleet) -> None:
        primary = await settle(fleet)
        holders = primary.replicated_state.replica_set.holders
        witness = next(n for n in primary.replicated_state.replica_set.voters if n not in holders)
        isolated = {
            "primary": holders[:1],
            "backup": holders[1:2],
            "witness": (witness,),
            "primary and backup": holders,
        }[role]
        promised_before = max(c.vote_record.promised for c in fleet.controls())
        isolate(fleet, isolated, direction)
        await asyncio.sleep(CUT_TIME)
        others = [c for c in fleet.controls() if c.settings.name not in isolated]
        primaries = [c for c in fleet.controls() if c.epoch]
        assert len(primaries) <= 1, [(c.settings.name, c.epoch) for c in primaries]
        if 2 * len(others) > control and not set(holders) <= set(isolated):
            assert primaries, "the majority has no primary"
        highest_epoch = max([promised_before, *(c.epoch for c in primaries)])
        for member in fleet.controls():
            assert member.vote_record.promised <= highest_epoch, (
                member.settings.name,
                member.vote_record.promised,
                highest_epoch,
            )
        fleet.loop.net.cuts.clear()
        if not primaries:
            assert await fleet.until(fleet.primary, RECOVERY_TIME) >= 0
            return
        expected_primary, until = primaries[0].settings.name, fleet.loop.clock + 6
        while fleet.loop.clock < until:
            other_primaries = [
                c.settings.name for c in fleet.controls() if c.epoch and c.settings.name != expected_primary
            ]
            assert not other_primaries, (other_primaries, expected_primary)
            await asyncio.sleep(0.02)
        assert leader(fleet).settings.name == expected_primary
        result = await fleet.ask(isolated[0], lambda c: c.apply_document(document(4), 3))
        assert result.is_ok(), result

    play(scene, control=control)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_cut_off_primary_that_is_sent_orders_uses_up_no_epochs(seed: int) -> None:
    async def scene(fleet: Fleet) -> tuple[int, int, int]:
        old_primary = await settle(fleet)
        name, epoch = old_primary.settings.name, old_primary.epoch
        isolate(fleet, [name])
        until = fleet.loop.clock + CUT_TIME
        while fleet.loop.clock < until:
            await fleet.ask(name, lambda c: c.apply_document(document(4), 3))
            await asyncio.sleep(0.5)
        successor = leader(fleet)
        promised, successor_epoch = old_primary.vote_record.promised, successor.epoch
        fleet.loop.net.cuts.clear()
        await asyncio.sleep(6)
        assert leader(fleet) is successor
        assert promised == epoch, (promised, epoch)
        return promised, successor_epoch, successor.epoch

    play(scene, seed, control=4)


# --- C: a minority acknowledges nothing and confirms nothing
ORDERS: dict[str, Any] = {
    "change": lambda c: c.apply_document(document(4), 3),
    "resend": lambda c: c.apply_document(document(3), 0),
    "evacuate": lambda c: c.evacuate("a", True),
    "no-op": lambda c: c.evacuate("b", False),
    "retire": lambda c: c.retire("s1"),
    "retired": lambda c: c.query_retirement("s9"),
    "drain": lambda c: c.record_worker_heartbeat("w1", worker_announcement(1, leave=True), 9),
    "end": lambda c: c.report_worker_ended("w1"),
    "read": lambda c: c.read_document(),
    "confirm": lambda c: c.on_read({"brief": 1}),
}


@pytest.mark.parametrize("order_name", sorted(ORDERS))
@pytest.mark.parametrize("delay", [0.0, 6.0])
def test_primary_and_backup_without_a_majority_acknowledge_nothing(order_name: str, delay: float) -> None:
    async def scene(fleet: Fleet) -> None:
        primary = await settle(fleet)
        assert (await fleet.ask("c1", lambda c: c.record_worker_heartbeat("w1", worker_announcement(1), 1))).is_ok()
        holders = primary.replicated_state.replica_set.holders
        assert len(holders) == 2
        isolate(fleet, [*holders, "e1", "s1"])
        await asyncio.sleep(delay)
        for name in holders:
            result = await fleet.ask(name, ORDERS[order_name])
            assert result.is_err(), (name, result)
            assert result.unwrap_err().code not in (404, 409, 412), (name, result)
        assert await fleet.until(lambda: fleet.primary() is None, 3 * DETECTION_TIME) >= 0
        fleet.loop.net.cuts.clear()
        assert await fleet.until(fleet.primary, RECOVERY_TIME) >= 0
        assert (
            await fleet.ask(
                holders[0],
                lambda c: c.apply_document(document(5), leader(fleet).replicated_state.state.configuration["version"]),
            )
        ).is_ok()

    play(scene, control=5, stores=5)


# --- 4: nothing of an epoch is written before its promise is synced; a candidate without a grant is no primary
def test_a_candidate_without_a_grant_is_taken_for_no_primary() -> None:
    async def scene(fleet: Fleet) -> None:
        primary = await settle(fleet)
        node = fleet.nodes[
            next(
                n for n in primary.replicated_state.replica_set.voters if n not in primary.replicated_state.replica_set
            )
        ]
        member, disk = node.daemon, node.disk
        assert isinstance(member, ControlPlane) and disk is not None
        leader_and_promise, epoch = (member.leader, member.vote_record.promised), primary.epoch

        async def copy_accepted(c: ControlPlane, **body: Any) -> Any:
            return (await c.on_copy({"edition": 0, **body})).unwrap()["ok"]

        def deliver(**body: Any) -> Any:
            return fleet.ask(member.settings.name, lambda c: copy_accepted(c, **body))

        assert not await deliver(epoch=epoch + 5, who="c9", granted=False), "it was promised nothing"
        assert (member.leader, member.vote_record.promised) == leader_and_promise
        prepare_body = {"epoch": epoch + 5, "who": "c9", "handover": 1}
        assert (await fleet.ask(member.settings.name, lambda c: c.on_look(prepare_body))).unwrap()["ok"]
        heard_at, silent_since = member.leader_heard, member.leader_silent_since
        assert await deliver(epoch=epoch + 5, who="c9", granted=False)
        assert not await deliver(epoch=epoch + 5, who="c8", granted=False), "the promise is another's"
        replica_set = ReplicaSet(epoch + 5, "c9", (), primary.replicated_state.replica_set.voters)
        grant_body = {"pair": asdict(replica_set), "who": "c9"}
        assert (await fleet.ask(member.settings.name, lambda c: c.on_grant(grant_body))).unwrap()["ok"]
        assert (member.leader, member.leader_heard, member.leader_silent_since) == (
            leader_and_promise[0],
            heard_at,
            silent_since,
        ), "an epoch not granted was followed"
        assert await deliver(epoch=epoch + 6, who="c8", granted=True)
        assert member.leader == "c8" and json.loads(disk.read("epochs"))["promised"] == epoch + 6

    play(scene, control=4)


def synced_state_epoch(disk: SimDisk) -> int:
    """Returns the epoch of the state that a start would find on the disk if power failed now; 0 if there is none."""
    after_power_loss = SimDisk(random.Random(0))
    after_power_loss.files = {name: bytearray(data) for name, data in disk.kept.items() if data}
    after_power_loss.kept = {name: bytes(data) for name, data in after_power_loss.files.items()}
    image = replay(SegmentedLog("reader", after_power_loss, STATE_SEGMENT).load())
    return image.position.epoch if image is not None else 0


@pytest.mark.parametrize("control", [3, 4, 5])
def test_no_state_is_on_a_disk_before_the_promise_of_its_epoch(control: int) -> None:
    async def scene(fleet: Fleet) -> int:
        state_and_promise: list[tuple[int, int]] = []

        def record_syncs(node: Node) -> None:
            disk = node.disk
            if disk is None or node.settings.duties:
                return

            def on_sync(event: str) -> None:
                if event in ("synced.log", "synced.snap"):
                    promised = json.loads(disk.kept["epochs"])["promised"] if "epochs" in disk.kept else 0
                    state_and_promise.append((synced_state_epoch(disk), promised))

            disk.tap = on_sync

        for node in fleet.nodes.values():
            record_syncs(node)
        primary = await settle(fleet)
        for turn, (downtime, silent) in enumerate(((0.1, True), (0.5, False), (3.0, True), (0.2, True))):
            name = primary.settings.name if turn % 2 else primary.replicated_state.replica_set.backup
            if turn < 2:
                fleet.kill(name, silent=silent)
            else:
                wipe(fleet, name)
                record_syncs(fleet.nodes[name])
            await asyncio.sleep(downtime)
            fleet.boot(name)
            await asyncio.sleep(6)
            assert fleet.primary() is not None
            primary = leader(fleet)
            assert (await fleet.ask(name, lambda c, turn=turn: c.apply_document(document(4 + turn), 3 + turn))).is_ok()
        assert max(epoch for epoch, _ in state_and_promise) > 2
        too_early = [s for s in state_and_promise if s[0] > s[1]]
        assert not too_early, too_early
        return len(state_and_promise)

    assert play(scene, control=control) > 20


# --- 10: the state is not rebuilt from what daemons hold while a member with the newest state may come back
@pytest.mark.parametrize("control", [3, 4, 5])
@pytest.mark.parametrize("backup_dropped", [False, True])
def test_no_loss_is_declared_while_a_holder_is_only_away(control: int, backup_dropped: bool) -> None:
    async def scene(fleet: Fleet) -> tuple[int, float, int]:
        primary = await settle(fleet)
        old_primary, backup = primary.replicated_state.replica_set.holders
        if backup_dropped:
            # The backup acknowledges the very change that removes it from the fleet, and goes down before the replica set
            # is renewed.
            result = await fleet.ask(
                old_primary, lambda c: c.change(lambda s: Ok(machine_registry.without_machines(s, [backup])), 0.0)
            )
            assert result.is_ok(), result
        fleet.kill(backup, silent=True)
        wipe(fleet, old_primary)
        await asyncio.sleep(0.2)
        fleet.boot(old_primary)
        await asyncio.sleep(30)
        losses_before = max(c.replicated_state.state.losses for c in fleet.controls())
        if backup_dropped:
            return losses_before, 0.0, 0
        fleet.boot(backup)
        read_after = await readable(fleet, 3)
        return losses_before, read_after, max(c.replicated_state.state.losses for c in fleet.controls())

    losses_before, read_after, losses = play(scene, control=control)
    assert losses_before == 0 and losses == 0 and 0 <= read_after < RECOVERY_TIME, (losses_before, read_after, losses)


def test_a_silent_holder_is_dropped_only_after_the_replica_set_is_renewed() -> None:
    async def scene(fleet: Fleet) -> bool:
        primary = await settle(fleet)
        backup = primary.replicated_state.replica_set.backup
        fleet.kill(backup, silent=True)
        fleet.add("n1", "control", fleet.nodes[backup].settings.zone, "10.0.21.1")
        dropped_after = await fleet.until(
            lambda: all(
                backup not in c.replicated_state.state.configuration["machines"] for c in fleet.controls() if c.epoch
            ),
            20,
        )
        assert dropped_after >= 0
        return all(backup not in c.replicated_state.replica_set for c in fleet.controls() if c.epoch)

    assert play(scene, control=4)
