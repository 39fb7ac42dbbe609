"""Members out of touch with the primary, proposals that are never committed, and senders that only a cut-off member hears.

These are hazards 5, 6 and 7 of the list of worst days. The tests run the product's own daemons in simulated time.
"""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from postpass.control.daemon import ControlPlane
from postpass.daemon.data_plane import DataPlane
from tests.control.test_announced_control import play, worker_announcement
from tests.platform.test_configuration import document
from tests.support.announced import Fleet


def cut(fleet: Fleet, machine: str, others: list[str], direction: str = "both") -> None:
    """Cuts the links between one machine and others: what it receives (`in`), what it sends (`out`), or both."""
    for other in others:
        if direction in ("both", "out"):
            fleet.loop.net.cuts.add((machine, other))
        if direction in ("both", "in"):
            fleet.loop.net.cuts.add((other, machine))


def heal(fleet: Fleet) -> None:
    fleet.loop.net.cuts.clear()


async def send_heartbeats(fleet: Fleet, member_name: str, worker: str) -> None:
    """Sends a worker's heartbeats to one member, one a second, until the task is cancelled."""
    for seqno in range(2, 99):
        await fleet.ask(
            member_name, lambda c, seqno=seqno: c.record_worker_heartbeat(worker, worker_announcement(1), seqno)
        )  # type: ignore[misc]
        await asyncio.sleep(1.0)


async def settle(fleet: Fleet) -> tuple[ControlPlane, ControlPlane, list[ControlPlane]]:
    """Waits until all members may vote and a configuration is in force; returns the primary, its backup and the others."""
    assert await fleet.until(fleet.joined, 10) >= 0

    def replicas_complete() -> bool:
        primary = fleet.primary()
        return (
            primary is not None
            and len(primary.replicated_state.replica_set.voters) == fleet.control
            and bool(primary.replicated_state.replica_set.backups)
        )

    assert await fleet.until(replicas_complete, 10) >= 0
    assert (await fleet.ask("c1", lambda c: c.apply_document(document(3), 0))).is_ok()
    assert (await fleet.ask("c1", lambda c: c.record_worker_heartbeat("w1", worker_announcement(1), 1))).is_ok()
    await asyncio.sleep(3)
    primary = fleet.primary()
    assert primary is not None
    backup = next(c for c in fleet.controls() if c.settings.name == primary.replicated_state.replica_set.backups[0])
    return primary, backup, [c for c in fleet.controls() if c not in (primary, backup)]


def names(controls: list[ControlPlane]) -> list[str]:
    return [c.settings.name for c in controls]


def contact_lease(control: ControlPlane) -> float:
    """Returns the seconds for which a member counts as in touch after it last heard its primary."""
    return control.settings.bounds.contact_lease


