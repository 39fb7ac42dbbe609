"""Members and daemons that were away while hundreds of changes were made: what they lead with, serve, and how soon they follow."""

from __future__ import annotations

import asyncio
import json
import random
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

import pytest

from postpass.control.daemon import ControlPlane
from postpass.control.journal import Image, replay
from postpass.control.state import ReplicatedState
from postpass.daemon.data_plane import DataPlane
from postpass.storage.data_directory import IDENTITY_FILE, STATE_FORMAT, open_data_directory
from sim.disk import SimDisk
from sim.loop import SimLoop, run_sim
from tests.control.test_announced_control import worker_announcement
from tests.platform.test_configuration import document
from tests.support.announced import Fleet

RATE = 10.0  # changes a second that go on while a member catches up
FASTEST = 0.02  # seconds between two changes while it is away
CAUGHT_UP = 0.5  # seconds that a follower may be behind while changes go on
FOLLOW_BOUND = 4.0  # seconds in which one that is back follows to the end, once there is a primary
LEAD_BOUND = 8.0  # seconds in which the fleet has a primary again
COUNTED = "counted"  # the worker whose slots count the changes


@dataclass(eq=False)
class Changes:
    """A stream of changes, each of which counts one worker's slots up. Invariant: `acknowledged` is the last count that
    was acknowledged, `editions` tells under which edition."""

    fleet: Fleet
    asked: int = 1
    acknowledged: int = 0
    revision: int = 0
    refused: int = 0
    times: dict[int, float] = field(default_factory=dict)  # when each count was acknowledged
    going: asyncio.Task[None] | None = None

    async def one(self) -> bool:
        self.asked += 1
        count = self.asked
        names = [c.settings.name for c in self.fleet.controls() if self.reachable(c.settings.name)]
        via = names[count % len(names)]
        call = asyncio.wait_for(
            self.fleet.ask(
                via, lambda c: c.record_worker_heartbeat(COUNTED, worker_announcement(1, slots=count), count)
            ),
            2.0,
        )
        try:
            got = await call
        except TimeoutError:
            got = None
        if got is None or got.is_err() or "edition" not in got.unwrap():
            self.refused += 1
            return False
        self.acknowledged, self.revision = count, got.unwrap()["edition"]
        self.times[count] = self.fleet.loop.clock
        return True

    def reachable(self, name: str) -> bool:
        """Neither frozen nor cut off from most others."""
        cuts = sum(name == one for one, _ in self.fleet.loop.net.cuts)
        return 2 * cuts < len(self.fleet.nodes) and not self.fleet.nodes[name].host.frozen

    async def make(self, count: int, pause: float = FASTEST) -> None:
        """So many acknowledged changes, none of which may be refused for longer than the fleet has to find a primary."""
        for _ in range(count):
            began = self.fleet.loop.clock
            while not await self.one():
                assert self.fleet.loop.clock - began < LEAD_BOUND, "no change is taken any more"
                await asyncio.sleep(0.1)
            await asyncio.sleep(pause)

    async def stream(self) -> None:
        while True:
            began = self.fleet.loop.clock
            await self.one()
            await asyncio.sleep(max(0.001, 1 / RATE - (self.fleet.loop.clock - began)))

    def go_on(self) -> None:
        self.going = asyncio.create_task(self.stream())

    async def stop(self) -> None:
        assert self.going is not None
        self.going.cancel()
        await asyncio.gather(self.going, return_exceptions=True)

    def wanted(self, before: float) -> int:
        """The last count that was acknowledged before that time."""
        return max((n for n, at in self.times.items() if at <= before), default=0)


def count_at(fleet: Fleet, name: str) -> int:
    """The count that a daemon's configuration shows; 0 if it has none."""
    daemon = fleet.nodes[name].daemon
    manifest = daemon.configuration_view.manifest if daemon is not None else None
    pool = manifest["pools"].get("llm") if manifest else None
    return pool["servers"][COUNTED]["slots"] if pool and COUNTED in pool["servers"] else 0


