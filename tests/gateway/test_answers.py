"""Property tests of responses to clients, with workers and clients that fail in many combinations.

CI runs the same examples each time. This runs new random ones: `POSTPASS_HUNT=EXAMPLES pytest tests/gateway/test_answers.py`.
"""

from __future__ import annotations

import gc
import os
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from tests.support.answers import (
    CUT_ENDS,
    FRAMINGS,
    IDENTITIES,
    KINDS,
    PROMISES,
    SURPLUS,
    Ask,
    Connection,
    Play,
    Scene,
    judge,
    run_scene,
)

HUNT_EXAMPLES = int(os.environ.get("POSTPASS_HUNT", "0"))
PATHS = ("/i/x", "/o/x", "/s/x", "/r/x")
DELAYS = (0.0, 0.002, 0.1, 0.5, 1.4, 2.0)


@pytest.fixture(autouse=True, scope="module")
def quick_collections() -> Iterator[None]:
    """Keeps earlier objects out of the garbage collection at the end of each simulation, so that it is quick."""
    gc.freeze()
    yield
    gc.unfreeze()


def examples(count: int) -> Callable[[Any], Any]:
    """Returns the settings for fixed examples, or for as many new random ones as POSTPASS_HUNT asks for."""
    return settings(
        max_examples=HUNT_EXAMPLES or count, derandomize=not HUNT_EXAMPLES, deadline=None, database=None, print_blob=bool(HUNT_EXAMPLES),
        phases=(Phase.generate, Phase.shrink),
        suppress_health_check=list(HealthCheck),
    )  # fmt: skip


positions = st.integers(0, 600)
FAULTS: dict[str, st.SearchStrategy[Any]] = {
    "framing": st.sampled_from(FRAMINGS),
    "identity": st.sampled_from(IDENTITIES),
    "interim": st.integers(1, 2),
    "splits": st.lists(positions, min_size=1, max_size=4).map(tuple),
    "delay": st.sampled_from(DELAYS),
    "cut": positions,
    "flip": st.tuples(positions, st.integers(0, 7)),
    "surplus": st.sampled_from(SURPLUS),
    "closes": st.just(True),
    "encoded": st.just(True),
}


@dataclass(frozen=True)
class Theme:
    """The values from which scenes are drawn, limited so that rare faults often occur together."""

    kinds: tuple[str, ...] = tuple(KINDS)
    faults: tuple[str, ...] = tuple(FAULTS)
    paths: tuple[str, ...] = PATHS


REFUSALS = tuple(name for name, kind in KINDS.items() if kind.not_run or kind.status in PROMISES)
THEMES = {
    "any": Theme(),
    "refusals": Theme(REFUSALS, ("framing", "cut", "splits", "identity"), ("/o/x", "/s/x", "/i/x")),
    "late": Theme(("success", "failure"), ("surplus", "delay")),
    "resumed": Theme(("success", "unsealed", "bare failure"), ("cut", "splits", "surplus", "delay"), ("/r/x", "/s/x")),
}


@st.composite
def plays(draw: Any, theme: Theme) -> Play:
    """A worker's response with at most three faults, so that one doesn't hide the other."""
    faults = draw(st.lists(st.sampled_from(theme.faults), max_size=3, unique=True))
    return Play(
        draw(st.just("success") | st.sampled_from(theme.kinds)),
        cut_end=draw(st.sampled_from(CUT_ENDS)) if "cut" in faults else "reset",
        surplus_delay=draw(st.sampled_from((0.0, 0.01, 0.3))) if "surplus" in faults else 0.0,
        **{fault: draw(FAULTS[fault]) for fault in faults},
    )


@st.composite
def connections(draw: Any, theme: Theme, number: int) -> Connection:
    methods = st.sampled_from(("POST", "POST", "GET", "HEAD"))
    request = st.tuples(st.sampled_from(theme.paths), methods, st.booleans(), st.sampled_from((400, 1500)))
    asks = tuple(
        Ask(f"c{number}-{i}", path, method, chunked=chunked, deadline_ms=deadline)
        for i, (path, method, chunked, deadline) in enumerate(draw(st.lists(request, min_size=1, max_size=3)))
    )
    return Connection(
        asks,
        edge=draw(st.integers(0, 1)),
        splits=tuple(draw(st.lists(positions, max_size=3))),
        pause=draw(st.sampled_from((0.0005, 0.02))),
        cut=draw(st.none() | st.none() | positions),
        junk=draw(st.sampled_from((False, False, False, True))),
        leaves=draw(st.sampled_from((None, None, None, 0.0, 0.01, 0.6))),
    )