class Test_MemberOutOfTouch:
    """Hazard 6: a member that is cut off from the primary keeps clients with what it knows, which may be outdated."""

    @pytest.mark.parametrize("direction", ["both", "in"])
    @pytest.mark.parametrize("role", ["backup", "witness", "primary"])
    def test_serves_no_feed_and_names_the_other_members_at_once(self, role: str, direction: str) -> None:
        async def scene(fleet: Fleet) -> tuple[float, Any]:
            primary, backup, other_members = await settle(fleet)
            isolated_member = {"primary": primary, "backup": backup, "witness": other_members[0]}[role]
            cut(
                fleet,
                isolated_member.settings.name,
                [n for n in names(fleet.controls()) if n != isolated_member.settings.name],
                direction,
            )
            await asyncio.sleep(contact_lease(isolated_member) + isolated_member.settings.bounds.detection_time)
            started_at = fleet.loop.clock
            poll = {"after": isolated_member.configuration_view.revision, "wait": 1.0, "who": "e1"}
            response = (await fleet.ask(isolated_member.settings.name, lambda c: c.on_follow(poll))).unwrap()
            return fleet.loop.clock - started_at, response

        elapsed, response = play(scene, control=4)
        assert elapsed < 0.01 and response.get("stale") is True, response
        assert "changes" not in response and "snapshot" not in response and len(response["others"]) == 3

    def test_ends_the_polls_it_holds_when_its_lease_ends(self) -> None:
        async def scene(fleet: Fleet) -> list[tuple[float, bool]]:
            _, _, other_members = await settle(fleet)
            isolated_member = other_members[0]
            cut(
                fleet,
                isolated_member.settings.name,
                [n for n in names(fleet.controls()) if n != isolated_member.settings.name],
            )
            started_at = fleet.loop.clock
            await asyncio.sleep(contact_lease(isolated_member) / 2)
            poll = {"after": isolated_member.configuration_view.revision, "wait": 9.0, "who": "e1"}
            response = (await fleet.ask(isolated_member.settings.name, lambda c: c.on_follow(poll))).unwrap()
            return [(fleet.loop.clock - started_at - contact_lease(isolated_member), bool(response.get("stale")))]

        [(delay, stale)] = play(scene)
        assert stale and delay < 0.2

    def test_refuses_no_order_and_answers_at_once(self) -> None:
        """What a member without contact holds may be outdated, so it must not answer 412, 404 or 409 by it."""

        async def scene(fleet: Fleet) -> list[tuple[str, float, int]]:
            primary, backup, other_members = await settle(fleet)
            isolated_member = other_members[0]
            cut(
                fleet,
                isolated_member.settings.name,
                [n for n in names(fleet.controls()) if n != isolated_member.settings.name],
            )
            await asyncio.sleep(contact_lease(isolated_member) + 0.1)
            outcomes = []
            orders: dict[str, Any] = {
                "stale base": lambda c: c.apply_document(document(4), 1),
                "next": lambda c: c.apply_document(document(4), 3),
                "unknown area": lambda c: c.evacuate("z", True),
                "unknown store": lambda c: c.retire("s9"),
                "emptied": lambda c: c.query_retirement("s9"),
                "read": lambda c: c.read_document(),
            }
            for name, order in orders.items():
                started_at = fleet.loop.clock
                response = await fleet.ask(isolated_member.settings.name, order)
                outcomes.append(
                    (name, fleet.loop.clock - started_at, 200 if response.is_ok() else response.unwrap_err().code)
                )
            return outcomes

        for name, elapsed, code in play(scene):
            assert code == 503 and elapsed < 0.2, (name, elapsed, code)

    def test_followers_go_on_to_another_within_a_tenth_of_the_bound(self) -> None:
        async def scene(fleet: Fleet) -> list[float]:
            primary, backup, other_members = await settle(fleet)
            isolated_member = other_members[0]
            edge = fleet.nodes["e1"].daemon
            assert isinstance(edge, DataPlane)
            polls: list[tuple[float, float, str, bool]] = []
            original_request = edge.peer_links.request

            async def recording_request(address: str, verb: str, body: Any, limit: float) -> Any:
                started_at = fleet.loop.clock
                response = await original_request(address, verb, body, limit)
                if verb == "follow" and "who" in body:
                    polls.append(
                        (
                            started_at,
                            fleet.loop.clock,
                            address,
                            response.is_ok() and bool(response.unwrap().get("stale")),
                        )
                    )
                return response

            edge.peer_links.request = recording_request  # type: ignore[method-assign]
            cut(
                fleet,
                isolated_member.settings.name,
                [n for n in names(fleet.controls()) if n != isolated_member.settings.name],
            )
            await asyncio.sleep(10)
            stale = [i for i, (_, _, _, is_stale) in enumerate(polls) if is_stale and i + 1 < len(polls)]
            assert stale and all(polls[i + 1][2] != polls[i][2] for i in stale)
            return [polls[i + 1][0] - polls[i][1] for i in stale]

        gaps = play(scene)
        assert max(gaps) < 0.2, gaps

    def test_forwards_heartbeats_while_it_can(self) -> None:
        """The link from the primary is cut, but the links to another member work."""

        async def scene(fleet: Fleet) -> None:
            primary, backup, other_members = await settle(fleet)
            isolated_member = other_members[0]
            cut(fleet, primary.settings.name, [isolated_member.settings.name])
            await asyncio.sleep(contact_lease(isolated_member) + 0.1)
            started_at = fleet.loop.clock
            response = await fleet.ask(
                isolated_member.settings.name, lambda c: c.record_worker_heartbeat("w2", worker_announcement(2), 1)
            )
            assert response.is_ok() and fleet.loop.clock - started_at < 1.0, (response, fleet.loop.clock - started_at)
            assert "w2" in primary.replicated_state.state.configuration["pools"]["llm"]["servers"]

        play(scene)

    def test_is_in_touch_again_as_soon_as_it_hears_the_primary(self) -> None:
        async def scene(fleet: Fleet) -> float:
            _, _, other_members = await settle(fleet)
            isolated_member = other_members[0]
            cut(
                fleet,
                isolated_member.settings.name,
                [n for n in names(fleet.controls()) if n != isolated_member.settings.name],
            )
            await asyncio.sleep(20)
            heal(fleet)
            started_at = fleet.loop.clock
            poll = {"after": isolated_member.configuration_view.revision, "wait": 0.0, "who": "e1"}
            while True:
                response = (await fleet.ask(isolated_member.settings.name, lambda c: c.on_follow(poll))).unwrap()
                if not response.get("stale"):
                    return fleet.loop.clock - started_at
                await asyncio.sleep(0.05)

        assert play(scene) < 3.0

    def test_a_primary_that_was_cut_off_delays_no_client(self) -> None:
        """It runs for election all the time, but no client waits for that."""

        async def scene(fleet: Fleet) -> float:
            primary, _, _ = await settle(fleet)
            cut(fleet, primary.settings.name, [n for n in names(fleet.controls()) if n != primary.settings.name])
            await asyncio.sleep(2 * contact_lease(primary) + 0.1)
            slowest = 0.0
            for _ in range(40):
                started_at = fleet.loop.clock
                response = await fleet.ask(primary.settings.name, lambda c: c.read_document())
                assert response.unwrap_err().code == 503
                slowest = max(slowest, fleet.loop.clock - started_at)
                await asyncio.sleep(0.2)
            return slowest

        assert play(scene, control=4) < 0.2