def follows(fleet: Fleet, name: str, changes: Changes) -> bool:
    """Does it show what was acknowledged a moment ago?"""
    return count_at(fleet, name) >= changes.wanted(fleet.loop.clock - CAUGHT_UP) > 0


@dataclass(frozen=True)
class Fault:
    """How a machine goes and comes back."""

    kind: str

    def strike(self, fleet: Fleet, name: str) -> None:
        node = fleet.nodes[name]
        match self.kind:
            case "frozen":
                fleet.loop.freeze(node.host)
            case "cut":
                for other in fleet.nodes:
                    fleet.loop.net.cuts |= {(name, other), (other, name)} if other != name else set()
            case "killed":
                fleet.kill(name)
            case "power" | "wiped":
                fleet.kill(name, silent=True)

    def mend(self, fleet: Fleet, name: str) -> None:
        node = fleet.nodes[name]
        match self.kind:
            case "frozen":
                fleet.loop.thaw(node.host)
            case "cut":
                fleet.loop.net.cuts = {pair for pair in fleet.loop.net.cuts if name not in pair}
            case "wiped":
                node.disk = SimDisk(random.Random(f"{name} new")) if node.disk is not None else None
                fleet.boot(name)
            case "killed":
                fleet.boot(name)
            case "power":
                if node.disk is not None:
                    node.disk.power_off()
                fleet.boot(name)


RESTARTS = ("killed", "power", "wiped")
KINDS = (*RESTARTS, "frozen", "cut")


def play(scene: Any, seed: int = 1, **sizes: Any) -> Any:
    async def main(loop: SimLoop) -> Any:
        fleet = Fleet(loop, **{"edges": 2, "stores": 4, **sizes})
        fleet.start()
        assert await fleet.until(fleet.joined, 10) >= 0
        assert (await fleet.ask("c1", lambda c: c.apply_document(document(3), 0))).is_ok()
        changes = Changes(fleet)
        await changes.make(3)
        # From here on nobody founds a fleet.
        fleet.first = False
        for node in fleet.nodes.values():
            node.settings = replace(node.settings, bootstrap=False)
        return await scene(fleet, changes)

    return run_sim(main, seed)


def role_of(fleet: Fleet, role: str) -> str:
    """The name of the control member with this role now."""
    lead = fleet.primary()
    assert lead is not None
    pair = lead.replicated_state.replica_set
    if role == "primary":
        return lead.settings.name
    if role == "backup":
        return pair.backups[0]
    return next(n for n in sorted(fleet.nodes) if fleet.nodes[n].settings.duties == () and n not in pair.holders)


def voters_of(fleet: Fleet) -> int:
    lead = fleet.primary()
    return len(lead.replicated_state.replica_set.voters) if lead is not None else 0


async def leader_with_all(fleet: Fleet, changes: Changes) -> str:
    """Waits for a primary; it must show all that was acknowledged."""
    assert await fleet.until(lambda: fleet.primary() is not None, LEAD_BOUND) >= 0
    lead = fleet.primary()
    assert lead is not None
    assert count_at(fleet, lead.settings.name) >= changes.acknowledged, (
        lead.settings.name,
        count_at(fleet, lead.settings.name),
    )
    assert lead.replicated_state.state.losses == 0
    return lead.settings.name


ROLES = ("primary", "backup", "witness")


def member_cases(kinds: tuple[str, ...]) -> list[Any]:
    return [
        pytest.param(role, Fault(kind), missed, id=f"{role}-{kind}-{missed}")
        for role in ROLES
        for kind in kinds
        for missed in (10, 100, 1000)
        if missed < 1000 or role == "backup"
    ]


MEMBER_CASES = member_cases(KINDS)
RESTART_CASES = member_cases(RESTARTS)
DAEMON_CASES = [
    pytest.param(name, Fault(kind), missed, id=f"{name}-{kind}-{missed}")
    for name in ("e1", "s1")
    for kind in KINDS
    for missed in (10, 100, 1000)
    if missed < 1000 or kind in ("killed", "cut")
]


