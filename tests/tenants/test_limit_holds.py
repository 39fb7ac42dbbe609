"""The limit of a tenant holds in every window, whatever happens to edges, homes and messages; and broken variants don't."""

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
class Trouble:
    """Something that happens in the world at a time: to an edge or a home, for some seconds."""

    at: float
    kind: str
    index: int
    seconds: float


KINDS = ("freeze edge", "restart edge", "cut edge", "freeze home", "cut home", "take over", "move")
troubles = st.builds(
    Trouble,
    at=st.floats(1, SECONDS - 2),
    kind=st.sampled_from(KINDS),
    index=st.integers(0, EDGES - 1),
    seconds=st.floats(0.01, 8),
)


def apply(world: World, trouble: Trouble) -> None:
    edge, home = f"e{trouble.index}", f"s{trouble.index % HOMES}"
    match trouble.kind:
        case "freeze edge":
            world.freeze(edge, trouble.seconds)
        case "restart edge":
            world.boot(edge)
        case "cut edge":
            world.cut(edge, trouble.seconds)
        case "freeze home":
            world.freeze(home, trouble.seconds)
        case "cut home":
            world.cut(home, trouble.seconds)
        case "take over":
            world.take_over(home)


async def flood(world: World, shares: list[float]) -> None:
    """Several times the limit, divided among the edges; the division turns by one edge each second."""
    for second in range(int(SECONDS)):
        rates = {f"e{n}": TERMS.rate * FLOOD * shares[(n + second) % EDGES] / sum(shares) for n in range(EDGES)}
        await world.load("t", rates, 1.0)


def play(seed: int, plan: list[Trouble], loss: float, shares: list[float]) -> int:
    """The most requests that ran in any window of a day with these troubles."""

    async def main(loop: SimLoop) -> int:
        world = World(loop, seed, {"t": TERMS}, EDGES, HOMES, latency=0.004, loss=loss)
        for trouble in plan:
            loop.call_later(trouble.at, apply, world, trouble)
        await flood(world, shares)
        return most_in_window(world.ran["t"])

    return int(run_sim(main, seed))


@settings(max_examples=25, deadline=None, derandomize=True)
@given(
    seed=st.integers(0, 2**20),
    plan=st.lists(troubles, max_size=8),
    loss=st.sampled_from([0.0, 0.02, 0.2]),
    shares=st.lists(st.floats(0.01, 1), min_size=EDGES, max_size=EDGES),
)
def test_no_window_sees_more_than_the_limit_allows(
    seed: int, plan: list[Trouble], loss: float, shares: list[float]
) -> None:
    worst = play(seed, plan, loss, shares)
    assert worst <= TERMS.most
    # Exactly what may be handed out, and what each new home starts with; the rest of the promise is for clocks.
    limit = tenant_limit({"keys": [], "rate": TERMS.rate, "burst": TERMS.burst}, SLACK)
    assert limit is not None
    homes = 1 + sum(trouble.kind == "take over" for trouble in plan)
    assert worst <= limit.rate * SLACK.window + limit.burst + homes * SLACK.extra * STARTING_EXTRA


# --- days on which a broken variant lets too much run


async def silent_edges(world: World) -> None:
    """Three edges are cut off, and all that they had comes to the fourth."""
    await world.load("t", even(), 4.0)
    for number in range(EDGES - 1):
        world.cut(f"e{number}", 12.0)
    await world.load("t", even(2.0), 12.0)


async def silent_edges_and_a_new_home(world: World) -> None:
    """Three edges are cut off as the home changes: the new one can't know what they hold."""
    await world.load("t", even(), 4.0)
    for number in range(EDGES - 1):
        world.cut(f"e{number}", 12.0)
    world.take_over("s1", deposed_knows=True)
    await world.load("t", even(2.0), 6.0)


async def two_homes(world: World) -> None:
    """Half of the edges reach the old home alone, which doesn't know that there is a new one, half the new one."""
    await world.load("t", even(), 4.0)
    for edge in ("e0", "e1"):
        world.blocked |= {("s1", edge), (edge, "s1"), ("s2", edge), (edge, "s2")}
    for edge in ("e2", "e3"):
        world.blocked |= {("s0", edge), (edge, "s0")}
    world.take_over("s1")
    await world.load("t", even(2.0), 14.0)


async def lost_answers(world: World) -> None:
    """One edge has all; then others want it too, but it hears no answers any more."""
    await world.load("t", {"e0": TERMS.rate * FLOOD}, 4.0)
    world.blocked |= {(f"s{number}", "e0") for number in range(HOMES)}
    await world.load("t", even(2.0), 6.0)