class Test_WithoutControl:
    def test_the_data_plane_serves_on_and_a_daemon_that_starts_serves_in_bounded_time(self) -> None:
        """No control member is left, or a single one that can't lead: machines must still serve, and start, without control."""

        async def scene(fleet: Fleet, members_left: int) -> tuple[int, float, int]:
            primary, backup, other_members = await settle(fleet)
            for control in [primary, backup, *other_members][: fleet.control - members_left]:
                fleet.kill(control.settings.name, silent=True)
            await asyncio.sleep(20)
            edges = [n.daemon for n in fleet.nodes.values() if n.settings.duties == ("edge",)]
            for edge in edges:
                assert edge is not None and edge.ready() == ""
                assert fleet.loop.clock - edge.configuration_view.last_contact < edge.settings.bounds.isolation_time
            revision = max(e.configuration_view.revision for e in edges if e is not None)
            fleet.kill("e1")
            fleet.boot("e1")
            node = fleet.nodes["e1"]

            def view_is_fresh() -> bool:
                return node.daemon is not None and node.daemon.configuration_view.fresh

            elapsed = await fleet.until(view_is_fresh, 15)
            assert node.daemon is not None
            return node.daemon.configuration_view.revision, elapsed, revision

        for members_left in (0, 1):
            edge_revision, elapsed, revision = play(lambda fleet: scene(fleet, members_left))  # noqa: B023
            assert edge_revision == revision and 0 <= elapsed < 6.0, (members_left, edge_revision, revision, elapsed)


