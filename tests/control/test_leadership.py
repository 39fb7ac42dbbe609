"""Cut off, wiped and frozen control members: who may lead, what may be acknowledged, what is never deposed."""

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

DETECTION_TIME = 1.5
RECOVERY_TIME = 12.0
CUT_TIME = 20.0


def standing(n: int, **more: Any) -> WorkerAnnouncement:
    return {"pool": "llm", "url": f"http://10.9.0.{n}:9000", "area": "a", "slots": 8, **more}  # type: ignore[typeddict-item]


def play(scene: Any, seed: int = 1, **sizes: Any) -> Any:
    async def main(loop: SimLoop) -> Any:
        fleet = Fleet(loop, **({"stores": 4, "edges": 2} | sizes))
        fleet.start()
        return await scene(fleet)

    return run_sim(main, seed)


def leader(f: Fleet) -> ControlPlane:
    lead = f.primary()
    assert lead is not None
    return lead


async def settle(f: Fleet) -> ControlPlane:
    """Waits until all have joined, all control members vote, and a first document is in force."""
    assert await f.until(f.joined, 10) >= 0

    def all_vote() -> bool:
        lead = f.primary()
        return lead is not None and len(lead.held.pair.voters) == f.control

    assert await f.until(all_vote, 10) >= 0
    got = await f.ask(leader(f).settings.name, lambda c: c.apply_source(document(3), 0))
    assert got.is_ok(), got
    await asyncio.sleep(3)
    f.first = False
    for node in f.nodes.values():
        node.settings = replace(node.settings, bootstrap=False)
    return leader(f)


def wipe(f: Fleet, name: str) -> None:
    """The machine loses power and comes back with an empty disk, once it is booted."""
    f.kill(name, silent=True)
    f.nodes[name].disk = SimDisk(random.Random(f"{name}{f.loop.clock}"))


def isolate(f: Fleet, inside: Iterable[str], way: str = "both") -> None:
    """Cuts the members off from all others; `way` says whose bytes are held back: theirs, the others', or both."""
    inside = set(inside)
    for one in inside:
        for other in set(f.nodes) - inside:
            if way in ("out", "both"):
                f.loop.net.cuts.add((one, other))
            if way in ("in", "both"):
                f.loop.net.cuts.add((other, one))


def current_disks(f: Fleet) -> dict[str, str]:
    return {c.settings.name: c.disk_id for c in f.controls()}


async def readable(f: Fleet, version: int, limit: float = RECOVERY_TIME) -> float:
    """How long it took until any member reads that version, confirmed; -1 if it did not within the limit."""
    began = f.loop.clock
    while f.loop.clock - began < limit:
        for member in f.controls():
            got = await f.ask(member.settings.name, lambda c: c.read_source())
            if got.is_ok() and got.unwrap()["version"] >= version:
                return f.loop.clock - began
        await asyncio.sleep(0.1)
    return -1.0


# --- A: a wiped member that is back within the detection time
@pytest.mark.parametrize("control", [3, 4, 5])
@pytest.mark.parametrize("gap", [0.2, 1.0, 3.0])
def test_a_wiped_backup_gets_its_vote_back_whenever_it_returns(control: int, gap: float) -> None:
    async def scene(f: Fleet) -> tuple[bool, float, float, int]:
        lead = await settle(f)
        backup = lead.held.pair.backup
        wipe(f, backup)
        await asyncio.sleep(gap)
        f.boot(backup)
        await asyncio.sleep(10)
        lead = leader(f)
        counted = lead.held.pair.voters == current_disks(f)
        got = await f.ask(lead.settings.name, lambda c: c.apply_source(document(4), 3))
        assert got.is_ok(), got
        lost = leader(f).settings.name
        for name, node in f.nodes.items():
            f.kill(name, silent=True)
            if node.disk is not None:
                node.disk.power_off()
        f.nodes[lost].disk = SimDisk(random.Random("new"))
        await asyncio.sleep(1)
        for name in f.nodes:
            f.boot(name)
        led = await f.until(f.primary, RECOVERY_TIME)
        read = await readable(f, 4)
        return counted, led, read, max(c.held.state.losses for c in f.controls())

    counted, led, read, losses = play(scene, control=control)
    assert counted, "the voters name a disk that is no more"
    assert 0 <= led < RECOVERY_TIME and 0 <= read < RECOVERY_TIME and losses == 0, (led, read, losses)


