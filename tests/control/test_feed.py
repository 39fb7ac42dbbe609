"""Control members that lost touch, commits that never come to be, and senders heard only through a lost member:
hazards 5, 6 and 7 of the worst days, on the product's own daemons in simulated time."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from postpass.control.daemon import ControlPlane
from postpass.daemon.data_plane import DataPlane
from tests.control.test_announced_control import play, standing
from tests.platform.test_configuration import document
from tests.support.announced import Fleet


def cut(fleet: Fleet, one: str, others: list[str], ways: str = "both") -> None:
    """Cuts the links between one machine and others: `in`, `out` or both ways."""
    for other in others:
        if ways in ("both", "out"):
            fleet.loop.net.cuts.add((one, other))
        if ways in ("both", "in"):
            fleet.loop.net.cuts.add((other, one))


def heal(fleet: Fleet) -> None:
    fleet.loop.net.cuts.clear()


async def heartbeats(fleet: Fleet, at: str, worker: str) -> None:
    """A worker's heartbeats at one member."""
    for number in range(2, 99):
        await fleet.ask(at, lambda c, number=number: c.record_worker_heartbeat(worker, standing(1), number))  # type: ignore[misc]
        await asyncio.sleep(1.0)


async def settle(fleet: Fleet) -> tuple[ControlPlane, ControlPlane, list[ControlPlane]]:
    """The primary, its backup and the other members, once all may vote and a configuration is taken."""
    assert await fleet.until(fleet.joined, 10) >= 0

    def whole() -> bool:
        lead = fleet.primary()
        return (
            lead is not None
            and len(lead.replicated_state.replica_set.voters) == fleet.control
            and bool(lead.replicated_state.replica_set.backups)
        )

    assert await fleet.until(whole, 10) >= 0
    assert (await fleet.ask("c1", lambda c: c.apply_source(document(3), 0))).is_ok()
    assert (await fleet.ask("c1", lambda c: c.record_worker_heartbeat("w1", standing(1), 1))).is_ok()
    await asyncio.sleep(3)
    lead = fleet.primary()
    assert lead is not None
    backup = next(c for c in fleet.controls() if c.settings.name == lead.replicated_state.replica_set.backups[0])
    return lead, backup, [c for c in fleet.controls() if c not in (lead, backup)]


def names(controls: list[ControlPlane]) -> list[str]:
    return [c.settings.name for c in controls]


def lease(control: ControlPlane) -> float:
    """How long a member counts as in touch after it last heard its primary."""
    return control.settings.bounds.contact


