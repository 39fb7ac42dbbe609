"""Operators at work while control members fail: eight orders at once, half of the answers lost."""

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
from postpass.runtime.errors import OLD, Fault
from sim.disk import SimDisk
from sim.linearizability import Outcome, Verdict, check
from sim.loop import SimLoop, run_sim
from tests.platform.test_configuration import document
from tests.platform.test_settings import adapter
from tests.support.announced import Fleet
from tests.support.recording_operators import ANSWER_S, NO_ANSWER, RecordingOperators, Reply, patch, put

OPERATORS = 8
CUT_S = 20.0
ORDERS_A_PHASE = 80  # taken between one strike and the next


@dataclass(eq=False)
class SimulatedMembers:
    """The control members of a simulated fleet, called as their HTTP side would be."""

    fleet: Fleet

    def names(self) -> list[str]:
        return [name for name in self.fleet.nodes if name.startswith("c")]

    async def call(self, member: str, method: str, path: str, body: Any = None, base: int = 0) -> Reply:
        async def ask(control: ControlPlane | None) -> Any:
            if control is None:
                return None
            kind, *rest = path.removeprefix("/-/").split("/")
            if kind == "evac":
                return await control.evacuate(rest[0], method == "POST")
            if kind == "retire":
                return await (control.retire(rest[0]) if method == "POST" else control.retired(rest[0]))
            if method == "GET":
                return await control.read_source()
            return await (control.apply_source if method == "PUT" else control.patch_source)(body, base)

        task = asyncio.ensure_future(self.fleet.ask(member, ask))
        done, _ = await asyncio.wait({task}, timeout=ANSWER_S)
        if not done or task.result() is None:
            return Reply(NO_ANSWER)
        got = task.result()
        if got.is_err():
            return Reply(adapter("operators").rejection(got.unwrap_err()).status_code)
        return Reply(200, got.unwrap().get("source", got.unwrap()))


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


# --- what strikes the control members
async def settled(fleet: Fleet) -> None:
    """There is a primary, and it was not elected a moment ago."""
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
    """The primary is told to leave, and comes back."""
    primary = fleet.primary()
    assert primary is not None
    name = primary.settings.name
    primary.stop.set()
    assert await fleet.until(lambda: fleet.nodes[name].host.dead, 20) >= 0
    fleet.boot(name)


async def wipe_one(fleet: Fleet) -> None:
    """A member other than the primary loses its disk."""
    primary = fleet.primary()
    name = next(c.settings.name for c in fleet.controls() if c is not primary)
    fleet.kill(name, silent=True)
    fleet.nodes[name].disk = SimDisk(random.Random(f"{name}-wiped"))
    await asyncio.sleep(4.0)
    fleet.boot(name)


async def replace_one(fleet: Fleet) -> None:
    """A member goes for good, and an empty one comes."""
    primary = fleet.primary()
    name = next(c.settings.name for c in fleet.controls() if c is not primary)
    fleet.kill(name, silent=True)
    zone = fleet.nodes.pop(name).settings.zone
    await asyncio.sleep(4.0)
    seeds = [c.settings.peer for c in fleet.controls()][:3]
    fleet.add("c9", "control", zone, "10.0.29.1", seeds=seeds)
    await asyncio.sleep(6.0)


async def power_off_all(fleet: Fleet) -> None:
    up = fleet.up()
    for name in up:
        fleet.kill(name, silent=True)
    for name in up:
        disk = fleet.nodes[name].disk
        if disk is not None:
            disk.power_off()
    await asyncio.sleep(1.0)
    for name in up:
        fleet.boot(name)


async def cut_off(fleet: Fleet, names: set[str], span: float) -> None:
    """Some members and all other processes can't reach each other for a while; operators reach both sides."""
    others = set(fleet.nodes) - names
    cuts = {pair for one in names for two in others for pair in ((one, two), (two, one))}
    fleet.loop.net.cuts |= cuts
    await asyncio.sleep(span)
    fleet.loop.net.cuts -= cuts


