"""Announced fleets: founding, joining, workers, orders and replacement, in the simulator."""

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


def standing(n: int, **more: Any) -> WorkerAnnouncement:
    return {"pool": "llm", "url": f"http://10.9.0.{n}:9000", "area": "a", "slots": 8, **more}  # type: ignore[typeddict-item]


def play(scene: Any, seed: int = 1, **sizes: Any) -> Any:
    async def main(loop: SimLoop) -> Any:
        fleet = Fleet(loop, **sizes)
        fleet.start()
        return await scene(fleet)

    return run_sim(main, seed)


def test_a_blank_fleet_founds_itself_and_everyone_joins_with_few_editions() -> None:
    async def scene(f: Fleet) -> tuple[float, int, int]:
        took = await f.until(f.joined, 10)
        lead = f.primary()
        assert lead is not None
        await f.until(lambda: len(lead.held.pair.voters) == f.control, 5)
        assert lead.held.pair.voters.keys() == {f"c{i}" for i in range(1, f.control + 1)}
        return took, lead.configuration_view.revision, lead.held.state.configuration["copies"]

    took, revision, copies = play(scene)
    assert 0 < took < 1.5 and revision < 12 and copies == 4
    took, revision, copies = play(scene, control=5, stores=8, edges=40, lost=2)
    assert 0 < took < 2 and revision < 16 and copies == 5


def test_copies_follow_the_stores_of_a_small_fleet() -> None:
    async def scene(f: Fleet) -> tuple[int, int]:
        await f.until(f.joined, 10)
        lead = f.primary()
        assert lead is not None
        few = await f.until(lambda: lead.held.state.configuration["copies"] == 3, 8)
        assert few > 0
        f.first = False
        f.add("s4", "store", "d", "10.1.4.1")
        await f.until(lambda: lead.held.state.configuration["copies"] == 4, 8)
        return 3, lead.held.state.configuration["copies"]

    assert play(scene, stores=3) == (3, 4)


def test_a_beat_that_no_manifest_could_take_is_refused_and_changes_nothing() -> None:
    async def scene(f: Fleet) -> None:
        await f.until(f.joined, 10)
        lead = f.primary()
        assert lead is not None
        before = lead.held.state
        for flaw in (
            {"url": "http://worker:80"},
            {"url": "10.9.9.9:80"},
            {"area": "nowhere"},
            {"slots": 0},
            {"pool": ""},
        ):
            bad: Any = standing(1) | flaw
            got = await f.ask("c1", lambda c, bad=bad: c.beat_worker("w1", bad, 1))  # type: ignore[misc]
            assert got.unwrap_err().code == 400 and got.unwrap_err().why.startswith(next(iter(flaw))), flaw
        assert f.primary() is lead and lead.held.state.configuration["pools"] == before.configuration["pools"]
        assert lead.held.state.unassigned == before.unassigned
        # An operator's document is taken as ever.
        assert (await f.ask("c3", lambda c: c.apply_source(document(3), 0))).is_ok()

    play(scene)


def test_workers_and_orders_survive_the_primary() -> None:
    async def scene(f: Fleet) -> None:
        await f.until(f.joined, 10)
        # A worker may beat before there is any document.
        assert (await f.ask("c2", lambda c: c.beat_worker("w1", standing(1), 1))).is_ok()
        got = await f.ask("c3", lambda c: c.apply_source(document(3), 0))
        assert got.is_ok() and got.unwrap()["waits"] == [], got
        lead = f.primary()
        assert lead is not None and list(lead.held.state.configuration["pools"]["llm"]["servers"]) == ["w1"]
        assert (await f.ask("c1", lambda c: c.beat_worker("w2", standing(2, cold=True), 1))).is_ok()
        revision = lead.configuration_view.revision
        assert (await f.ask("c1", lambda c: c.beat_worker("w2", standing(2, cold=True), 2))).is_ok()
        assert lead.configuration_view.revision == revision
        began = f.loop.clock
        assert (await f.ask("c2", lambda c: c.beat_worker("w2", standing(2, leave=True), 3))).is_ok()
        assert f.loop.clock - began < 0.3
        for n in f.nodes.values():
            assert n.daemon is not None and n.daemon.configuration_view.manifest is not None
            if n.settings.duties:
                assert n.daemon.configuration_view.manifest["pools"]["llm"]["servers"]["w2"].get("leave")
        # A late word doesn't bring it back.
        assert (await f.ask("c2", lambda c: c.beat_worker("w2", standing(2), 2))).is_ok()
        name = lead.settings.name
        f.kill(name, silent=True)
        other = next(n for n in ("c1", "c2", "c3") if n != name)
        took = await f.until(lambda: f.primary() is not None, 6)
        assert 0 < took < 4
        assert (await f.ask(other, lambda c: c.apply_source(document(3), 0))).is_ok()
        stale = await f.ask(other, lambda c: c.apply_source(document(4), 0))
        assert stale.unwrap_err().code == 412
        assert (await f.ask(other, lambda c: c.read_source())).unwrap()["source"] == document(3)
        assert (await f.ask(other, lambda c: c.apply_source(document(9), 3))).is_ok()
        low = await f.ask(other, lambda c: c.apply_source(document(8), 9))
        assert low.unwrap_err().code == 400

    play(scene)


