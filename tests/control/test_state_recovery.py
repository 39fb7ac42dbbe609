"""Members and daemons that were absent while hundreds of changes were made: with which state they lead or serve, and
how soon they have caught up."""

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

CHANGES_PER_SECOND = 10.0  # the load that continues while a member catches up
MINIMUM_PAUSE = 0.02  # seconds between two changes while the member is absent
MAXIMUM_LAG = 0.5  # seconds by which a follower may lag while changes continue
FOLLOW_BOUND = 4.0  # seconds in which a member that is back has caught up, once there is a primary
LEAD_BOUND = 8.0  # seconds within which the fleet has a primary again
COUNTED_WORKER = "counted"  # the worker whose number of slots counts the changes


@dataclass(eq=False)
class Changes:
    """A sequence of changes, each of which raises one worker's number of slots by one.

    Invariant: `acknowledged` is the last count that was acknowledged, and `revision` the revision that contains it.
    """

    fleet: Fleet
    last_sent: int = 1
    acknowledged: int = 0
    revision: int = 0
    refused: int = 0
    times: dict[int, float] = field(default_factory=dict)  # when each count was acknowledged
    task: asyncio.Task[None] | None = None

    async def make_one(self) -> bool:
        self.last_sent += 1
        count = self.last_sent
        names = [c.settings.name for c in self.fleet.controls() if self.reachable(c.settings.name)]
        via = names[count % len(names)]
        request = asyncio.wait_for(
            self.fleet.ask(
                via, lambda c: c.record_worker_heartbeat(COUNTED_WORKER, worker_announcement(1, slots=count), count)
            ),
            2.0,
        )
        try:
            response = await request
        except TimeoutError:
            response = None
        if response is None or response.is_err() or "edition" not in response.unwrap():
            self.refused += 1
            return False
        self.acknowledged, self.revision = count, response.unwrap()["edition"]
        self.times[count] = self.fleet.loop.clock
        return True

    def reachable(self, name: str) -> bool:
        """Whether a machine is neither frozen nor cut off from most others."""
        cuts = sum(name == one for one, _ in self.fleet.loop.net.cuts)
        return 2 * cuts < len(self.fleet.nodes) and not self.fleet.nodes[name].host.frozen

    async def make(self, count: int, pause: float = MINIMUM_PAUSE) -> None:
        """Makes so many changes and waits until each is acknowledged. None may be refused for longer than the time
        within which the fleet must have a primary."""
        for _ in range(count):
            started_at = self.fleet.loop.clock
            while not await self.make_one():
                assert self.fleet.loop.clock - started_at < LEAD_BOUND, "no change is accepted any more"
                await asyncio.sleep(0.1)
            await asyncio.sleep(pause)

    async def stream(self) -> None:
        while True:
            started_at = self.fleet.loop.clock
            await self.make_one()
            await asyncio.sleep(max(0.001, 1 / CHANGES_PER_SECOND - (self.fleet.loop.clock - started_at)))

    def start(self) -> None:
        self.task = asyncio.create_task(self.stream())

    async def stop(self) -> None:
        assert self.task is not None
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def acknowledged_before(self, before: float) -> int:
        """The last count that was acknowledged before a time."""
        return max((n for n, at in self.times.items() if at <= before), default=0)


def count_at(fleet: Fleet, name: str) -> int:
    """The count that a daemon's configuration shows; 0 if it has none."""
    daemon = fleet.nodes[name].daemon
    manifest = daemon.configuration_view.manifest if daemon is not None else None
    pool = manifest["pools"].get("llm") if manifest else None
    return pool["servers"][COUNTED_WORKER]["slots"] if pool and COUNTED_WORKER in pool["servers"] else 0


def follows(fleet: Fleet, name: str, changes: Changes) -> bool:
    """Whether a daemon shows everything that was acknowledged up to `MAXIMUM_LAG` ago."""
    return count_at(fleet, name) >= changes.acknowledged_before(fleet.loop.clock - MAXIMUM_LAG) > 0


@dataclass(frozen=True)
class Fault:
    """How a machine becomes unavailable, and how it recovers."""

    kind: str

    def inject(self, fleet: Fleet, name: str) -> None:
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

    def repair(self, fleet: Fleet, name: str) -> None:
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
        # From here on no member may found a fleet.
        fleet.first = False
        for node in fleet.nodes.values():
            node.settings = replace(node.settings, bootstrap=False)
        return await scene(fleet, changes)

    return run_sim(main, seed)


