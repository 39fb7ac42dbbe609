"""Fleets whose machines announce themselves: founding, joining, workers, orders and replacement, in the simulator."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace
from typing import Any

from postpass.control.daemon import ControlPlane
from postpass.membership.registry import WorkerAnnouncement
from sim.disk import SimDisk
from sim.loop import SimLoop, run_sim
from tests.platform.test_configuration import document
from tests.support.announced import Fleet


def worker_announcement(number: int, **fields: Any) -> WorkerAnnouncement:
    return {"pool": "llm", "url": f"http://10.9.0.{number}:9000", "area": "a", "slots": 8, **fields}  # type: ignore[typeddict-item]


def play(scene: Any, seed: int = 1, **sizes: Any) -> Any:
    async def main(loop: SimLoop) -> Any:
        fleet = Fleet(loop, **sizes)
        fleet.start()
        return await scene(fleet)

    return run_sim(main, seed)


def test_a_blank_fleet_founds_itself_and_everyone_joins_with_few_revisions() -> None:
    async def scene(fleet: Fleet) -> tuple[float, int, int]:
        elapsed = await fleet.until(fleet.joined, 10)
        primary = fleet.primary()
        assert primary is not None
        await fleet.until(lambda: len(primary.replicated_state.replica_set.voters) == fleet.control, 5)
        assert primary.replicated_state.replica_set.voters.keys() == {f"c{i}" for i in range(1, fleet.control + 1)}
        return elapsed, primary.configuration_view.revision, primary.replicated_state.state.configuration["copies"]

    elapsed, revision, copies = play(scene)
    assert 0 < elapsed < 1.5 and revision < 12 and copies == 4
    elapsed, revision, copies = play(scene, control=5, stores=8, edges=40, lost=2)
    assert 0 < elapsed < 2 and revision < 16 and copies == 5


def test_copies_follow_the_stores_of_a_small_fleet() -> None:
    async def scene(fleet: Fleet) -> tuple[int, int]:
        await fleet.until(fleet.joined, 10)
        primary = fleet.primary()
        assert primary is not None
        copies_reduced_after = await fleet.until(lambda: primary.replicated_state.state.configuration["copies"] == 3, 8)
        assert copies_reduced_after > 0
        fleet.first = False
        fleet.add("s4", "store", "d", "10.1.4.1")
        await fleet.until(lambda: primary.replicated_state.state.configuration["copies"] == 4, 8)
        return 3, primary.replicated_state.state.configuration["copies"]

    assert play(scene, stores=3) == (3, 4)


def test_a_heartbeat_that_would_make_the_configuration_invalid_is_refused_and_changes_nothing() -> None:
    async def scene(fleet: Fleet) -> None:
        await fleet.until(fleet.joined, 10)
        primary = fleet.primary()
        assert primary is not None
        before = primary.replicated_state.state
        for flaw in (
            {"url": "http://worker:80"},
            {"url": "10.9.9.9:80"},
            {"area": "nowhere"},
            {"slots": 0},
            {"pool": ""},
        ):
            bad: Any = worker_announcement(1) | flaw
            result = await fleet.ask("c1", lambda c, bad=bad: c.record_worker_heartbeat("w1", bad, 1))  # type: ignore[misc]
            assert result.unwrap_err().code == 400 and result.unwrap_err().why.startswith(next(iter(flaw))), flaw
        assert (
            fleet.primary() is primary
            and primary.replicated_state.state.configuration["pools"] == before.configuration["pools"]
        )
        assert primary.replicated_state.state.unassigned == before.unassigned
        # A document of the operator is still accepted.
        assert (await fleet.ask("c3", lambda c: c.apply_document(document(3), 0))).is_ok()

    play(scene)


def test_workers_and_orders_survive_the_primary() -> None:
    async def scene(fleet: Fleet) -> None:
        await fleet.until(fleet.joined, 10)
        # A worker may send heartbeats before there is any document.
        assert (await fleet.ask("c2", lambda c: c.record_worker_heartbeat("w1", worker_announcement(1), 1))).is_ok()
        result = await fleet.ask("c3", lambda c: c.apply_document(document(3), 0))
        assert result.is_ok() and result.unwrap()["waits"] == [], result
        primary = fleet.primary()
        assert primary is not None and list(
            primary.replicated_state.state.configuration["pools"]["llm"]["servers"]
        ) == ["w1"]
        assert (
            await fleet.ask("c1", lambda c: c.record_worker_heartbeat("w2", worker_announcement(2, cold=True), 1))
        ).is_ok()
        revision = primary.configuration_view.revision
        assert (
            await fleet.ask("c1", lambda c: c.record_worker_heartbeat("w2", worker_announcement(2, cold=True), 2))
        ).is_ok()
        assert primary.configuration_view.revision == revision
        started_at = fleet.loop.clock
        assert (
            await fleet.ask("c2", lambda c: c.record_worker_heartbeat("w2", worker_announcement(2, leave=True), 3))
        ).is_ok()
        assert fleet.loop.clock - started_at < 0.3
        for node in fleet.nodes.values():
            assert node.daemon is not None and node.daemon.configuration_view.manifest is not None
            if node.settings.duties:
                assert node.daemon.configuration_view.manifest["pools"]["llm"]["servers"]["w2"].get("leave")
        # A heartbeat that arrives late doesn't bring the worker back.
        assert (await fleet.ask("c2", lambda c: c.record_worker_heartbeat("w2", worker_announcement(2), 2))).is_ok()
        primary_name = primary.settings.name
        fleet.kill(primary_name, silent=True)
        other = next(node for node in ("c1", "c2", "c3") if node != primary_name)
        elapsed = await fleet.until(lambda: fleet.primary() is not None, 6)
        assert 0 < elapsed < 4
        assert (await fleet.ask(other, lambda c: c.apply_document(document(3), 0))).is_ok()
        outdated = await fleet.ask(other, lambda c: c.apply_document(document(4), 0))
        assert outdated.unwrap_err().code == 412
        assert (await fleet.ask(other, lambda c: c.read_document())).unwrap()["source"] == document(3)
        assert (await fleet.ask(other, lambda c: c.apply_document(document(9), 3))).is_ok()
        lower_version = await fleet.ask(other, lambda c: c.apply_document(document(8), 9))
        assert lower_version.unwrap_err().code == 400

    play(scene)


def test_workers_that_are_not_heard_any_more_are_dropped_and_others_stay() -> None:
    async def scene(fleet: Fleet) -> list[str]:
        await fleet.until(fleet.joined, 10)
        await fleet.ask("c1", lambda c: c.apply_document(document(3), 0))
        for turn in range(12):
            for number in (1, 2, 3, 4) if turn < 2 else (1, 2, 3):
                member_name = f"c{(turn + number) % 3 + 1}"

                async def send_heartbeat(c: ControlPlane, number: int = number, turn: int = turn) -> Any:
                    return await c.record_worker_heartbeat(f"w{number}", worker_announcement(number), turn + 1)

                assert (await fleet.ask(member_name, send_heartbeat)).is_ok()
            await asyncio.sleep(1.2)
        primary = fleet.primary()
        assert primary is not None
        return sorted(primary.replicated_state.state.configuration["pools"]["llm"]["servers"])

    assert play(scene) == ["w1", "w2", "w3"]


def test_a_lost_control_machine_is_replaced_by_an_empty_one_again_and_again() -> None:
    async def scene(fleet: Fleet) -> list[float]:
        await fleet.until(fleet.joined, 10)
        await fleet.ask("c1", lambda c: c.apply_document(document(3), 0))
        fleet.first = False
        durations = []
        for turn in range(4):
            await fleet.until(fleet.primary, 3)
            primary = fleet.primary()
            assert primary is not None
            name = primary.settings.name if turn % 2 else next(c.settings.name for c in fleet.controls() if not c.epoch)
            zone = fleet.nodes[name].settings.zone
            fleet.kill(name, silent=True)
            await asyncio.sleep(4)
            seeds = [fleet.nodes[c.settings.name].settings.peer for c in fleet.controls()][:3]
            fleet.add(f"n{turn}", "control", zone, f"10.0.{20 + turn}.1", seeds=seeds)

            def is_replaced(new: str = f"n{turn}", old: str = name) -> bool:
                primary = fleet.primary()
                voters = primary.replicated_state.replica_set.voters if primary else {}
                return new in voters and old not in voters and len(voters) == fleet.control

            durations.append(await fleet.until(is_replaced, 20))
            assert durations[-1] > 0, (turn, name)
        result = await fleet.ask("n3", lambda c: c.read_document())
        assert result.unwrap()["source"] == document(3)
        return durations

    for control in (3, 4, 5):
        elapsed = play(scene, control=control, edges=2)
        assert max(elapsed) < 4.7, elapsed


def test_after_a_common_restart_there_is_a_primary_and_edges_serve_at_once() -> None:
    """All processes are killed, or all machines lose power and come back one by one; the primary or backup may lose its disk."""

    async def scene(fleet: Fleet, spread: float, silent: bool, wiped_role: str) -> list[float]:
        await fleet.until(fleet.joined, 10)
        await fleet.ask("c1", lambda c: c.apply_document(document(3), 0))
        primary = fleet.primary()
        assert primary is not None
        wiped_name = {"primary": primary.settings.name, "backup": primary.replicated_state.replica_set.backup}.get(
            wiped_role, ""
        )
        epoch_before, fleet.first = primary.replicated_state.replica_set.epoch, False
        for name in fleet.nodes:
            fleet.kill(name, silent=silent)
        for name, node in fleet.nodes.items():
            if node.disk is not None and name == wiped_name:
                node.disk = SimDisk(random.Random(name + "new"))
            node.settings = replace(node.settings, bootstrap=False)
        await asyncio.sleep(1)
        order = sorted(fleet.nodes, reverse=True)
        for name in order:
            fleet.boot(name)
            await asyncio.sleep(spread / len(order))

        def serving() -> bool:
            edges = [n.daemon for n in fleet.nodes.values() if n.settings.duties == ("edge",)]
            return fleet.primary() is not None and all(e is not None and e.ready() == "" for e in edges)

        durations = [await fleet.until(fleet.primary, 6), await fleet.until(serving, 6)]
        primary = fleet.primary()
        assert (
            primary is not None
            and primary.replicated_state.replica_set.epoch > epoch_before
            and primary.replicated_state.state.losses == 0
        )
        result = await fleet.ask("c1", lambda c: c.read_document())
        assert result.unwrap()["source"] == document(3)
        return durations

    for spread, silent, wiped_role in (
        (0.0, False, ""),
        (0.4, True, ""),
        (0.0, False, "primary"),
        (0.4, True, "backup"),
    ):
        for seed in (1, 2, 3):
            primary_after, edges_after = play(
                lambda fleet: scene(fleet, spread, silent, wiped_role),  # noqa: B023
                seed=seed,
                control=4,
            )
            assert 0 <= primary_after < 0.5 and 0 <= edges_after < 0.5, (
                spread,
                silent,
                wiped_role,
                seed,
                primary_after,
                edges_after,
            )


def test_any_two_disks_of_control_may_be_lost_where_two_losses_are_tolerated() -> None:
    """All machines lose power right after an order was acknowledged, and any two control members lose their disks too.

    The acknowledged order must still be there, and there must again be as many copies as before, each in a zone of its own.
    """

    async def scene(fleet: Fleet, lost: tuple[str, str]) -> float:
        await fleet.until(fleet.joined, 10)
        await fleet.until(
            lambda: (primary := fleet.primary()) is not None and len(primary.replicated_state.replica_set.voters) == 5,
            10,
        )
        result = await fleet.ask("c2", lambda c: c.apply_document(document(3), 0))
        assert result.is_ok()
        primary = fleet.primary()
        assert primary is not None and len(primary.replicated_state.replica_set.backups) == 2
        assert len({fleet.nodes[n].settings.zone for n in primary.replicated_state.replica_set.holders}) == 3
        fleet.first = False
        for name in fleet.nodes:
            fleet.kill(name, silent=True)
        for name, node in fleet.nodes.items():
            if node.disk is not None:
                node.disk.power_off()
            if name in lost:
                node.disk = SimDisk(random.Random(name + "new"))
            node.settings = replace(node.settings, bootstrap=False)
        await asyncio.sleep(1)
        for name in fleet.nodes:
            fleet.boot(name)
        elapsed = await fleet.until(fleet.primary, 6)
        primary = fleet.primary()
        assert primary is not None and primary.replicated_state.state.losses == 0, lost
        assert (await fleet.ask("c1", lambda c: c.read_document())).unwrap()["source"] == document(3)

        def replicas_complete() -> bool:
            primary = fleet.primary()
            if primary is None or len(primary.replicated_state.replica_set.backups) != 2:
                return False
            voters = {n: fleet.nodes[n].daemon.disk_id for n in primary.replicated_state.replica_set.voters}  # type: ignore[union-attr]
            return voters == primary.replicated_state.replica_set.voters and len(voters) == 5

        refilled = await fleet.until(replicas_complete, 8)
        assert 0 <= refilled < 4.7, (lost, refilled)
        return elapsed

    for first_number in range(1, 6):
        for second_number in range(first_number + 1, 6):
            elapsed = play(
                lambda fleet: scene(fleet, (f"c{first_number}", f"c{second_number}")),  # noqa: B023
                control=5,
                stores=6,
                edges=2,
                lost=2,
            )
            assert 0 <= elapsed < 1.5, (first_number, second_number, elapsed)


def test_evacuation_and_retirement_are_taken_by_any_control_machine() -> None:
    async def scene(fleet: Fleet) -> None:
        await fleet.until(fleet.joined, 10)
        await fleet.ask("c1", lambda c: c.apply_document(document(3), 0))
        await fleet.ask("c1", lambda c: c.record_worker_heartbeat("w1", worker_announcement(1), 1))
        primary = fleet.primary()
        assert primary is not None
        assert (await fleet.ask("c2", lambda c: c.evacuate("a", True))).is_ok()
        assert (await fleet.ask("c3", lambda c: c.evacuate("a", True))).is_ok()
        assert primary.replicated_state.state.configuration.get("evacuated") == ["a"]
        assert (await fleet.ask("c2", lambda c: c.evacuate("a", False))).is_ok()
        assert primary.replicated_state.state.configuration.get("evacuated") == []
        assert primary.replicated_state.state.configuration["pools"]["llm"]["servers"]["w1"].get("cold")
        assert (await fleet.ask("c2", lambda c: c.evacuate("z", True))).unwrap_err().code == 404
        assert (await fleet.ask("c2", lambda c: c.retire("s9"))).unwrap_err().code == 404
        assert (await fleet.ask("c2", lambda c: c.retire("s1"))).is_ok()
        # With three copies the loss of one is still survived; with two it would not be.
        assert (await fleet.ask("c2", lambda c: c.retire("s2"))).is_ok()
        assert (await fleet.ask("c2", lambda c: c.retire("s3"))).unwrap_err().code == 409
        for name in ("s1", "s2"):
            for _ in range(100):
                result = await fleet.ask("c3", lambda c, name=name: c.query_retirement(name))  # type: ignore[misc]
                if result.is_ok() and result.unwrap()["done"]:
                    break
                await asyncio.sleep(0.2)
            assert result.unwrap()["done"]
            assert name not in fleet.primary().replicated_state.state.configuration["machines"]  # type: ignore[union-attr]
            assert (await fleet.ask("c1", lambda c, name=name: c.query_retirement(name))).unwrap()["done"]  # type: ignore[misc]
        assert fleet.primary().replicated_state.state.configuration["copies"] == 3  # type: ignore[union-attr]
        assert (await fleet.ask("c2", lambda c: c.retire("s3"))).unwrap_err().code == 409

    play(scene, stores=5)