@pytest.mark.parametrize("control", [3, 4])
@pytest.mark.parametrize("gap", [0.2, 0.5, 2.5, 5.0])
def test_wiping_the_backup_and_later_the_primary_loses_nothing(control: int, gap: float) -> None:
    async def scene(f: Fleet) -> tuple[float, int]:
        lead = await settle(f)
        backup, first = lead.held.pair.backup, lead.settings.name
        wipe(f, backup)
        await asyncio.sleep(gap)
        f.boot(backup)
        await asyncio.sleep(10)
        got = await f.ask(backup, lambda c: c.apply_source(document(4), 3))
        assert got.is_ok(), got
        wipe(f, first)
        await asyncio.sleep(gap)
        f.boot(first)
        read = await readable(f, 4)
        return read, max(c.held.state.losses for c in f.controls())

    read, losses = play(scene, control=control)
    assert 0 <= read < RECOVERY_TIME and losses == 0, (read, losses)


# --- B: a member that was cut off deposes nobody
@pytest.mark.parametrize("control", [3, 4, 5, 7])
@pytest.mark.parametrize("role", ["primary", "backup", "witness", "primary and backup"])
@pytest.mark.parametrize("way", ["both", "in", "out"])
def test_a_member_that_returns_from_a_cut_never_deposes_a_primary(control: int, role: str, way: str) -> None:
    async def scene(f: Fleet) -> None:
        lead = await settle(f)
        holders = lead.held.pair.holders
        witness = next(n for n in lead.held.pair.voters if n not in holders)
        inside = {"primary": holders[:1], "backup": holders[1:2], "witness": (witness,), "primary and backup": holders}[
            role
        ]
        before = max(c.witness.promised for c in f.controls())
        isolate(f, inside, way)
        await asyncio.sleep(CUT_TIME)
        outside = [c for c in f.controls() if c.settings.name not in inside]
        led = [c for c in f.controls() if c.epoch]
        assert len(led) <= 1, [(c.settings.name, c.epoch) for c in led]
        if 2 * len(outside) > control and not set(holders) <= set(inside):
            assert led, "the majority has no primary"
        highest = max([before, *(c.epoch for c in led)])
        for member in f.controls():
            assert member.witness.promised <= highest, (member.settings.name, member.witness.promised, highest)
        f.loop.net.cuts.clear()
        if not led:
            assert await f.until(f.primary, RECOVERY_TIME) >= 0
            return
        expected, until = led[0].settings.name, f.loop.clock + 6
        while f.loop.clock < until:
            others = [c.settings.name for c in f.controls() if c.epoch and c.settings.name != expected]
            assert not others, (others, expected)
            await asyncio.sleep(0.02)
        assert leader(f).settings.name == expected
        got = await f.ask(inside[0], lambda c: c.apply_source(document(4), 3))
        assert got.is_ok(), got

    play(scene, control=control)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_cut_off_primary_that_is_sent_orders_burns_no_epochs(seed: int) -> None:
    async def scene(f: Fleet) -> tuple[int, int, int]:
        first = await settle(f)
        name, epoch = first.settings.name, first.epoch
        isolate(f, [name])
        until = f.loop.clock + CUT_TIME
        while f.loop.clock < until:
            await f.ask(name, lambda c: c.apply_source(document(4), 3))
            await asyncio.sleep(0.5)
        successor = leader(f)
        promised, taken = first.witness.promised, successor.epoch
        f.loop.net.cuts.clear()
        await asyncio.sleep(6)
        assert leader(f) is successor
        assert promised == epoch, (promised, epoch)
        return promised, taken, successor.epoch

    play(scene, seed, control=4)