def member_with_role(fleet: Fleet, role: str) -> str:
    """The name of the control member with this role now."""
    primary = fleet.primary()
    assert primary is not None
    replica_set = primary.replicated_state.replica_set
    if role == "primary":
        return primary.settings.name
    if role == "backup":
        return replica_set.backups[0]
    return next(n for n in sorted(fleet.nodes) if fleet.nodes[n].settings.duties == () and n not in replica_set.holders)


def voter_count(fleet: Fleet) -> int:
    primary = fleet.primary()
    return len(primary.replicated_state.replica_set.voters) if primary is not None else 0


async def wait_for_up_to_date_leader(fleet: Fleet, changes: Changes) -> str:
    """Waits for a primary, which must have all acknowledged changes; returns its name."""
    assert await fleet.until(lambda: fleet.primary() is not None, LEAD_BOUND) >= 0
    primary = fleet.primary()
    assert primary is not None
    assert count_at(fleet, primary.settings.name) >= changes.acknowledged, (
        primary.settings.name,
        count_at(fleet, primary.settings.name),
    )
    assert primary.replicated_state.state.losses == 0
    return primary.settings.name


ROLES = ("primary", "backup", "witness")


def member_cases(kinds: tuple[str, ...]) -> list[Any]:
    return [
        pytest.param(role, Fault(kind), missed_changes, id=f"{role}-{kind}-{missed_changes}")
        for role in ROLES
        for kind in kinds
        for missed_changes in (10, 100, 1000)
        if missed_changes < 1000 or role == "backup"
    ]


MEMBER_CASES = member_cases(KINDS)
RESTART_CASES = member_cases(RESTARTS)
DAEMON_CASES = [
    pytest.param(name, Fault(kind), missed_changes, id=f"{name}-{kind}-{missed_changes}")
    for name in ("e1", "s1")
    for kind in KINDS
    for missed_changes in (10, 100, 1000)
    if missed_changes < 1000 or kind in ("killed", "cut")
]


def power_off_all(fleet: Fleet) -> None:
    for name in list(fleet.nodes):
        fleet.kill(name, silent=True)
    for node in fleet.nodes.values():
        if node.disk is not None:
            node.disk.power_off()


class Test_a_member_that_missed_changes:
    @pytest.mark.parametrize(("role", "fault", "missed_changes"), MEMBER_CASES)
    def test_follows_to_the_end_while_changes_go_on(self, role: str, fault: Fault, missed_changes: int) -> None:
        async def scene(fleet: Fleet, changes: Changes) -> float:
            name = member_with_role(fleet, role)
            fault.inject(fleet, name)
            await changes.make(missed_changes)
            changes.start()
            await asyncio.sleep(1.0)
            fault.repair(fleet, name)
            duration = await fleet.until(lambda: follows(fleet, name, changes), FOLLOW_BOUND)
            # It must not fall behind again.
            late_checks = 0
            for _ in range(30):
                await asyncio.sleep(0.1)
                late_checks += not follows(fleet, name, changes)
            await changes.stop()
            assert late_checks <= 3, late_checks
            return duration

        duration = play(scene)
        assert 0 <= duration <= FOLLOW_BOUND

    @pytest.mark.parametrize(("role", "fault", "missed_changes"), MEMBER_CASES)
    def test_never_leads_with_old_state(self, role: str, fault: Fault, missed_changes: int) -> None:
        """The present primary is lost permanently as soon as the absent member is back: the next primary has all
        changes."""

        async def scene(fleet: Fleet, changes: Changes) -> float:
            name = member_with_role(fleet, role)
            fault.inject(fleet, name)
            await changes.make(missed_changes)
            old_primary = next(c for c in fleet.controls() if c.epoch and c.settings.name != name).settings.name
            fault.repair(fleet, name)
            # A member that lost its disk has a vote again only after a change of voters.
            await asyncio.sleep(3.0 if fault.kind == "wiped" else 0.05)
            fleet.kill(old_primary, silent=True)
            started_at = fleet.loop.clock
            await wait_for_up_to_date_leader(fleet, changes)
            duration = fleet.loop.clock - started_at
            await changes.make(3)
            return duration

        assert play(scene) <= LEAD_BOUND

    @pytest.mark.parametrize("kind", KINDS)
    @pytest.mark.parametrize("role", ["primary", "backup"])
    def test_never_leads_with_old_state_though_a_majority_answers(self, role: str, kind: str) -> None:
        """Of five members the primary is lost and its backup is frozen: the others are a majority, but none of them has
        the newest state, so none of them may lead."""

        async def scene(fleet: Fleet, changes: Changes) -> None:
            assert await fleet.until(lambda: voter_count(fleet) == 5, 5) >= 0
            fault, name = Fault(kind), member_with_role(fleet, role)
            fault.inject(fleet, name)
            await changes.make(10)
            old_primary = next(c for c in fleet.controls() if c.epoch and c.settings.name != name)
            backup = old_primary.replicated_state.replica_set.backups[0]
            fault.repair(fleet, name)
            await asyncio.sleep(0.05)
            fleet.kill(old_primary.settings.name, silent=True)
            fleet.loop.freeze(fleet.nodes[backup].host)
            assert await fleet.until(lambda: fleet.primary() is not None, 6.0) < 0
            fleet.loop.thaw(fleet.nodes[backup].host)
            await wait_for_up_to_date_leader(fleet, changes)
            await changes.make(3)

        play(scene, control=5)

    @pytest.mark.parametrize(("role", "fault", "missed_changes"), RESTART_CASES)
    def test_never_leads_with_old_state_when_all_start_at_once(
        self, role: str, fault: Fault, missed_changes: int
    ) -> None:
        async def scene(fleet: Fleet, changes: Changes) -> None:
            name = member_with_role(fleet, role)
            fault.inject(fleet, name)
            await changes.make(missed_changes)
            power_off_all(fleet)
            if fault.kind == "wiped":
                fleet.nodes[name].disk = SimDisk(random.Random(f"{name} new"))
            # The member that was absent starts first, then the others.
            for other in [name, *(n for n in fleet.nodes if n != name)]:
                fleet.boot(other)
                await asyncio.sleep(0.02)
            await wait_for_up_to_date_leader(fleet, changes)
            await changes.make(3)

            def all_follow() -> bool:
                return all(count_at(fleet, n) >= changes.acknowledged for n in fleet.nodes)

            assert await fleet.until(all_follow, FOLLOW_BOUND) >= 0

        play(scene)