def all_lose_power(fleet: Fleet) -> None:
    for name in list(fleet.nodes):
        fleet.kill(name, silent=True)
    for node in fleet.nodes.values():
        if node.disk is not None:
            node.disk.power_off()


class Test_a_member_that_missed_changes:
    @pytest.mark.parametrize(("role", "fault", "missed"), MEMBER_CASES)
    def test_follows_to_the_end_while_changes_go_on(self, role: str, fault: Fault, missed: int) -> None:
        async def scene(fleet: Fleet, changes: Changes) -> float:
            name = role_of(fleet, role)
            fault.strike(fleet, name)
            await changes.make(missed)
            changes.go_on()
            await asyncio.sleep(1.0)
            fault.mend(fleet, name)
            took = await fleet.until(lambda: follows(fleet, name, changes), FOLLOW_BOUND)
            # And stays there.
            late = 0
            for _ in range(30):
                await asyncio.sleep(0.1)
                late += not follows(fleet, name, changes)
            await changes.stop()
            assert late <= 3, late
            return took

        took = play(scene)
        assert 0 <= took <= FOLLOW_BOUND

    @pytest.mark.parametrize(("role", "fault", "missed"), MEMBER_CASES)
    def test_never_leads_with_old_state(self, role: str, fault: Fault, missed: int) -> None:
        """The present primary is lost for good as soon as the other is back: whoever leads has all changes."""

        async def scene(fleet: Fleet, changes: Changes) -> float:
            name = role_of(fleet, role)
            fault.strike(fleet, name)
            await changes.make(missed)
            old = next(c for c in fleet.controls() if c.epoch and c.settings.name != name).settings.name
            fault.mend(fleet, name)
            # One that lost its disk counts again only once it has been let in.
            await asyncio.sleep(3.0 if fault.kind == "wiped" else 0.05)
            fleet.kill(old, silent=True)
            began = fleet.loop.clock
            await leader_with_all(fleet, changes)
            took = fleet.loop.clock - began
            await changes.make(3)
            return took

        assert play(scene) <= LEAD_BOUND

    @pytest.mark.parametrize("kind", KINDS)
    @pytest.mark.parametrize("role", ["primary", "backup"])
    def test_never_leads_with_old_state_though_a_majority_answers(self, role: str, kind: str) -> None:
        """Of five, the primary is lost and its backup frozen: the others are a majority, and none of them has the state."""

        async def scene(fleet: Fleet, changes: Changes) -> None:
            assert await fleet.until(lambda: voters_of(fleet) == 5, 5) >= 0
            fault, name = Fault(kind), role_of(fleet, role)
            fault.strike(fleet, name)
            await changes.make(10)
            old = next(c for c in fleet.controls() if c.epoch and c.settings.name != name)
            backup = old.replicated_state.replica_set.backups[0]
            fault.mend(fleet, name)
            await asyncio.sleep(0.05)
            fleet.kill(old.settings.name, silent=True)
            fleet.loop.freeze(fleet.nodes[backup].host)
            assert await fleet.until(lambda: fleet.primary() is not None, 6.0) < 0
            fleet.loop.thaw(fleet.nodes[backup].host)
            await leader_with_all(fleet, changes)
            await changes.make(3)

        play(scene, control=5)

    @pytest.mark.parametrize(("role", "fault", "missed"), RESTART_CASES)
    def test_never_leads_with_old_state_when_all_start_at_once(self, role: str, fault: Fault, missed: int) -> None:
        async def scene(fleet: Fleet, changes: Changes) -> None:
            name = role_of(fleet, role)
            fault.strike(fleet, name)
            await changes.make(missed)
            all_lose_power(fleet)
            if fault.kind == "wiped":
                fleet.nodes[name].disk = SimDisk(random.Random(f"{name} new"))
            # The one that was away is first, then the others.
            for other in [name, *(n for n in fleet.nodes if n != name)]:
                fleet.boot(other)
                await asyncio.sleep(0.02)
            await leader_with_all(fleet, changes)
            await changes.make(3)

            def all_follow() -> bool:
                return all(count_at(fleet, n) >= changes.acknowledged for n in fleet.nodes)

            assert await fleet.until(all_follow, FOLLOW_BOUND) >= 0

        play(scene)