async def frozen_edges(world: World) -> None:
    """Three edges are frozen in the middle of their questions, until the fourth has all that they had. The answers have
    come by then, but nothing else reaches them."""
    await world.load("t", even(), 4.0)
    for number in range(EDGES - 1):
        shares = world.nodes[f"e{number}"].shares
        assert shares is not None
        while not shares.asking:
            world.send(f"e{number}", "t")
            await asyncio.sleep(0.001)
        world.freeze(f"e{number}", 8.0)
    await asyncio.sleep(0.5)
    for number in range(EDGES - 1):
        world.cut(f"e{number}", 14.0)
    await world.load("t", even(2.0), 12.0)


def even(factor: float = 1.0) -> dict[str, float]:
    """The same flood at each edge."""
    return {f"e{number}": TERMS.rate * FLOOD * factor / EDGES for number in range(EDGES)}


Day = Callable[[World], Coroutine[Any, Any, None]]
DAYS: list[Day] = [silent_edges, silent_edges_and_a_new_home, two_homes, lost_answers, frozen_edges]


def worst_window(day: Day, latency: float = 0.004) -> int:
    """The most requests that ran in any window of a day."""

    async def main(loop: SimLoop) -> int:
        world = World(loop, 7, {"t": TERMS}, EDGES, HOMES, latency=latency)
        await day(world)
        return most_in_window(world.ran["t"])

    return int(run_sim(main, 7))


@pytest.mark.parametrize("day", DAYS)
def test_no_window_of_such_a_day_sees_more_than_the_limit_allows(day: Day) -> None:
    assert worst_window(day) <= TERMS.most


def forget_end(share: EdgeShare, limit: Any, now: float) -> None:
    """A share that is spent after it has run out."""
    share.until = max(share.until, now + 1.0) if share.rate else share.until
    COUNT(share, limit, now)


def lease_from_answer(share: EdgeShare, grant: Any, limit: Any, now: float) -> bool:
    """A share that is good from when the answer came."""
    share.asked_at = now
    return APPLY(share, grant, limit, now)


def settle_at_once(_service: ShareService, home: Any) -> bool:
    """A home that doesn't mind what the one before granted."""
    home.settled_at = home.since if home.settled_at is None else home.settled_at
    return True


def count_last_grant_only(ledger: ShareLedger, *args: Any) -> Any:
    """A home that takes a share back before the edge knows of it."""
    grant = GRANT(ledger, *args)
    holder = ledger.holders[args[0]]
    holder.shares = holder.shares[-1:]
    return grant


def debit_nothing(ledger: ShareLedger, given: float) -> None:
    """Tokens that stay where they were given from."""


def fresh_bucket(share: EdgeShare, grant: Any, limit: Any, now: float) -> bool:
    """Tokens of the former share are kept beside a full new one."""
    return APPLY(share, replace(grant, tokens=grant.burst), limit, now)


async def confirm_never(_store: Any, _partition: Any) -> bool:
    """A home that grants without a look at whether it still is the home."""
    return True


COUNT, APPLY, GRANT = EdgeShare.count, EdgeShare.apply, ShareLedger.grant


MUTANTS: dict[str, tuple[Day, str, Callable[..., Any]]] = {
    "spends after the end": (silent_edges, "postpass.tenants.edge_share.EdgeShare.count", forget_end),
    "lease from the answer": (frozen_edges, "postpass.tenants.edge_share.EdgeShare.apply", lease_from_answer),
    "settles at once": (
        silent_edges_and_a_new_home, "postpass.tenants.share_service.ShareService._is_settled", settle_at_once,
    ),
    "counts the last grant only": (
        lost_answers, "postpass.tenants.share_ledger.ShareLedger.grant", count_last_grant_only,
    ),
    "debits nothing": (silent_edges, "postpass.tenants.share_ledger.ShareLedger._take", debit_nothing),
    "fresh bucket": (silent_edges, "postpass.tenants.edge_share.EdgeShare.apply", fresh_bucket),
    "confirms never": (two_homes, "tests.tenants.share_world.StoreStandIn.confirm", confirm_never),
}  # fmt: skip


@pytest.mark.parametrize("name", MUTANTS)
def test_a_broken_variant_is_found(name: str) -> None:
    day, target, broken = MUTANTS[name]
    with mock.patch(target, broken):
        assert worst_window(day) > TERMS.most