# --- C: a minority acknowledges nothing and confirms nothing
ORDERS: dict[str, Any] = {
    "change": lambda c: c.apply_source(document(4), 3),
    "resend": lambda c: c.apply_source(document(3), 0),
    "evacuate": lambda c: c.evacuate("a", True),
    "no-op": lambda c: c.evacuate("b", False),
    "retire": lambda c: c.retire("s1"),
    "retired": lambda c: c.retired("s9"),
    "drain": lambda c: c.beat_worker("w1", standing(1, leave=True), 9),
    "end": lambda c: c.leave_worker("w1"),
    "read": lambda c: c.read_source(),
    "confirm": lambda c: c.on_read({"brief": 1}),
}


@pytest.mark.parametrize("what", sorted(ORDERS))
@pytest.mark.parametrize("delay", [0.0, 6.0])
def test_primary_and_backup_without_a_majority_acknowledge_nothing(what: str, delay: float) -> None:
    async def scene(f: Fleet) -> None:
        lead = await settle(f)
        assert (await f.ask("c1", lambda c: c.beat_worker("w1", standing(1), 1))).is_ok()
        holders = lead.held.pair.holders
        assert len(holders) == 2
        isolate(f, [*holders, "e1", "s1"])
        await asyncio.sleep(delay)
        for name in holders:
            got = await f.ask(name, ORDERS[what])
            assert got.is_err(), (name, got)
            assert got.unwrap_err().code not in (404, 409, 412), (name, got)
        assert await f.until(lambda: f.primary() is None, 3 * DETECTION_TIME) >= 0
        f.loop.net.cuts.clear()
        assert await f.until(f.primary, RECOVERY_TIME) >= 0
        assert (
            await f.ask(
                holders[0], lambda c: c.apply_source(document(5), leader(f).held.state.configuration["version"])
            )
        ).is_ok()

    play(scene, control=5, stores=5)


# --- 4: nothing of an epoch before its promise is synced; a candidate is no primary
def test_a_candidate_without_a_grant_is_taken_for_no_primary() -> None:
    async def scene(f: Fleet) -> None:
        lead = await settle(f)
        node = f.nodes[next(n for n in lead.held.pair.voters if n not in lead.held.pair)]
        member, disk = node.daemon, node.disk
        assert isinstance(member, ControlPlane) and disk is not None
        believed, epoch = (member.leader, member.witness.promised), lead.epoch

        async def copy(c: ControlPlane, **body: Any) -> Any:
            return (await c.on_copy({"edition": 0, **body})).unwrap()["ok"]

        def deliver(**body: Any) -> Any:
            return f.ask(member.settings.name, lambda c: copy(c, **body))

        assert not await deliver(epoch=epoch + 5, who="c9", granted=False), "it was promised nothing"
        assert (member.leader, member.witness.promised) == believed
        ask = {"epoch": epoch + 5, "who": "c9", "handover": 1}
        assert (await f.ask(member.settings.name, lambda c: c.on_look(ask))).unwrap()["ok"]
        led, heard = member.led, member.heard
        assert await deliver(epoch=epoch + 5, who="c9", granted=False)
        assert not await deliver(epoch=epoch + 5, who="c8", granted=False), "the promise is another's"
        pair = ReplicaSet(epoch + 5, "c9", (), lead.held.pair.voters)
        grant = {"pair": asdict(pair), "who": "c9"}
        assert (await f.ask(member.settings.name, lambda c: c.on_grant(grant))).unwrap()["ok"]
        assert (member.leader, member.led, member.heard) == (believed[0], led, heard), (
            "an epoch not granted was followed"
        )
        assert await deliver(epoch=epoch + 6, who="c8", granted=True)
        assert member.leader == "c8" and json.loads(disk.read("epochs"))["promised"] == epoch + 6

    play(scene, control=4)


