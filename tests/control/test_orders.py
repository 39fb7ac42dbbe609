"""Operators that change the configuration while control members fail: eight orders at once, half of the answers lost."""

from __future__ import annotations

import asyncio
import copy
import json
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace
from typing import Any

import pytest
from result import Err, Ok, Result

from postpass.configuration import accepted_orders
from postpass.configuration.accepted_orders import DIGEST_LENGTH, ConfigurationOrder, Recollection
from postpass.control.configuration import ConfigurationChange
from postpass.control.daemon import ControlPlane
from postpass.daemon.process import Daemon
from postpass.membership.registry import State
from postpass.runtime.errors import PRECONDITION_FAILED, Fault
from sim.disk import SimDisk
from sim.linearizability import Outcome, Verdict, check
from sim.loop import SimLoop, run_sim
from tests.platform.test_configuration import document
from tests.platform.test_settings import adapter
from tests.support.announced import Fleet
from tests.support.recording_operators import ANSWER_S, NO_ANSWER, RecordingOperators, Reply, patch, put

OPERATORS = 8
ISOLATION_S = 20.0  # for which members are cut off
ORDERS_PER_PHASE = 80  # orders accepted between one disruption and the next


@dataclass(eq=False)
class SimulatedMembers:
    """The control members of a simulated fleet, whose methods are called as their HTTP handlers would call them."""

    fleet: Fleet

    def names(self) -> list[str]:
        return [name for name in self.fleet.nodes if name.startswith("c")]

    async def call(self, member: str, method: str, path: str, body: Any = None, base: int = 0) -> Reply:
        async def send(control: ControlPlane | None) -> Any:
            if control is None:
                return None
            kind, *rest = path.removeprefix("/-/").split("/")
            if kind == "evac":
                return await control.evacuate(rest[0], method == "POST")
            if kind == "retire":
                return await (control.retire(rest[0]) if method == "POST" else control.query_retirement(rest[0]))
            if method == "GET":
                return await control.read_document()
            return await (control.apply_document if method == "PUT" else control.patch_document)(body, base)

        task = asyncio.ensure_future(self.fleet.ask(member, send))
        done, _ = await asyncio.wait({task}, timeout=ANSWER_S)
        if not done or task.result() is None:
            return Reply(NO_ANSWER)
        result = task.result()
        if result.is_err():
            return Reply(adapter("operators").rejection(result.unwrap_err()).status_code)
        return Reply(200, result.unwrap().get("source", result.unwrap()))


def play(scene: Any, seed: int, **sizes: Any) -> Any:
    async def main(loop: SimLoop) -> Any:
        fleet = Fleet(loop, **sizes)
        fleet.start()
        assert await fleet.until(fleet.joined, 10) >= 0
        fleet.first = False
        for node in fleet.nodes.values():
            node.settings = replace(node.settings, bootstrap=False)
        operators = RecordingOperators(SimulatedMembers(fleet), lambda: loop.clock, random.Random(f"operators-{seed}"))
        return await scene(fleet, operators)

    return run_sim(main, seed)


def daemons(fleet: Fleet) -> list[Daemon]:
    return [node.daemon for node in fleet.nodes.values() if node.daemon is not None]


# --- the disruptions of the control members
async def wait_for_settled_primary(fleet: Fleet) -> None:
    """Waits until there is a primary, and then three more seconds, so that it was not elected a moment ago."""
    assert await fleet.until(lambda: fleet.primary() is not None, 20) >= 0
    await asyncio.sleep(3.0)


async def kill_primary(fleet: Fleet) -> None:
    primary = fleet.primary()
    assert primary is not None
    name = primary.settings.name
    fleet.kill(name, silent=True)
    await asyncio.sleep(4.0)
    fleet.boot(name)


async def hand_over(fleet: Fleet) -> None:
    """Stops the primary, which hands over first, and starts it again."""
    primary = fleet.primary()
    assert primary is not None
    name = primary.settings.name
    primary.stop.set()
    assert await fleet.until(lambda: fleet.nodes[name].host.dead, 20) >= 0
    fleet.boot(name)


async def wipe_one_member(fleet: Fleet) -> None:
    """Kills a member other than the primary, and starts it again with an empty disk."""
    primary = fleet.primary()
    name = next(c.settings.name for c in fleet.controls() if c is not primary)
    fleet.kill(name, silent=True)
    fleet.nodes[name].disk = SimDisk(random.Random(f"{name}-wiped"))
    await asyncio.sleep(4.0)
    fleet.boot(name)