class Test_LostMember:
    """Hazard 6."""

    @pytest.mark.parametrize("ways", ["both", "in"])
    @pytest.mark.parametrize("role", ["backup", "witness", "primary"])
    def test_hands_out_no_feed_and_names_others_at_once(self, role: str, ways: str) -> None:
        async def scene(f: Fleet) -> tuple[float, Any]:
            lead, backup, rest = await settle(f)
            lost = {"primary": lead, "backup": backup, "witness": rest[0]}[role]
            cut(f, lost.settings.name, [n for n in names(f.controls()) if n != lost.settings.name], ways)
            await asyncio.sleep(lease(lost) + lost.settings.bounds.detect)
            began = f.loop.clock
            poll = {"after": lost.configuration_view.revision, "wait": 1.0, "who": "e1"}
            got = (await f.ask(lost.settings.name, lambda c: c.on_follow(poll))).unwrap()
            return f.loop.clock - began, got

        took, got = play(scene, control=4)
        assert took < 0.01 and got.get("stale") is True, got
        assert "changes" not in got and "snapshot" not in got and len(got["others"]) == 3

    def test_ends_the_polls_it_holds_when_its_lease_ends(self) -> None:
        async def scene(f: Fleet) -> list[tuple[float, bool]]:
            _, _, rest = await settle(f)
            lost = rest[0]
            cut(f, lost.settings.name, [n for n in names(f.controls()) if n != lost.settings.name])
            began = f.loop.clock
            await asyncio.sleep(lease(lost) / 2)
            poll = {"after": lost.configuration_view.revision, "wait": 9.0, "who": "e1"}
            got = (await f.ask(lost.settings.name, lambda c: c.on_follow(poll))).unwrap()
            return [(f.loop.clock - began - lease(lost), bool(got.get("stale")))]

        [(late, stale)] = play(scene)
        assert stale and late < 0.2

    def test_refuses_no_order_and_answers_at_once(self) -> None:
        """Whatever a member without contact holds may be old: neither 412 nor 404 nor 409 comes from it."""

        async def scene(f: Fleet) -> list[tuple[str, float, int]]:
            lead, backup, rest = await settle(f)
            lost = rest[0]
            cut(f, lost.settings.name, [n for n in names(f.controls()) if n != lost.settings.name])
            await asyncio.sleep(lease(lost) + 0.1)
            out = []
            orders: dict[str, Any] = {
                "stale base": lambda c: c.apply_source(document(4), 1),
                "next": lambda c: c.apply_source(document(4), 3),
                "unknown area": lambda c: c.evacuate("z", True),
                "unknown store": lambda c: c.retire("s9"),
                "emptied": lambda c: c.retired("s9"),
                "read": lambda c: c.read_source(),
            }
            for name, order in orders.items():
                began = f.loop.clock
                got = await f.ask(lost.settings.name, order)
                out.append((name, f.loop.clock - began, 200 if got.is_ok() else got.unwrap_err().code))
            return out

        for name, took, code in play(scene):
            assert code == 503 and took < 0.2, (name, took, code)

    def test_followers_go_on_to_another_within_a_tenth_of_the_bound(self) -> None:
        async def scene(f: Fleet) -> list[float]:
            lead, backup, rest = await settle(f)
            lost = rest[0]
            edge = f.nodes["e1"].daemon
            assert isinstance(edge, DataPlane)
            polls: list[tuple[float, float, str, bool]] = []
            real = edge.peer_links.request

            async def watch(address: str, name: str, body: Any, limit: float) -> Any:
                began = f.loop.clock
                got = await real(address, name, body, limit)
                if name == "follow" and "who" in body:
                    polls.append((began, f.loop.clock, address, got.is_ok() and bool(got.unwrap().get("stale"))))
                return got

            edge.peer_links.request = watch  # type: ignore[method-assign]
            cut(f, lost.settings.name, [n for n in names(f.controls()) if n != lost.settings.name])
            await asyncio.sleep(10)
            stale = [i for i, (_, _, _, s) in enumerate(polls) if s and i + 1 < len(polls)]
            assert stale and all(polls[i + 1][2] != polls[i][2] for i in stale)
            return [polls[i + 1][0] - polls[i][1] for i in stale]

        gaps = play(scene)
        assert max(gaps) < 0.2, gaps

    def test_passes_heartbeats_on_while_it_can(self) -> None:
        """The way from the primary is cut, the way to another member is not."""

        async def scene(f: Fleet) -> None:
            lead, backup, rest = await settle(f)
            lost = rest[0]
            cut(f, lead.settings.name, [lost.settings.name])
            await asyncio.sleep(lease(lost) + 0.1)
            began = f.loop.clock
            got = await f.ask(lost.settings.name, lambda c: c.record_worker_heartbeat("w2", standing(2), 1))
            assert got.is_ok() and f.loop.clock - began < 1.0, (got, f.loop.clock - began)
            assert "w2" in lead.replicated_state.state.configuration["pools"]["llm"]["servers"]

        play(scene)

    def test_is_in_touch_again_as_soon_as_it_hears_the_primary(self) -> None:
        async def scene(f: Fleet) -> float:
            _, _, rest = await settle(f)
            lost = rest[0]
            cut(f, lost.settings.name, [n for n in names(f.controls()) if n != lost.settings.name])
            await asyncio.sleep(20)
            heal(f)
            began = f.loop.clock
            poll = {"after": lost.configuration_view.revision, "wait": 0.0, "who": "e1"}
            while True:
                got = (await f.ask(lost.settings.name, lambda c: c.on_follow(poll))).unwrap()
                if not got.get("stale"):
                    return f.loop.clock - began
                await asyncio.sleep(0.05)

        assert play(scene) < 3.0

    def test_a_primary_that_was_cut_off_holds_up_no_caller(self) -> None:
        """It tries elections all the time; nobody waits for them."""

        async def scene(f: Fleet) -> float:
            lead, _, _ = await settle(f)
            cut(f, lead.settings.name, [n for n in names(f.controls()) if n != lead.settings.name])
            await asyncio.sleep(2 * lease(lead) + 0.1)
            slowest = 0.0
            for _ in range(40):
                began = f.loop.clock
                got = await f.ask(lead.settings.name, lambda c: c.read_source())
                assert got.unwrap_err().code == 503
                slowest = max(slowest, f.loop.clock - began)
                await asyncio.sleep(0.2)
            return slowest

        assert play(scene, control=4) < 0.2