class Test_a_daemon_that_missed_changes:
    @pytest.mark.parametrize(("name", "fault", "missed_changes"), DAEMON_CASES)
    def test_serves_nothing_older_and_waits_for_no_longer_than_its_bound(
        self, name: str, fault: Fault, missed_changes: int
    ) -> None:
        """A daemon that restarts is ready only once it has all that was acknowledged before; one that was cut off or
        frozen catches up."""

        async def scene(fleet: Fleet, changes: Changes) -> float:
            fault.inject(fleet, name)
            await changes.make(missed_changes)
            changes.start()
            await asyncio.sleep(1.0)
            last_acknowledged, started_at = changes.acknowledged, fleet.loop.clock
            fault.repair(fleet, name)
            started = fault.kind in RESTARTS

            def serves() -> bool:
                daemon = fleet.nodes[name].daemon
                ready = isinstance(daemon, DataPlane) and daemon.ready() == ""
                if ready and started:
                    assert count_at(fleet, name) >= last_acknowledged, (count_at(fleet, name), last_acknowledged)
                return ready and follows(fleet, name, changes)

            duration = await fleet.until(serves, FOLLOW_BOUND)
            await changes.stop()
            assert fleet.loop.clock - started_at < FOLLOW_BOUND + 1
            return duration

        assert 0 <= play(scene) <= FOLLOW_BOUND

    @pytest.mark.parametrize("name", ["e1", "s1"])
    def test_that_starts_while_there_is_no_primary_serves_nothing_older(self, name: str) -> None:
        """The primary and the daemon are lost at the same time; the daemon starts again during the takeover."""

        async def scene(fleet: Fleet, changes: Changes) -> float:
            fleet.kill(name, silent=True)
            await changes.make(100)
            primary = member_with_role(fleet, "primary")
            last_acknowledged = changes.acknowledged
            fleet.kill(primary, silent=True)
            await asyncio.sleep(0.3)
            fleet.boot(name)

            def serves() -> bool:
                daemon = fleet.nodes[name].daemon
                ready = isinstance(daemon, DataPlane) and daemon.ready() == ""
                assert not ready or count_at(fleet, name) >= last_acknowledged
                return ready

            return await fleet.until(serves, LEAD_BOUND)

        assert 0 <= play(scene) <= LEAD_BOUND

    @pytest.mark.parametrize("name", ["e1", "s1"])
    def test_that_starts_without_control_serves_what_most_others_run(self, name: str) -> None:
        async def scene(fleet: Fleet, changes: Changes) -> float:
            fleet.kill(name, silent=True)
            await changes.make(100)
            last_acknowledged = changes.acknowledged
            for control in [c.settings.name for c in fleet.controls()]:
                fleet.kill(control, silent=True)
            node = fleet.nodes[name]
            node.settings = replace(node.settings, seeds=(*node.settings.seeds, fleet.nodes["e2"].settings.peer))
            fleet.boot(name)

            def serves() -> bool:
                daemon = fleet.nodes[name].daemon
                ready = isinstance(daemon, DataPlane) and daemon.ready() == ""
                assert not ready or count_at(fleet, name) >= last_acknowledged
                return ready

            return await fleet.until(serves, 15.0)

        assert 0 <= play(scene, edges=6) <= 15.0

    @pytest.mark.parametrize("name", ["e1", "s1"])
    def test_that_starts_on_an_island_with_a_stale_member_waits_for_the_way_out(self, name: str) -> None:
        """The daemon reaches a single control member, which is cut off as well, so nothing proves that its
        configuration is the newest."""

        async def scene(fleet: Fleet, changes: Changes) -> float:
            island = {name, member_with_role(fleet, "witness")}
            fleet.kill(name, silent=True)
            rest = set(fleet.nodes) - island
            fleet.loop.net.cuts |= {pair for i in island for r in rest for pair in ((i, r), (r, i))}
            await changes.make(100)
            changes.start()
            Fault("power").repair(fleet, name)

            def ready() -> bool:
                daemon = fleet.nodes[name].daemon
                return isinstance(daemon, DataPlane) and daemon.ready() == ""

            assert await fleet.until(ready, 10.0) < 0
            last_acknowledged = changes.acknowledged
            fleet.loop.net.cuts.clear()
            duration = await fleet.until(ready, FOLLOW_BOUND)
            assert count_at(fleet, name) >= last_acknowledged > 104
            await changes.stop()
            return duration

        assert 0 <= play(scene) <= FOLLOW_BOUND