async def cut_off_primary(fleet: Fleet) -> None:
    primary = fleet.primary()
    assert primary is not None
    await cut_off(fleet, {primary.settings.name}, CUT_S)


async def cut_off_witness(fleet: Fleet) -> None:
    primary = fleet.primary()
    assert primary is not None
    holders = primary.replicated_state.replica_set.holders
    await cut_off(fleet, {next(c.settings.name for c in fleet.controls() if c.settings.name not in holders)}, CUT_S)


async def cut_off_holders(fleet: Fleet) -> None:
    """Primary and backups, a minority of five members, are cut off together."""
    primary = fleet.primary()
    assert primary is not None
    await cut_off(fleet, set(primary.replicated_state.replica_set.holders), CUT_S)


Strike = Callable[[Fleet], Awaitable[None]]
STRIKES: tuple[Strike, ...] = (kill_primary, hand_over, wipe_one, replace_one, power_off_all, settled)


async def other_orders(operators: RecordingOperators, stop: Any) -> None:
    """Evacuations that are taken back, and a store that is retired, over and over."""
    while not stop():
        await operators.send_other("POST", "/-/evac/d")
        await asyncio.sleep(0.7)
        await operators.send_other("DELETE", "/-/evac/d")
        await asyncio.sleep(0.7)
        await operators.send_other("POST", "/-/retire/s5", {"overS": 5})
        await operators.send_other("GET", "/-/retire/s5")


async def busy_day(
    fleet: Fleet, operators: RecordingOperators, strikes: Sequence[Strike] = STRIKES
) -> tuple[int, list[str], list[str], Verdict]:
    """Operators at work through one strike after the other; then every taken order again at every member."""
    first = put(document(1), 0)
    while first not in operators.taken:
        await operators.send(first)
    over: list[bool] = []
    jobs = [asyncio.ensure_future(operators.operate(n, first.body, lambda: bool(over), 0.1)) for n in range(OPERATORS)]
    jobs.append(asyncio.ensure_future(other_orders(operators, lambda: bool(over))))
    for phase, strike in enumerate(strikes, 1):
        await settled(fleet)
        assert await fleet.until(lambda phase=phase: len(operators.taken) >= phase * ORDERS_A_PHASE, 120) >= 0
        await strike(fleet)
    over.append(True)
    await asyncio.gather(*jobs)
    refused = await operators.resend_all()
    await operators.read()
    return len(operators.taken), refused, operators.refused_others, check(operators.history)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_taken_order_is_refused_and_the_history_is_linearizable(seed: int) -> None:
    taken, refused, refused_others, verdict = play(busy_day, seed, control=4, stores=5, edges=1)
    assert taken >= len(STRIKES) * ORDERS_A_PHASE
    assert refused == []
    assert refused_others == []
    assert verdict.linearizable, verdict


@pytest.mark.parametrize(
    ("control", "strikes"), [(4, (cut_off_primary, cut_off_witness, settled)), (5, (cut_off_holders, settled))]
)
def test_no_taken_order_is_refused_by_members_that_were_cut_off(control: int, strikes: Sequence[Strike]) -> None:
    """Operators reach both sides of a cut of twenty seconds all the time."""
    taken, refused, refused_others, verdict = play(
        lambda fleet, operators: busy_day(fleet, operators, strikes), 1, control=control, stores=5, edges=1
    )
    assert taken >= len(strikes) * ORDERS_A_PHASE
    assert refused == []
    assert refused_others == []
    assert verdict.linearizable, verdict