class Test_ProposedState:
    """Hazard 5: a state that the primary has proposed, but that is lost before it is committed."""

    def test_is_no_reason_for_an_answer_before_it_is_committed(self) -> None:
        """The primary is asked while the backup's disk doesn't finish a write.

        Then both lose power, and the backup leads from the state before that write, so no answer may rest on the write.
        """

        async def scene(fleet: Fleet) -> None:
            primary, backup, _ = await settle(fleet)
            name = primary.settings.name
            assert (await fleet.ask(name, lambda c: c.retire("s1"))).is_ok()
            for _ in range(100):
                configuration = primary.configuration_view.manifest
                assert configuration is not None
                if await fleet.ask(name, lambda c, configuration=configuration: c.is_emptied("s1", configuration)):  # type: ignore[misc]
                    break
                await asyncio.sleep(0.2)
            disk = fleet.nodes[backup.settings.name].disk
            assert disk is not None
            disk.stall = 1e6
            first = asyncio.create_task(fleet.ask(name, lambda c: c.query_retirement("s1")))
            await asyncio.sleep(0.1)
            status = (await fleet.ask(name, lambda c: c.more_status()))["control"]
            second = asyncio.create_task(fleet.ask(name, lambda c: c.query_retirement("s1")))
            await asyncio.sleep(0.1)
            answers = [t.result() for t in (first, second) if t.done()]
            revision = primary.configuration_view.revision
            fleet.kill(name, silent=True)
            fleet.kill(backup.settings.name, silent=True)
            disk.power_off()
            disk.stall = 0.0
            fleet.first = False
            fleet.boot(backup.settings.name)
            assert await fleet.until(fleet.primary, 20) >= 0
            new_primary = fleet.primary()
            assert new_primary is not None
            retirement_lost = "s1" not in new_primary.replicated_state.state.retired
            assert retirement_lost and not any(g.is_ok() and g.unwrap()["done"] for g in answers), answers
            assert status["committed"] == revision, (status, revision)

        play(scene, stores=5)


class Test_SenderHeardThroughOneMember:
    """Hazard 7: an edge whose polls reach only a member that is itself cut off from the primary."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize("isolated_for", [0.5, 2.0, 4.0])
    def test_has_a_leaving_workers_version_before_the_acknowledgement(self, isolated_for: float, seed: int) -> None:
        async def scene(fleet: Fleet) -> tuple[bool, float]:
            primary, backup, other_members = await settle(fleet)
            only_listener = other_members[0]
            worker = asyncio.create_task(send_heartbeats(fleet, primary.settings.name, "w1"))
            cut(fleet, "e4", [primary.settings.name, backup.settings.name])
            await asyncio.sleep(4)
            cut(fleet, only_listener.settings.name, [primary.settings.name, backup.settings.name])
            await asyncio.sleep(isolated_for)
            worker.cancel()
            edge = fleet.nodes["e4"].daemon
            assert edge is not None and edge.configuration_view.manifest is not None
            assert "w1" in edge.configuration_view.manifest["pools"]["llm"]["servers"]
            started_at = fleet.loop.clock
            response = await fleet.ask(
                primary.settings.name, lambda c: c.record_worker_heartbeat("w1", worker_announcement(1, leave=True), 99)
            )
            elapsed = fleet.loop.clock - started_at
            assert response.is_ok()
            return bool(edge.configuration_view.manifest["pools"]["llm"]["servers"]["w1"].get("leave")), elapsed

        edge_knows, elapsed = play(scene, seed)
        bound = 2.0 / 6
        assert edge_knows and elapsed < bound + 0.1, (edge_knows, elapsed)

    def test_a_sender_that_is_gone_is_not_waited_for_long(self) -> None:
        """All control members are in touch, so their reports soon show that no member hears the dead edge any more."""

        async def scene(fleet: Fleet) -> float:
            primary, _, _ = await settle(fleet)
            fleet.kill("e4", silent=True)
            await asyncio.sleep(3)
            started_at = fleet.loop.clock
            response = await fleet.ask(
                primary.settings.name, lambda c: c.record_worker_heartbeat("w1", worker_announcement(1, leave=True), 2)
            )
            assert response.is_ok()
            return fleet.loop.clock - started_at

        assert play(scene) < 0.1