class Test_a_daemon_that_missed_changes:
    @pytest.mark.parametrize(("name", "fault", "missed"), DAEMON_CASES)
    def test_serves_nothing_older_and_waits_for_no_longer_than_its_bound(
        self, name: str, fault: Fault, missed: int
    ) -> None:
        """From its start on it is ready only with what was acknowledged before; one that was cut off or frozen follows."""

        async def scene(fleet: Fleet, changes: Changes) -> float:
            fault.strike(fleet, name)
            await changes.make(missed)
            changes.go_on()
            await asyncio.sleep(1.0)
            floor, began = changes.acknowledged, fleet.loop.clock
            fault.mend(fleet, name)
            started = fault.kind in RESTARTS

            def serves() -> bool:
                daemon = fleet.nodes[name].daemon
                ready = isinstance(daemon, DataPlane) and daemon.ready() == ""
                if ready and started:
                    assert count_at(fleet, name) >= floor, (count_at(fleet, name), floor)
                return ready and follows(fleet, name, changes)

            took = await fleet.until(serves, FOLLOW_BOUND)
            await changes.stop()
            assert fleet.loop.clock - began < FOLLOW_BOUND + 1
            return took

        assert 0 <= play(scene) <= FOLLOW_BOUND

    @pytest.mark.parametrize("name", ["e1", "s1"])
    def test_that_starts_while_there_is_no_primary_serves_nothing_older(self, name: str) -> None:
        """Primary and daemon are away together; the daemon comes back in the middle of the takeover."""

        async def scene(fleet: Fleet, changes: Changes) -> float:
            fleet.kill(name, silent=True)
            await changes.make(100)
            lead = role_of(fleet, "primary")
            floor = changes.acknowledged
            fleet.kill(lead, silent=True)
            await asyncio.sleep(0.3)
            fleet.boot(name)

            def serves() -> bool:
                daemon = fleet.nodes[name].daemon
                ready = isinstance(daemon, DataPlane) and daemon.ready() == ""
                assert not ready or count_at(fleet, name) >= floor
                return ready

            return await fleet.until(serves, LEAD_BOUND)

        assert 0 <= play(scene) <= LEAD_BOUND

    @pytest.mark.parametrize("name", ["e1", "s1"])
    def test_that_starts_without_control_serves_what_most_others_run(self, name: str) -> None:
        async def scene(fleet: Fleet, changes: Changes) -> float:
            fleet.kill(name, silent=True)
            await changes.make(100)
            floor = changes.acknowledged
            for control in [c.settings.name for c in fleet.controls()]:
                fleet.kill(control, silent=True)
            node = fleet.nodes[name]
            node.settings = replace(node.settings, seeds=(*node.settings.seeds, fleet.nodes["e2"].settings.peer))
            fleet.boot(name)

            def serves() -> bool:
                daemon = fleet.nodes[name].daemon
                ready = isinstance(daemon, DataPlane) and daemon.ready() == ""
                assert not ready or count_at(fleet, name) >= floor
                return ready

            return await fleet.until(serves, 15.0)

        assert 0 <= play(scene, edges=6) <= 15.0

    @pytest.mark.parametrize("name", ["e1", "s1"])
    def test_that_starts_on_an_island_with_a_stale_member_waits_for_the_way_out(self, name: str) -> None:
        """It reaches one control member alone, which is cut off as well: nothing proves that member's word to be new."""

        async def scene(fleet: Fleet, changes: Changes) -> float:
            island = {name, role_of(fleet, "witness")}
            fleet.kill(name, silent=True)
            rest = set(fleet.nodes) - island
            fleet.loop.net.cuts |= {pair for i in island for r in rest for pair in ((i, r), (r, i))}
            await changes.make(100)
            changes.go_on()
            Fault("power").mend(fleet, name)

            def ready() -> bool:
                daemon = fleet.nodes[name].daemon
                return isinstance(daemon, DataPlane) and daemon.ready() == ""

            assert await fleet.until(ready, 10.0) < 0
            floor = changes.acknowledged
            fleet.loop.net.cuts.clear()
            took = await fleet.until(ready, FOLLOW_BOUND)
            assert count_at(fleet, name) >= floor > 104
            await changes.stop()
            return took

        assert 0 <= play(scene) <= FOLLOW_BOUND