class Test_an_acknowledged_change:
    @pytest.mark.parametrize("change_count", [1, 10, 300])
    def test_is_on_the_backups_disk(self, change_count: int) -> None:
        """At the moment of the answer all machines lose power, and the primary loses its disk."""

        async def scene(fleet: Fleet, changes: Changes) -> None:
            await changes.make(change_count, pause=0.0)
            name = member_with_role(fleet, "primary")
            power_off_all(fleet)
            fleet.nodes[name].disk = SimDisk(random.Random(f"{name} new"))
            for other in fleet.nodes:
                fleet.boot(other)
            await wait_for_up_to_date_leader(fleet, changes)
            await changes.make(3)

        play(scene)


def convert_to_release_0_2_0(disk: SimDisk) -> ReplicatedState:
    """Converts a data directory to that of release 0.2.0: the complete state in one file, no log, format 2. Returns the
    state."""

    async def read_state() -> ReplicatedState:
        data_directory = await open_data_directory(
            "any", disk, random.Random(1), 1 << 16, 0, strict=True, highest_format=STATE_FORMAT
        )
        image = replay(data_directory.entries)
        return ReplicatedState.from_json(image.tree) if image is not None else ReplicatedState()

    state = asyncio.run(read_state())
    identity = json.loads(disk.files[IDENTITY_FILE])
    for name in [n for n in disk.names() if n.startswith(("log-", "snap-"))]:
        disk.remove(name)
    disk.files[IDENTITY_FILE] = bytearray(json.dumps(identity | {"format": 2}).encode())
    if state.epoch:
        disk.files["state"] = bytearray(state.dump())
    disk.kept = {n: bytes(b) for n, b in disk.files.items()}
    return state


async def off_loop(call: Any) -> Any:
    """Runs a blocking function in a thread, because it starts an event loop of its own."""
    with ThreadPoolExecutor(1) as pool:
        return pool.submit(call).result()