async def replace_one_member(fleet: Fleet) -> None:
    """Removes a member other than the primary for good, and adds a new one with an empty disk."""
    primary = fleet.primary()
    name = next(c.settings.name for c in fleet.controls() if c is not primary)
    fleet.kill(name, silent=True)
    zone = fleet.nodes.pop(name).settings.zone
    await asyncio.sleep(4.0)
    seeds = [c.settings.peer for c in fleet.controls()][:3]
    fleet.add("c9", "control", zone, "10.0.29.1", seeds=seeds)
    await asyncio.sleep(6.0)


async def power_off_all(fleet: Fleet) -> None:
    running = fleet.up()
    for name in running:
        fleet.kill(name, silent=True)
    for name in running:
        disk = fleet.nodes[name].disk
        if disk is not None:
            disk.power_off()
    await asyncio.sleep(1.0)
    for name in running:
        fleet.boot(name)


async def cut_off(fleet: Fleet, names: set[str], duration_s: float) -> None:
    """Cuts some members off from all other processes for a while; operators reach both sides."""
    others = set(fleet.nodes) - names
    cuts = {link for isolated in names for other in others for link in ((isolated, other), (other, isolated))}
    fleet.loop.net.cuts |= cuts
    await asyncio.sleep(duration_s)
    fleet.loop.net.cuts -= cuts


async def cut_off_primary(fleet: Fleet) -> None:
    primary = fleet.primary()
    assert primary is not None
    await cut_off(fleet, {primary.settings.name}, ISOLATION_S)


async def cut_off_witness(fleet: Fleet) -> None:
    primary = fleet.primary()
    assert primary is not None
    holders = primary.replicated_state.replica_set.holders
    await cut_off(
        fleet, {next(c.settings.name for c in fleet.controls() if c.settings.name not in holders)}, ISOLATION_S
    )


async def cut_off_holders(fleet: Fleet) -> None:
    """Cuts the primary and its backup off together; they are a minority of five members."""
    primary = fleet.primary()
    assert primary is not None
    await cut_off(fleet, set(primary.replicated_state.replica_set.holders), ISOLATION_S)


Disruption = Callable[[Fleet], Awaitable[None]]
DISRUPTIONS: tuple[Disruption, ...] = (
    kill_primary,
    hand_over,
    wipe_one_member,
    replace_one_member,
    power_off_all,
    wait_for_settled_primary,
)


async def other_orders(operators: RecordingOperators, is_stopped: Any) -> None:
    """Evacuates a zone and reopens it, and retires a store, again and again."""
    while not is_stopped():
        await operators.send_other("POST", "/-/evac/d")
        await asyncio.sleep(0.7)
        await operators.send_other("DELETE", "/-/evac/d")
        await asyncio.sleep(0.7)
        await operators.send_other("POST", "/-/retire/s5", {"overS": 5})
        await operators.send_other("GET", "/-/retire/s5")


async def disrupted_run(
    fleet: Fleet, operators: RecordingOperators, disruptions: Sequence[Disruption] = DISRUPTIONS
) -> tuple[int, list[str], list[str], Verdict]:
    """Runs operators through one disruption after the other, then sends every accepted order again to every member.

    Returns how many orders were accepted, which of them were refused when sent again, which other orders were refused,
    and the verdict on whether the history is linearizable.
    """
    first_order = put(document(1), 0)
    while first_order not in operators.taken:
        await operators.send(first_order)
    stopped: list[bool] = []
    tasks = [
        asyncio.ensure_future(operators.operate(number, first_order.body, lambda: bool(stopped), 0.1))
        for number in range(OPERATORS)
    ]
    tasks.append(asyncio.ensure_future(other_orders(operators, lambda: bool(stopped))))
    for phase, disruption in enumerate(disruptions, 1):
        await wait_for_settled_primary(fleet)
        assert await fleet.until(lambda phase=phase: len(operators.taken) >= phase * ORDERS_PER_PHASE, 120) >= 0
        await disruption(fleet)
    stopped.append(True)
    await asyncio.gather(*tasks)
    resends_refused = await operators.resend_all()
    await operators.read()
    return len(operators.taken), resends_refused, operators.refused_others, check(operators.history)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_taken_order_is_refused_and_the_history_is_linearizable(seed: int) -> None:
    taken, resends_refused, refused_others, verdict = play(disrupted_run, seed, control=4, stores=5, edges=1)
    assert taken >= len(DISRUPTIONS) * ORDERS_PER_PHASE
    assert resends_refused == []
    assert refused_others == []
    assert verdict.linearizable, verdict