class Test_an_acknowledged_change:
    @pytest.mark.parametrize("made", [1, 10, 300])
    def test_is_on_the_backups_disk(self, made: int) -> None:
        """As the answer comes all lose power, and the primary its disk."""

        async def scene(fleet: Fleet, changes: Changes) -> None:
            await changes.make(made, pause=0.0)
            name = role_of(fleet, "primary")
            all_lose_power(fleet)
            fleet.nodes[name].disk = SimDisk(random.Random(f"{name} new"))
            for other in fleet.nodes:
                fleet.boot(other)
            await leader_with_all(fleet, changes)
            await changes.make(3)

        play(scene)


def in_the_old_format(disk: SimDisk) -> ReplicatedState:
    """Turns a folder into one of release 0.2.0: the whole state in one file, no log, format 2."""

    async def state() -> ReplicatedState:
        data_directory = await open_data_directory(
            "any", disk, random.Random(1), 1 << 16, 0, strict=True, highest_format=STATE_FORMAT
        )
        image = replay(data_directory.entries)
        return ReplicatedState.of(image.tree) if image is not None else ReplicatedState()

    held = asyncio.run(state())
    mark = json.loads(disk.files[IDENTITY_FILE])
    for name in [n for n in disk.names() if n.startswith(("log-", "snap-"))]:
        disk.remove(name)
    disk.files[IDENTITY_FILE] = bytearray(json.dumps(mark | {"format": 2}).encode())
    if held.epoch:
        disk.files["state"] = bytearray(held.dump())
    disk.kept = {n: bytes(b) for n, b in disk.files.items()}
    return held


async def off_loop(call: Any) -> Any:
    """Runs a blocking call that has a loop of its own."""
    with ThreadPoolExecutor(1) as pool:
        return pool.submit(call).result()