class Test_the_last_release:
    @pytest.mark.parametrize("members", [["c1"], ["c1", "c2", "c3"]])
    def test_left_a_state_file_that_is_read_and_replaced(self, members: list[str]) -> None:
        async def scene(fleet: Fleet, changes: Changes) -> None:
            await changes.make(20)
            power_off_all(fleet)
            for name in members:
                disk = fleet.nodes[name].disk
                assert disk is not None
                old_state = await off_loop(partial(convert_to_release_0_2_0, disk))
                assert ("state" in disk.names()) == bool(old_state.epoch)
            for name in fleet.nodes:
                fleet.boot(name)
            await wait_for_up_to_date_leader(fleet, changes)
            await changes.make(3)
            for name in members:
                disk = fleet.nodes[name].disk
                assert disk is not None and "state" not in disk.names()
                assert json.loads(disk.read(IDENTITY_FILE))["format"] == STATE_FORMAT
            power_off_all(fleet)
            for name in fleet.nodes:
                fleet.boot(name)
            await wait_for_up_to_date_leader(fleet, changes)

        play(scene)

    def test_left_a_damaged_state_file_that_costs_the_identity(self) -> None:
        async def scene(fleet: Fleet, changes: Changes) -> None:
            await changes.make(20)
            name = member_with_role(fleet, "primary")
            daemon, disk = fleet.nodes[name].daemon, fleet.nodes[name].disk
            assert isinstance(daemon, ControlPlane) and disk is not None
            identity = daemon.disk_id
            power_off_all(fleet)
            await off_loop(partial(convert_to_release_0_2_0, disk))
            disk.damage("state", len(disk.files["state"]) // 2)
            for other in fleet.nodes:
                fleet.boot(other)
            await wait_for_up_to_date_leader(fleet, changes)
            restarted = fleet.nodes[name].daemon
            assert isinstance(restarted, ControlPlane) and restarted.disk_id != identity
            assert "damaged-state" in disk.names()

        play(scene)

    def test_as_a_backup_is_sent_whole_states(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Such a backup takes a change for a heartbeat and answers that it accepted it; this must not count as an
        acknowledgement."""
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
            old_members.add(member_with_role(fleet, "backup"))
            await changes.make(5)
            assert sent == ["change", "held"] * 5
            fleet.kill(member_with_role(fleet, "primary"), silent=True)
            await wait_for_up_to_date_leader(fleet, changes)

        play(scene)


class Test_a_backup_of_another_state:
    def test_takes_no_change_and_is_sent_the_whole_state(self) -> None:
        """Its state has the same epoch and version but another content, which only the checksum reveals."""

        async def scene(fleet: Fleet, changes: Changes) -> None:
            primary, backup = fleet.primary(), fleet.nodes[member_with_role(fleet, "backup")].daemon
            assert primary is not None and isinstance(backup, ControlPlane) and backup.journal.image is not None
            image = backup.journal.image
            tree = image.tree | {"state": image.tree["state"] | {"left": ["somebody"]}}
            backup.journal.image = Image.of(image.position.epoch, image.position.version, tree)
            epoch = primary.epoch
            await changes.make(3)
            assert primary.epoch == epoch and backup.replicated_state == primary.replicated_state
            assert backup.journal.image.position == primary.journal.image.position  # type: ignore[union-attr]

        play(scene)


class Test_a_member_with_a_disk_in_trouble:
    @pytest.mark.parametrize("role", ["primary", "backup"])
    @pytest.mark.parametrize("trouble", ["full", "failing", "stalled"])
    def test_costs_no_acknowledged_change(self, role: str, trouble: str) -> None:
        """While the member's disk is full, failing or stalled, changes are accepted or refused. Later all machines lose
        power and start again with that disk repaired."""

        async def scene(fleet: Fleet, changes: Changes) -> None:
            name = member_with_role(fleet, role)
            disk = fleet.nodes[name].disk
            assert disk is not None
            await changes.make(5)
            cap = disk.cap
            if trouble == "full":
                disk.cap = sum(map(len, disk.files.values()))
            disk.fails, disk.stall = trouble == "failing", 60.0 if trouble == "stalled" else 0.0
            changes.start()
            await asyncio.sleep(LEAD_BOUND)
            last_acknowledged = changes.acknowledged
            await asyncio.sleep(1.0)
            if role == "backup" or trouble != "full":
                assert changes.acknowledged > last_acknowledged  # other members replace it
            await changes.stop()
            disk.cap, disk.fails, disk.stall = cap, False, 0.0
            power_off_all(fleet)
            for other in fleet.nodes:
                fleet.boot(other)
            await wait_for_up_to_date_leader(fleet, changes)
            await changes.make(3)

        play(scene)

    def test_that_is_full_as_primary_says_so(self) -> None:
        async def scene(fleet: Fleet, changes: Changes) -> None:
            name = member_with_role(fleet, "primary")
            disk = fleet.nodes[name].disk
            assert disk is not None
            cap, disk.cap = disk.cap, sum(map(len, disk.files.values()))
            result = await fleet.ask(name, lambda c: c.evacuate("a", True))
            fault = result.unwrap_err()
            assert "log-" in fault.why and "No space left on device" in fault.why and fault.peer == name
            disk.cap = cap
            assert (await fleet.ask(name, lambda c: c.evacuate("a", True))).is_ok()

        play(scene)