@pytest.mark.parametrize(
    ("control", "disruptions"),
    [
        (4, (cut_off_primary, cut_off_witness, wait_for_settled_primary)),
        (5, (cut_off_holders, wait_for_settled_primary)),
    ],
)
def test_no_taken_order_is_refused_by_members_that_were_cut_off(
    control: int, disruptions: Sequence[Disruption]
) -> None:
    """Members are cut off for twenty seconds, while operators reach both sides of the cut all the time."""
    taken, resends_refused, refused_others, verdict = play(
        lambda fleet, operators: disrupted_run(fleet, operators, disruptions), 1, control=control, stores=5, edges=1
    )
    assert taken >= len(disruptions) * ORDERS_PER_PHASE
    assert resends_refused == []
    assert refused_others == []
    assert verdict.linearizable, verdict


def test_an_order_is_known_again_after_forty_others() -> None:
    """Guards against fault D: only the last sixteen accepted orders were remembered, so a resend of an older one failed."""

    async def scene(fleet: Fleet, operators: RecordingOperators) -> list[str]:
        operators.lost_answers = 0.0
        current = document(1)
        await operators.send(put(current, 0))
        for number in range(40):
            if number % 2:
                current = document(current["version"] + 2)
                await operators.send(put(current, current["version"] - 2))
            else:
                change = {"version": current["version"] + 1, "upsert": {"routes": [current["routes"][0]]}}
                sent = patch(change, current)
                await operators.send(sent)
                current = current | {"version": sent.order.version}
        assert len(operators.taken) == 41
        return await operators.resend_all()

    assert play(scene, 1, control=3, edges=1) == []


def test_different_contents_under_one_number_are_told_apart() -> None:
    async def scene(fleet: Fleet, operators: RecordingOperators) -> None:
        operators.lost_answers = 0.0
        first, second = document(1), document(5)
        assert await operators.send(put(first, 0)) is Outcome.TAKEN
        change = {"version": 3, "upsert": {"routes": [first["routes"][1] | {"timeoutMs": 700}]}}
        patch_of_first = patch(change, first)
        assert await operators.send(patch_of_first) is Outcome.TAKEN
        assert await operators.send(put(second, 3)) is Outcome.TAKEN
        # The same version number with other contents: made from the same base as before, from the newest version, and
        # from versions that never existed.
        other = document(3) | {"limits": {"idleMs": 1000}}
        for base in (1, 3, 5, 4, 99):
            assert await operators.send(put(other, base)) is Outcome.REFUSED
        # The same patch on another base would give other contents.
        assert await operators.send(patch(change, second)) is Outcome.REFUSED
        # Identical orders are recognized; a complete configuration is, whatever base it is sent with.
        assert await operators.send(patch_of_first) is Outcome.TAKEN
        assert await operators.send(put(first, 5)) is Outcome.TAKEN
        assert await operators.read() == second
        verdict = check(operators.history)
        assert verdict.linearizable, verdict

    play(scene, 1, control=3, edges=1)


def test_an_invalid_order_is_refused_each_time_and_changes_nothing() -> None:
    async def scene(fleet: Fleet, operators: RecordingOperators) -> None:
        operators.lost_answers = 0.0
        first = document(1)
        await operators.send(put(first, 0))
        invalid = copy.deepcopy(first) | {"version": 2}
        invalid["routes"][1]["service"] = "nowhere"
        for member in ("c1", "c2", "c3", "c1"):
            assert await operators.attempt(put(invalid, 1, valid=False), member) is Outcome.REFUSED
        assert await operators.read() == first
        valid_document = document(2)
        assert await operators.send(put(valid_document, 1)) is Outcome.TAKEN
        assert await operators.send(put(invalid, 1, valid=False)) is Outcome.REFUSED
        assert await operators.read() == valid_document

    play(scene, 1, control=3, edges=1)