class Test_the_last_release:
    @pytest.mark.parametrize("members", [["c1"], ["c1", "c2", "c3"]])
    def test_left_a_state_file_that_is_read_and_replaced(self, members: list[str]) -> None:
        async def scene(fleet: Fleet, changes: Changes) -> None:
            await changes.make(20)
            all_lose_power(fleet)
            for name in members:
                disk = fleet.nodes[name].disk
                assert disk is not None
                held = await off_loop(partial(in_the_old_format, disk))
                assert ("state" in disk.names()) == bool(held.epoch)
            for name in fleet.nodes:
                fleet.boot(name)
            await leader_with_all(fleet, changes)
            await changes.make(3)
            for name in members:
                disk = fleet.nodes[name].disk
                assert disk is not None and "state" not in disk.names()
                assert json.loads(disk.read(IDENTITY_FILE))["format"] == STATE_FORMAT
            all_lose_power(fleet)
            for name in fleet.nodes:
                fleet.boot(name)
            await leader_with_all(fleet, changes)

        play(scene)

    def test_left_a_damaged_state_file_that_costs_the_identity(self) -> None:
        async def scene(fleet: Fleet, changes: Changes) -> None:
            await changes.make(20)
            name = role_of(fleet, "primary")
            daemon, disk = fleet.nodes[name].daemon, fleet.nodes[name].disk
            assert isinstance(daemon, ControlPlane) and disk is not None
            identity = daemon.disk_id
            all_lose_power(fleet)
            await off_loop(partial(in_the_old_format, disk))
            disk.damage("state", len(disk.files["state"]) // 2)
            for other in fleet.nodes:
                fleet.boot(other)
            await leader_with_all(fleet, changes)
            again = fleet.nodes[name].daemon
            assert isinstance(again, ControlPlane) and again.disk_id != identity
            assert "damaged-state" in disk.names()

        play(scene)

    def test_as_a_backup_is_sent_whole_states(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """It takes a change for a heartbeat and says yes, which must not count."""
        old_members: set[str] = set()
        sent: list[str] = []
        on_copy = ControlPlane.on_copy

        async def old_on_copy(control: ControlPlane, body: Any) -> Any:
            if control.settings.name not in old_members:
                return await on_copy(control, body)
            sent.extend(key for key in ("change", "held") if key in body)
            return await on_copy(control, {k: v for k, v in body.items() if k != "change"})

        monkeypatch.setattr(ControlPlane, "on_copy", old_on_copy)

        async def scene(fleet: Fleet, changes: Changes) -> None:
            old_members.add(role_of(fleet, "backup"))
            await changes.make(5)
            assert sent == ["change", "held"] * 5
            fleet.kill(role_of(fleet, "primary"), silent=True)
            await leader_with_all(fleet, changes)

        play(scene)


class Test_a_backup_of_another_state:
    def test_takes_no_change_and_is_sent_the_whole_state(self) -> None:
        """Its content differs at the same epoch and version; only the checksum tells."""

        async def scene(fleet: Fleet, changes: Changes) -> None:
            lead, backup = fleet.primary(), fleet.nodes[role_of(fleet, "backup")].daemon
            assert lead is not None and isinstance(backup, ControlPlane) and backup.journal.image is not None
            image = backup.journal.image
            tree = image.tree | {"state": image.tree["state"] | {"left": ["somebody"]}}
            backup.journal.image = Image.of(image.position.epoch, image.position.version, tree)
            epoch = lead.epoch
            await changes.make(3)
            assert lead.epoch == epoch and backup.replicated_state == lead.replicated_state
            assert backup.journal.image.position == lead.journal.image.position  # type: ignore[union-attr]

        play(scene)


class Test_a_member_with_a_disk_in_trouble:
    @pytest.mark.parametrize("role", ["primary", "backup"])
    @pytest.mark.parametrize("trouble", ["full", "failing", "stalled"])
    def test_costs_no_acknowledged_change(self, role: str, trouble: str) -> None:
        """With the member's disk in trouble changes go on, or are refused; later all lose power and it is back."""

        async def scene(fleet: Fleet, changes: Changes) -> None:
            name = role_of(fleet, role)
            disk = fleet.nodes[name].disk
            assert disk is not None
            await changes.make(5)
            cap = disk.cap
            if trouble == "full":
                disk.cap = sum(map(len, disk.files.values()))
            disk.fails, disk.stall = trouble == "failing", 60.0 if trouble == "stalled" else 0.0
            changes.go_on()
            await asyncio.sleep(LEAD_BOUND)
            floor = changes.acknowledged
            await asyncio.sleep(1.0)
            if role == "backup" or trouble != "full":
                assert changes.acknowledged > floor  # others do its part
            await changes.stop()
            disk.cap, disk.fails, disk.stall = cap, False, 0.0
            all_lose_power(fleet)
            for other in fleet.nodes:
                fleet.boot(other)
            await leader_with_all(fleet, changes)
            await changes.make(3)

        play(scene)

    def test_that_is_full_as_primary_says_so(self) -> None:
        async def scene(fleet: Fleet, changes: Changes) -> None:
            name = role_of(fleet, "primary")
            disk = fleet.nodes[name].disk
            assert disk is not None
            cap, disk.cap = disk.cap, sum(map(len, disk.files.values()))
            got = await fleet.ask(name, lambda c: c.evacuate("a", True))
            fault = got.unwrap_err()
            assert "log-" in fault.why and "No space left on device" in fault.why and fault.peer == name
            disk.cap = cap
            assert (await fleet.ask(name, lambda c: c.evacuate("a", True))).is_ok()

        play(scene)
