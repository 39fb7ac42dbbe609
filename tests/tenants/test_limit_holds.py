"""The limit of a tenant holds in every window, whatever happens to edges, homes and messages.

Broken variants of the code exceed the limit, which shows that these tests would detect such faults.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from typing import Any
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from postpass.tenants.edge_share import EdgeShare
from postpass.tenants.limits import STARTING_EXTRA, tenant_limit
from postpass.tenants.share_ledger import ShareLedger
from postpass.tenants.share_service import ShareService
from sim.loop import SimLoop, run_sim
from tests.tenants.share_world import SLACK, Terms, World, most_in_window

TERMS = Terms(60, 30)
EDGES, HOMES = 4, 3
SECONDS = 20.0
FLOOD = 5.0  # times the limit


@dataclass(frozen=True)
class Fault:
    """A fault that happens at the time `at` to an edge or a home, for some seconds."""

    at: float
    kind: str
    index: int
    seconds: float


KINDS = ("freeze edge", "restart edge", "cut edge", "freeze home", "cut home", "take over", "move")
faults = st.builds(
    Fault,
    at=st.floats(1, SECONDS - 2),
    kind=st.sampled_from(KINDS),
    index=st.integers(0, EDGES - 1),
    seconds=st.floats(0.01, 8),
)


def apply(world: World, fault: Fault) -> None:
    edge, home = f"e{fault.index}", f"s{fault.index % HOMES}"
    match fault.kind:
        case "freeze edge":
            world.freeze(edge, fault.seconds)
        case "restart edge":
            world.boot(edge)
        case "cut edge":
            world.cut(edge, fault.seconds)
        case "freeze home":
            world.freeze(home, fault.seconds)
        case "cut home":
            world.cut(home, fault.seconds)
        case "take over":
            world.take_over(home)


async def flood(world: World, shares: list[float]) -> None:
    """Sends several times the limit, divided among the edges by shares that move on by one edge each second."""
    for second in range(int(SECONDS)):
        rates = {f"e{n}": TERMS.rate * FLOOD * shares[(n + second) % EDGES] / sum(shares) for n in range(EDGES)}
        await world.load("t", rates, 1.0)


def play(seed: int, plan: list[Fault], loss: float, shares: list[float]) -> int:
    """Returns the most requests that ran in any window of a run with these faults."""

    async def main(loop: SimLoop) -> int:
        world = World(loop, seed, {"t": TERMS}, EDGES, HOMES, latency=0.004, loss=loss)
        for fault in plan:
            loop.call_later(fault.at, apply, world, fault)
        await flood(world, shares)
        return most_in_window(world.ran["t"])

    return int(run_sim(main, seed))


@settings(max_examples=25, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 2**20),
    plan=st.lists(faults, max_size=8),
    loss=st.sampled_from([0.0, 0.02, 0.2]),
    shares=st.lists(st.floats(0.01, 1), min_size=EDGES, max_size=EDGES),
)
def test_no_window_sees_more_than_the_limit_allows(
    seed: int, plan: list[Fault], loss: float, shares: list[float]
) -> None:
    worst = play(seed, plan, loss, shares)
    assert worst <= TERMS.max_per_window
    # Exactly what may be handed out, and what each new home starts with; the rest of the guarantee is for clocks that run at
    # different speeds.
    limit = tenant_limit({"keys": [], "rate": TERMS.rate, "burst": TERMS.burst}, SLACK)
    assert limit is not None
    homes = 1 + sum(fault.kind == "take over" for fault in plan)
    assert worst <= limit.rate * SLACK.window + limit.burst + homes * SLACK.extra * STARTING_EXTRA


# --- scenarios in which a broken variant lets too many requests run


async def silent_edges(world: World) -> None:
    """Three edges are cut off, and all their requests go to the fourth."""
    await world.load("t", even(), 4.0)
    for number in range(EDGES - 1):
        world.cut(f"e{number}", 12.0)
    await world.load("t", even(2.0), 12.0)


async def silent_edges_and_a_new_home(world: World) -> None:
    """Three edges are cut off while the home changes, so that the new home can't know what they hold."""
    await world.load("t", even(), 4.0)
    for number in range(EDGES - 1):
        world.cut(f"e{number}", 12.0)
    world.take_over("s1", deposed_knows=True)
    await world.load("t", even(2.0), 6.0)


async def two_homes(world: World) -> None:
    """Half of the edges reach only the old home, which doesn't know that there is a new one; the others only the new one."""
    await world.load("t", even(), 4.0)
    for edge in ("e0", "e1"):
        world.blocked |= {("s1", edge), (edge, "s1"), ("s2", edge), (edge, "s2")}
    for edge in ("e2", "e3"):
        world.blocked |= {("s0", edge), (edge, "s0")}
    world.take_over("s1")
    await world.load("t", even(2.0), 14.0)