def test_workers_that_are_not_heard_any_more_are_dropped_and_others_stay() -> None:
    async def scene(f: Fleet) -> list[str]:
        await f.until(f.joined, 10)
        await f.ask("c1", lambda c: c.apply_source(document(3), 0))
        for turn in range(12):
            for n in (1, 2, 3, 4) if turn < 2 else (1, 2, 3):
                via = f"c{(turn + n) % 3 + 1}"

                async def call(c: ControlPlane, n: int = n, turn: int = turn) -> Any:
                    return await c.beat_worker(f"w{n}", standing(n), turn + 1)

                assert (await f.ask(via, call)).is_ok()
            await asyncio.sleep(1.2)
        lead = f.primary()
        assert lead is not None
        return sorted(lead.held.state.configuration["pools"]["llm"]["servers"])

    assert play(scene) == ["w1", "w2", "w3"]


def test_a_lost_control_machine_is_replaced_by_an_empty_one_again_and_again() -> None:
    async def scene(f: Fleet) -> list[float]:
        await f.until(f.joined, 10)
        await f.ask("c1", lambda c: c.apply_source(document(3), 0))
        f.first = False
        out = []
        for turn in range(4):
            await f.until(f.primary, 3)
            lead = f.primary()
            assert lead is not None
            name = lead.settings.name if turn % 2 else next(c.settings.name for c in f.controls() if not c.epoch)
            zone = f.nodes[name].settings.zone
            f.kill(name, silent=True)
            await asyncio.sleep(4)
            live = [f.nodes[c.settings.name].settings.peer for c in f.controls()][:3]
            f.add(f"n{turn}", "control", zone, f"10.0.{20 + turn}.1", seeds=live)

            def done(new: str = f"n{turn}", old: str = name) -> bool:
                lead = f.primary()
                voters = lead.held.pair.voters if lead else {}
                return new in voters and old not in voters and len(voters) == f.control

            out.append(await f.until(done, 20))
            assert out[-1] > 0, (turn, name)
        got = await f.ask("n3", lambda c: c.read_source())
        assert got.unwrap()["source"] == document(3)
        return out

    for control in (3, 4, 5):
        took = play(scene, control=control, edges=2)
        assert max(took) < 4.7, took


def test_after_a_common_restart_control_stands_and_edges_serve_at_once() -> None:
    """All processes are killed, all machines lose power and come back one by one, or one disk of the pair goes too."""

    async def scene(f: Fleet, spread: float, silent: bool, wiped: str) -> list[float]:
        await f.until(f.joined, 10)
        await f.ask("c1", lambda c: c.apply_source(document(3), 0))
        lead = f.primary()
        assert lead is not None
        lost = {"primary": lead.settings.name, "backup": lead.held.pair.backup}.get(wiped, "")
        before, f.first = lead.held.pair.epoch, False
        for name in f.nodes:
            f.kill(name, silent=silent)
        for name, node in f.nodes.items():
            if node.disk is not None and name == lost:
                node.disk = SimDisk(random.Random(name + "new"))
            node.settings = replace(node.settings, bootstrap=False)
        await asyncio.sleep(1)
        order = sorted(f.nodes, reverse=True)
        for name in order:
            f.boot(name)
            await asyncio.sleep(spread / len(order))

        def serving() -> bool:
            edges = [n.daemon for n in f.nodes.values() if n.settings.duties == ("edge",)]
            return f.primary() is not None and all(e is not None and e.ready() == "" for e in edges)

        out = [await f.until(f.primary, 6), await f.until(serving, 6)]
        lead = f.primary()
        assert lead is not None and lead.held.pair.epoch > before and lead.held.state.losses == 0
        got = await f.ask("c1", lambda c: c.read_source())
        assert got.unwrap()["source"] == document(3)
        return out

    for spread, silent, wiped in ((0.0, False, ""), (0.4, True, ""), (0.0, False, "primary"), (0.4, True, "backup")):
        for seed in (1, 2, 3):
            primary, edges = play(lambda f: scene(f, spread, silent, wiped), seed=seed, control=4)  # noqa: B023
            assert 0 <= primary < 0.5 and 0 <= edges < 0.5, (spread, silent, wiped, seed, primary, edges)