def test_evacuations_and_retirements_that_are_sent_again() -> None:
    """Evacuations carry no version: one that was revoked and is sent again is a new order.

    For that reason the platform's operators send them again only for a limited time. A retirement that was accepted is
    acknowledged again, even once it is completed.
    """

    async def scene(fleet: Fleet, operators: RecordingOperators) -> None:
        operators.lost_answers = 0.0

        async def status(method: str, path: str) -> int:
            return await operators.send_other(method, path)

        await operators.send(put(document(1), 0))
        for method in ("POST", "POST", "DELETE", "DELETE", "POST", "DELETE"):
            assert await status(method, "/-/evac/d") == 200
        assert await status("POST", "/-/evac/nowhere") == 404
        assert await status("POST", "/-/retire/nobody") == 404 == await status("GET", "/-/retire/nobody")
        assert await status("POST", "/-/retire/s5") == 200 == await status("POST", "/-/retire/s5")
        members = SimulatedMembers(fleet)
        for _ in range(100):
            if (await members.call("c2", "GET", "/-/retire/s5")).document["done"]:
                break
            await asyncio.sleep(0.2)
        for member in members.names():
            assert (await members.call(member, "GET", "/-/retire/s5")).document["done"]
            assert (await members.call(member, "POST", "/-/retire/s5")).status == 200

    play(scene, 1, control=3, stores=5, edges=1)


def test_remembered_orders_stay_out_of_the_feed() -> None:
    async def scene(fleet: Fleet, operators: RecordingOperators) -> None:
        operators.lost_answers = 0.0
        for version in range(1, 60):
            await operators.send(put(document(version), version - 1))
        primary = fleet.primary()
        assert primary is not None
        revision = primary.configuration_view.revision
        assert (
            await fleet.until(lambda: all(d.configuration_view.revision >= revision for d in daemons(fleet)), 10) >= 0
        )
        orders = [ConfigurationOrder.of(sent.body) for sent in operators.taken]
        assert len(orders) == 59
        for daemon in daemons(fleet):
            feed_text = json.dumps([daemon.configuration_view.manifest, vars(daemon.configuration_view)], default=repr)
            assert not [order for order in orders if order.digest[:DIGEST_LENGTH] in feed_text]

    play(scene, 1, control=3, edges=2)


# --- broken variants of the product: the check for linearizability must catch each of them
async def short_run(fleet: Fleet, operators: RecordingOperators) -> Verdict:
    first_order = put(document(1), 0)
    await operators.send(first_order)
    tasks = [
        operators.operate(number, first_order.body, lambda: len(operators.taken) >= 40, 0.1)
        for number in range(OPERATORS)
    ]
    await asyncio.gather(*tasks)
    await operators.resend_all()
    for member in operators.members.names():
        await operators.read(member)
    return check(operators.history)


def acknowledges_outdated_orders(monkeypatch: pytest.MonkeyPatch) -> None:
    """Acknowledges two orders for one version: an order made from an outdated version is acknowledged, not refused."""
    original = ConfigurationChange.__call__

    def apply(self: ConfigurationChange, state: State) -> Result[State, Fault]:
        result = original(self, state)
        return Ok(state) if isinstance(result, Err) and result.unwrap_err().code == PRECONDITION_FAILED else result

    monkeypatch.setattr(ConfigurationChange, "__call__", apply)


def reads_an_old_version(monkeypatch: pytest.MonkeyPatch) -> None:
    """Stale read: one member answers with the result of ten reads ago."""
    original = ControlPlane.read_document
    reads: list[Any] = []

    async def read_document(self: ControlPlane) -> Any:
        reads.append(await original(self))
        return reads[max(0, len(reads) - 10)] if self.settings.name == "c2" else reads[-1]

    monkeypatch.setattr(ControlPlane, "read_document", read_document)


def forgets_accepted_orders(monkeypatch: pytest.MonkeyPatch) -> None:
    """Refuses an accepted order that is sent again, since it is not recognized."""
    monkeypatch.setattr(accepted_orders, "recall", lambda *_: Recollection.NOT_ACCEPTED)


def loses_writes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lost write: some orders are acknowledged, but not carried out."""
    original = ConfigurationChange.__call__

    def apply(self: ConfigurationChange, state: State) -> Result[State, Fault]:
        result = original(self, state)
        return Ok(state) if isinstance(result, Ok) and self.order.version % 7 == 0 else result

    monkeypatch.setattr(ConfigurationChange, "__call__", apply)


@pytest.mark.parametrize(
    "break_product", [None, acknowledges_outdated_orders, reads_an_old_version, forgets_accepted_orders, loses_writes]
)
def test_a_product_that_breaks_linearizability_is_caught(break_product: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    if break_product is not None:
        break_product(monkeypatch)
    assert play(short_run, 1, control=3, edges=1).linearizable == (break_product is None)