class Test_WithoutControl:
    def test_the_data_plane_serves_on_and_a_daemon_that_starts_serves_in_bounded_time(self) -> None:
        """All control members but one are gone, and that one can lead nothing: islands' rules hold as before."""

        async def scene(f: Fleet, left: int) -> tuple[int, float, int]:
            lead, backup, rest = await settle(f)
            for control in [lead, backup, *rest][: f.control - left]:
                f.kill(control.settings.name, silent=True)
            await asyncio.sleep(20)
            edges = [n.daemon for n in f.nodes.values() if n.settings.duties == ("edge",)]
            for edge in edges:
                assert edge is not None and edge.ready() == ""
                assert f.loop.clock - edge.configuration_view.last_contact < edge.settings.bounds.deaf
            revision = max(e.configuration_view.revision for e in edges if e is not None)
            f.kill("e1")
            f.boot("e1")
            node = f.nodes["e1"]

            def fresh() -> bool:
                return node.daemon is not None and node.daemon.configuration_view.fresh

            took = await f.until(fresh, 15)
            assert node.daemon is not None
            return node.daemon.configuration_view.revision, took, revision

        for left in (0, 1):
            mine, took, revision = play(lambda f: scene(f, left))  # noqa: B023
            assert mine == revision and 0 <= took < 6.0, (left, mine, revision, took)


class Test_ProposedState:
    """Hazard 5."""

    def test_is_no_reason_for_an_answer_before_it_is_committed(self) -> None:
        """The backup's disk doesn't finish the write; meanwhile the primary is asked. Then both lose their power and the
        backup leads from the state before."""

        async def scene(f: Fleet) -> None:
            lead, backup, _ = await settle(f)
            name = lead.settings.name
            assert (await f.ask(name, lambda c: c.retire("s1"))).is_ok()
            for _ in range(100):
                configuration = lead.configuration_view.manifest
                assert configuration is not None
                if await f.ask(name, lambda c, configuration=configuration: c.holds_nothing("s1", configuration)):  # type: ignore[misc]
                    break
                await asyncio.sleep(0.2)
            disk = f.nodes[backup.settings.name].disk
            assert disk is not None
            disk.stall = 1e6
            first = asyncio.create_task(f.ask(name, lambda c: c.retired("s1")))
            await asyncio.sleep(0.1)
            status = (await f.ask(name, lambda c: c.more_status()))["control"]
            second = asyncio.create_task(f.ask(name, lambda c: c.retired("s1")))
            await asyncio.sleep(0.1)
            told = [t.result() for t in (first, second) if t.done()]
            revision = lead.configuration_view.revision
            f.kill(name, silent=True)
            f.kill(backup.settings.name, silent=True)
            disk.power_off()
            disk.stall = 0.0
            f.first = False
            f.boot(backup.settings.name)
            assert await f.until(f.primary, 20) >= 0
            new = f.primary()
            assert new is not None
            lost = "s1" not in new.replicated_state.state.retired
            assert lost and not any(g.is_ok() and g.unwrap()["done"] for g in told), told
            assert status["committed"] == revision, (status, revision)

        play(scene, stores=5)


class Test_SenderHeardThroughOneMember:
    """Hazard 7."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize("quiet", [0.5, 2.0, 4.0])
    def test_has_a_leaving_workers_version_before_the_acknowledgement(self, quiet: float, seed: int) -> None:
        async def scene(f: Fleet) -> tuple[bool, float]:
            lead, backup, rest = await settle(f)
            relay = rest[0]
            worker = asyncio.create_task(heartbeats(f, lead.settings.name, "w1"))
            cut(f, "e4", [lead.settings.name, backup.settings.name])
            await asyncio.sleep(4)
            cut(f, relay.settings.name, [lead.settings.name, backup.settings.name])
            await asyncio.sleep(quiet)
            worker.cancel()
            edge = f.nodes["e4"].daemon
            assert edge is not None and edge.configuration_view.manifest is not None
            assert "w1" in edge.configuration_view.manifest["pools"]["llm"]["servers"]
            began = f.loop.clock
            got = await f.ask(
                lead.settings.name, lambda c: c.record_worker_heartbeat("w1", standing(1, leave=True), 99)
            )
            took = f.loop.clock - began
            assert got.is_ok()
            return bool(edge.configuration_view.manifest["pools"]["llm"]["servers"]["w1"].get("leave")), took

        knows, took = play(scene, seed)
        bound = 2.0 / 6
        assert knows and took < bound + 0.1, (knows, took)

    def test_a_sender_that_is_gone_is_not_waited_for_long(self) -> None:
        """All control members are in touch: a dead edge holds up no acknowledgement once the others would have told."""

        async def scene(f: Fleet) -> float:
            lead, _, _ = await settle(f)
            f.kill("e4", silent=True)
            await asyncio.sleep(3)
            began = f.loop.clock
            got = await f.ask(lead.settings.name, lambda c: c.record_worker_heartbeat("w1", standing(1, leave=True), 2))
            assert got.is_ok()
            return f.loop.clock - began

        assert play(scene) < 0.1