def test_any_two_disks_of_control_may_go_where_two_losses_are_borne() -> None:
    """Right after the answer, while everyone else loses power: what was answered is still there, and the copies are
    as many as before, in areas of their own."""

    async def scene(f: Fleet, lost: tuple[str, str]) -> float:
        await f.until(f.joined, 10)
        await f.until(lambda: (lead := f.primary()) is not None and len(lead.held.pair.voters) == 5, 10)
        got = await f.ask("c2", lambda c: c.apply_source(document(3), 0))
        assert got.is_ok()
        lead = f.primary()
        assert lead is not None and len(lead.held.pair.backups) == 2
        assert len({f.nodes[n].settings.zone for n in lead.held.pair.holders}) == 3
        f.first = False
        for name in f.nodes:
            f.kill(name, silent=True)
        for name, node in f.nodes.items():
            if node.disk is not None:
                node.disk.power_off()
            if name in lost:
                node.disk = SimDisk(random.Random(name + "new"))
            node.settings = replace(node.settings, bootstrap=False)
        await asyncio.sleep(1)
        for name in f.nodes:
            f.boot(name)
        took = await f.until(f.primary, 6)
        lead = f.primary()
        assert lead is not None and lead.held.state.losses == 0, lost
        assert (await f.ask("c1", lambda c: c.read_source())).unwrap()["source"] == document(3)

        def whole() -> bool:
            lead = f.primary()
            if lead is None or len(lead.held.pair.backups) != 2:
                return False
            voters = {n: f.nodes[n].daemon.disk_id for n in lead.held.pair.voters}  # type: ignore[union-attr]
            return voters == lead.held.pair.voters and len(voters) == 5

        refilled = await f.until(whole, 8)
        assert 0 <= refilled < 4.7, (lost, refilled)
        return took

    for a in range(1, 6):
        for b in range(a + 1, 6):
            took = play(lambda f: scene(f, (f"c{a}", f"c{b}")), control=5, stores=6, edges=2, lost=2)  # noqa: B023
            assert 0 <= took < 1.5, (a, b, took)


def test_evacuation_and_retirement_are_taken_by_any_control_machine() -> None:
    async def scene(f: Fleet) -> None:
        await f.until(f.joined, 10)
        await f.ask("c1", lambda c: c.apply_source(document(3), 0))
        await f.ask("c1", lambda c: c.beat_worker("w1", standing(1), 1))
        lead = f.primary()
        assert lead is not None
        assert (await f.ask("c2", lambda c: c.evacuate("a", True))).is_ok()
        assert (await f.ask("c3", lambda c: c.evacuate("a", True))).is_ok()
        assert lead.held.state.configuration.get("evacuated") == ["a"]
        assert (await f.ask("c2", lambda c: c.evacuate("a", False))).is_ok()
        assert lead.held.state.configuration.get("evacuated") == []
        assert lead.held.state.configuration["pools"]["llm"]["servers"]["w1"].get("cold")
        assert (await f.ask("c2", lambda c: c.evacuate("z", True))).unwrap_err().code == 404
        assert (await f.ask("c2", lambda c: c.retire("s9"))).unwrap_err().code == 404
        assert (await f.ask("c2", lambda c: c.retire("s1"))).is_ok()
        # Three copies still bear the loss of one; two would not.
        assert (await f.ask("c2", lambda c: c.retire("s2"))).is_ok()
        assert (await f.ask("c2", lambda c: c.retire("s3"))).unwrap_err().code == 409
        for name in ("s1", "s2"):
            for _ in range(100):
                got = await f.ask("c3", lambda c, name=name: c.retired(name))  # type: ignore[misc]
                if got.is_ok() and got.unwrap()["done"]:
                    break
                await asyncio.sleep(0.2)
            assert got.unwrap()["done"]
            assert name not in f.primary().held.state.configuration["machines"]  # type: ignore[union-attr]
            assert (await f.ask("c1", lambda c, name=name: c.retired(name))).unwrap()["done"]  # type: ignore[misc]
        assert f.primary().held.state.configuration["copies"] == 3  # type: ignore[union-attr]
        assert (await f.ask("c2", lambda c: c.retire("s3"))).unwrap_err().code == 409

    play(scene, stores=5)