async def lost_answers(world: World) -> None:
    """One edge has the full share; then others want it too, but responses to the first one are lost."""
    await world.load("t", {"e0": TERMS.rate * FLOOD}, 4.0)
    world.blocked |= {(f"s{number}", "e0") for number in range(HOMES)}
    await world.load("t", even(2.0), 6.0)


async def frozen_edges(world: World) -> None:
    """Three edges are frozen during their share requests, until the fourth one has got all that they had.

    The responses have arrived by then, but after that the three edges are cut off.
    """
    await world.load("t", even(), 4.0)
    for number in range(EDGES - 1):
        shares = world.nodes[f"e{number}"].shares
        assert shares is not None
        while not shares.pending_requests:
            world.send(f"e{number}", "t")
            await asyncio.sleep(0.001)
        world.freeze(f"e{number}", 8.0)
    await asyncio.sleep(0.5)
    for number in range(EDGES - 1):
        world.cut(f"e{number}", 14.0)
    await world.load("t", even(2.0), 12.0)


def even(factor: float = 1.0) -> dict[str, float]:
    """Returns the same rate for each edge, several times the limit in total."""
    return {f"e{number}": TERMS.rate * FLOOD * factor / EDGES for number in range(EDGES)}


Scenario = Callable[[World], Coroutine[Any, Any, None]]
SCENARIOS: list[Scenario] = [silent_edges, silent_edges_and_a_new_home, two_homes, lost_answers, frozen_edges]


def worst_window(scenario: Scenario, latency: float = 0.004) -> int:
    """Returns the most requests that ran in any window of a scenario."""

    async def main(loop: SimLoop) -> int:
        world = World(loop, 7, {"t": TERMS}, EDGES, HOMES, latency=latency)
        await scenario(world)
        return most_in_window(world.ran["t"])

    return int(run_sim(main, 7))


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_no_window_of_a_scenario_sees_more_than_the_limit_allows(scenario: Scenario) -> None:
    assert worst_window(scenario) <= TERMS.max_per_window


def forget_end(share: EdgeShare, limit: Any, now: float) -> None:
    """Broken: tokens are taken from a share after it has expired."""
    share.expires_at = max(share.expires_at, now + 1.0) if share.rate else share.expires_at
    ACCRUE(share, limit, now)


def lease_from_answer(share: EdgeShare, grant: Any, limit: Any, now: float) -> bool:
    """Broken: the lease of a share starts when the response arrives, not when the request was made."""
    share.requested_at = now
    return APPLY(share, grant, limit, now)


def settle_at_once(_service: ShareService, home: Any) -> bool:
    """Broken: a new home ignores what the former home granted."""
    home.settled_at = home.began_at if home.settled_at is None else home.settled_at
    return True


def count_last_grant_only(ledger: ShareLedger, *args: Any) -> Any:
    """Broken: a home counts the reduced share before the edge knows of the reduction."""
    grant = GRANT(ledger, *args)
    holder = ledger.holders[args[0]]
    holder.shares = holder.shares[-1:]
    return grant


def debit_nothing(ledger: ShareLedger, given: float) -> None:
    """Broken: granted tokens are not deducted at the home."""


def keep_old_tokens(share: EdgeShare, grant: Any, limit: Any, now: float) -> bool:
    """Broken: the tokens of the former share are kept, and those of a full new one are added."""
    return APPLY(share, replace(grant, tokens=grant.burst), limit, now)


async def confirm_without_check(_store: Any, _partition: Any) -> bool:
    """Broken: a home grants shares without confirming that it is still the home."""
    return True


ACCRUE, APPLY, GRANT = EdgeShare.accrue, EdgeShare.apply, ShareLedger.grant


MUTANTS: dict[str, tuple[Scenario, str, Callable[..., Any]]] = {
    "spends after the end": (silent_edges, "postpass.tenants.edge_share.EdgeShare.accrue", forget_end),
    "lease from the answer": (frozen_edges, "postpass.tenants.edge_share.EdgeShare.apply", lease_from_answer),
    "settles at once": (
        silent_edges_and_a_new_home, "postpass.tenants.share_service.ShareService._is_settled", settle_at_once,
    ),
    "counts the last grant only": (
        lost_answers, "postpass.tenants.share_ledger.ShareLedger.grant", count_last_grant_only,
    ),
    "debits nothing": (silent_edges, "postpass.tenants.share_ledger.ShareLedger._withdraw", debit_nothing),
    "fresh bucket": (silent_edges, "postpass.tenants.edge_share.EdgeShare.apply", keep_old_tokens),
    "confirms never": (two_homes, "tests.tenants.share_world.StoreStandIn.confirm", confirm_without_check),
}  # fmt: skip


@pytest.mark.parametrize("name", MUTANTS)
def test_a_broken_variant_exceeds_the_limit(name: str) -> None:
    scenario, target, broken = MUTANTS[name]
    with mock.patch(target, broken):
        assert worst_window(scenario) > TERMS.max_per_window