def synced_state_epoch(disk: SimDisk) -> int:
    """The epoch of the state that a start would find if power failed now; 0 if there is none."""
    after_power_loss = SimDisk(random.Random(0))
    after_power_loss.files = {name: bytearray(data) for name, data in disk.kept.items() if data}
    after_power_loss.kept = {name: bytes(data) for name, data in after_power_loss.files.items()}
    image = replay(SegmentedLog("reader", after_power_loss, STATE_SEGMENT).load())
    return image.position.epoch if image is not None else 0


@pytest.mark.parametrize("control", [3, 4, 5])
def test_no_state_is_on_a_disk_before_the_promise_of_its_epoch(control: int) -> None:
    async def scene(f: Fleet) -> int:
        seen: list[tuple[int, int]] = []

        def watch(node: Node) -> None:
            disk = node.disk
            if disk is None or node.settings.duties:
                return

            def synced(what: str) -> None:
                if what in ("synced.log", "synced.snap"):
                    promised = json.loads(disk.kept["epochs"])["promised"] if "epochs" in disk.kept else 0
                    seen.append((synced_state_epoch(disk), promised))

            disk.tap = synced

        for node in f.nodes.values():
            watch(node)
        lead = await settle(f)
        for turn, (gap, silent) in enumerate(((0.1, True), (0.5, False), (3.0, True), (0.2, True))):
            name = lead.settings.name if turn % 2 else lead.held.pair.backup
            if turn < 2:
                f.kill(name, silent=silent)
            else:
                wipe(f, name)
                watch(f.nodes[name])
            await asyncio.sleep(gap)
            f.boot(name)
            await asyncio.sleep(6)
            assert f.primary() is not None
            lead = leader(f)
            assert (await f.ask(name, lambda c, turn=turn: c.apply_source(document(4 + turn), 3 + turn))).is_ok()
        assert max(epoch for epoch, _ in seen) > 2
        early = [s for s in seen if s[0] > s[1]]
        assert not early, early
        return len(seen)

    assert play(scene, control=control) > 20


# --- 10: nothing is rebuilt from daemons while the newest state may come back
@pytest.mark.parametrize("control", [3, 4, 5])
@pytest.mark.parametrize("dropped", [False, True])
def test_no_loss_is_declared_while_a_holder_is_only_away(control: int, dropped: bool) -> None:
    async def scene(f: Fleet) -> tuple[int, float, int]:
        lead = await settle(f)
        first, backup = lead.held.pair.holders
        if dropped:
            # The backup acknowledges the very change that drops it, and is gone before the replica set is renewed.
            got = await f.ask(
                first, lambda c: c.change(lambda s: Ok(machine_registry.without_machines(s, [backup])), 0.0)
            )
            assert got.is_ok(), got
        f.kill(backup, silent=True)
        wipe(f, first)
        await asyncio.sleep(0.2)
        f.boot(first)
        await asyncio.sleep(30)
        told = max(c.held.state.losses for c in f.controls())
        if dropped:
            return told, 0.0, 0
        f.boot(backup)
        read = await readable(f, 3)
        return told, read, max(c.held.state.losses for c in f.controls())

    told, read, losses = play(scene, control=control)
    assert told == 0 and losses == 0 and 0 <= read < RECOVERY_TIME, (told, read, losses)


def test_a_silent_holder_is_dropped_only_after_the_replica_set_is_renewed() -> None:
    async def scene(f: Fleet) -> bool:
        lead = await settle(f)
        backup = lead.held.pair.backup
        f.kill(backup, silent=True)
        f.add("n1", "control", f.nodes[backup].settings.zone, "10.0.21.1")
        dropped = await f.until(
            lambda: all(backup not in c.held.state.configuration["machines"] for c in f.controls() if c.epoch), 20
        )
        assert dropped >= 0
        return all(backup not in c.held.pair for c in f.controls() if c.epoch)

    assert play(scene, control=4)