def test_an_order_is_known_again_after_forty_others() -> None:
    """Fault D: only sixteen accepted orders were remembered."""

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
        on_first = patch(change, first)
        assert await operators.send(on_first) is Outcome.TAKEN
        assert await operators.send(put(second, 3)) is Outcome.TAKEN
        # The same number with other contents, on the base of then, on the newest, and on one that never was.
        other = document(3) | {"limits": {"idleMs": 1000}}
        for base in (1, 3, 5, 4, 99):
            assert await operators.send(put(other, base)) is Outcome.REFUSED
        # The same change on another base would make other contents.
        assert await operators.send(patch(change, second)) is Outcome.REFUSED
        # The very same ones are known again; a whole configuration whatever it is said to build on.
        assert await operators.send(on_first) is Outcome.TAKEN
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
        bad = copy.deepcopy(first) | {"version": 2}
        bad["routes"][1]["service"] = "nowhere"
        for member in ("c1", "c2", "c3", "c1"):
            assert await operators.attempt(put(bad, 1, valid=False), member) is Outcome.REFUSED
        assert await operators.read() == first
        good = document(2)
        assert await operators.send(put(good, 1)) is Outcome.TAKEN
        assert await operators.send(put(bad, 1, valid=False)) is Outcome.REFUSED
        assert await operators.read() == good

    play(scene, 1, control=3, edges=1)


def test_evacuations_and_retirements_that_are_sent_again() -> None:
    """They carry no version: one that was taken back and is sent again is a new order, so the platform's operators send
    them again only for a limited time. A retirement that was taken is acknowledged again, also once it is done."""

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


def test_the_memory_stays_out_of_the_feed() -> None:
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
            fed = json.dumps([daemon.configuration_view.manifest, vars(daemon.configuration_view)], default=repr)
            assert not [order for order in orders if order.digest[:DIGEST_LENGTH] in fed]

    play(scene, 1, control=3, edges=2)


# --- ways in which the product would break the register, each seen by the checker
async def short_day(fleet: Fleet, operators: RecordingOperators) -> Verdict:
    first = put(document(1), 0)
    await operators.send(first)
    jobs = [operators.operate(n, first.body, lambda: len(operators.taken) >= 40, 0.1) for n in range(OPERATORS)]
    await asyncio.gather(*jobs)
    await operators.resend_all()
    for member in operators.members.names():
        await operators.read(member)
    return check(operators.history)


def acknowledges_losers(mp: pytest.MonkeyPatch) -> None:
    """Double acknowledgement: whoever builds on an old version is told that it won."""
    plain = ConfigurationChange.__call__

    def call(self: ConfigurationChange, state: State) -> Result[State, Fault]:
        got = plain(self, state)
        return Ok(state) if isinstance(got, Err) and got.unwrap_err().code == OLD else got

    mp.setattr(ConfigurationChange, "__call__", call)


def reads_an_old_version(mp: pytest.MonkeyPatch) -> None:
    """Stale read: one member answers with what it read ten reads ago."""
    plain = ControlPlane.read_source
    seen: list[Any] = []

    async def read_source(self: ControlPlane) -> Any:
        seen.append(await plain(self))
        return seen[max(0, len(seen) - 10)] if self.settings.name == "c2" else seen[-1]

    mp.setattr(ControlPlane, "read_source", read_source)


def forgets_what_it_took(mp: pytest.MonkeyPatch) -> None:
    """Refused resend."""
    mp.setattr(accepted_orders, "recall", lambda *_: Recollection.NOT_ACCEPTED)


def loses_writes(mp: pytest.MonkeyPatch) -> None:
    """Lost write: some orders are acknowledged and not carried out."""
    plain = ConfigurationChange.__call__

    def call(self: ConfigurationChange, state: State) -> Result[State, Fault]:
        got = plain(self, state)
        return Ok(state) if isinstance(got, Ok) and self.order.version % 7 == 0 else got

    mp.setattr(ConfigurationChange, "__call__", call)


@pytest.mark.parametrize(
    "broken", [None, acknowledges_losers, reads_an_old_version, forgets_what_it_took, loses_writes]
)
def test_a_product_that_breaks_the_register_is_caught(broken: Any, monkeypatch: pytest.MonkeyPatch) -> None:
    if broken is not None:
        broken(monkeypatch)
    assert play(short_day, 1, control=3, edges=1).linearizable == (broken is None)