@st.composite
def scenes(draw: Any, theme: Theme) -> Scene:
    answers = st.lists(plays(theme), min_size=1, max_size=4).map(tuple)
    return Scene(
        tuple(draw(answers) for _ in range(draw(st.integers(1, 3)))),
        tuple(draw(connections(theme, i)) for i in range(draw(st.integers(1, 4)))),
        gap=draw(st.sampled_from((0.0, 0.05, 0.5))),
        reused_at=draw(st.none() | st.none() | st.sampled_from((0.03, 0.2))),
        seed=draw(st.integers(0, 99)),
    )


@pytest.mark.parametrize("theme", THEMES)
def test_each_client_gets_its_own_workers_response_or_none(theme: str) -> None:
    @examples(80)
    @given(scenes(THEMES[theme]))
    def check_scene(scene: Scene) -> None:
        assert judge(run_scene(scene)) == []

    check_scene()


@pytest.mark.parametrize("path", PATHS)
def test_two_edges_hold_an_address_that_went_to_another_service(path: str) -> None:
    connections = tuple(Connection((Ask(f"c{i}", path),), edge=i % 2) for i in range(24))
    outcome = run_scene(Scene(((), ()), connections, gap=0.02, reused_at=0.2))
    assert judge(outcome) == []
    runs_at_other_service = [run for run in outcome.record.runs if run.worker == "other"]
    assert runs_at_other_service and not any(run.ran for run in runs_at_other_service)
    assert sum(response.startswith(b"HTTP/1.1 200") for _, response in outcome.got) >= 22


# --- faults at every byte
ANSWERS = {
    "once": ("/o/x", Play()),
    "chunked": ("/o/x", Play(framing="chunked")),
    "stream": ("/s/x", Play()),
    "resumed": ("/r/x", Play()),
    "refused": ("/o/x", Play("full")),
}


def violations_of_each(path: str, plays: list[Play]) -> list[str]:
    """Returns the violations in one scene for each play: both workers give it as their first response, then correct ones."""
    violations = []
    for play in plays:
        asks = [Connection((Ask(f"c{i}", path),)) for i in range(2)]
        violations += judge(run_scene(Scene(((play,), (play,)), tuple(asks), gap=0.02)))
    return violations


def response_size(path: str, play: Play) -> int:
    outcome = run_scene(Scene(((play,),), (Connection((Ask("c0", path),)),)))
    return len(outcome.record.runs[0].raw)


def end_at(number: int) -> str:
    """Returns how the connection ends: mostly a reset or an orderly close, which are noticed at once; sometimes silence,
    or a reset that also loses bytes."""
    return CUT_ENDS[number // 4 % 4] if number % 4 == 0 else ("reset", "close")[number % 2]


@pytest.mark.parametrize("name", ANSWERS)
def test_an_answer_that_ends_at_any_byte(name: str) -> None:
    path, play = ANSWERS[name]
    cuts = [replace(play, cut=i, cut_end=end_at(i)) for i in range(response_size(path, play))]
    assert violations_of_each(path, cuts) == []


@pytest.mark.parametrize("name", ["once", "chunked", "stream"])
def test_an_answer_that_is_split_at_any_byte(name: str) -> None:
    path, play = ANSWERS[name]
    assert violations_of_each(path, [replace(play, splits=(i,)) for i in range(1, response_size(path, play))]) == []


def test_a_request_that_is_split_or_ends_at_any_byte() -> None:
    asks = (Ask("c0", "/o/x", chunked=True), Ask("c1", "/s/x"))
    for i in range(1, sum(len(a.data) for a in asks)):
        truncated = Connection(asks, cut=i, leaves=(None, 0.0)[i % 2])
        for connection in (Connection(asks, splits=(i,)), truncated):
            assert judge(run_scene(Scene(((),), (connection,)))) == []
