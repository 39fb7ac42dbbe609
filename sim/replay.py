"""Replays: a recorded run is played again in the same process, and must pass the same points at the same times.

Everything else of the simulator rests on it: a fault at the N-th point of a run, a seed that names a failure. What
could tell a run that it isn't the first in its process is disturbed on purpose: the process clock, the garbage
collector, the addresses of objects, and what ran before.

python -m sim.replay --runs 40                          # each programme of sim.crash, under each disturbance
python -m sim.replay --runs 40 --programmes takeover --disturbances clock
python -m sim.replay --runs 4 --scenarios calm,owner-power
python -m sim.replay --scenarios calm --record_to FILE  # what a run passes, as text, to compare runs of two folders
"""

from __future__ import annotations

import contextlib
import gc
import json
import random
import sys
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import AbstractContextManager, contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from unittest import mock

import fire

from sim.crash import PROGRAMMES, listed
from sim.points import Point
from sim.runner import play
from sim.scenario import FOLDER, Scenario, parse

PROCESS_CLOCKS: tuple[Callable[[], float], ...] = (time.time, time.monotonic, time.perf_counter)
SECONDS_A_READING = 0.05  # by which a disturbed process clock goes on each time that it is read


@dataclass(frozen=True)
class Recording:
    """What a run passed. Invariant: two runs of one scenario under one seed have equal recordings."""

    points: tuple[tuple[float, Point], ...]
    events: tuple[dict[str, Any], ...]
    callbacks: int


@dataclass(frozen=True)
class Divergence:
    """Where a replay first differs from its recording."""

    place: str
    recorded: object
    replayed: object

    def __str__(self) -> str:
        return f"{self.place}: recorded {self.recorded}, replayed {self.replayed}"


def record(scenario: Scenario, seed: int) -> Recording:
    """Plays a scenario and writes down all that it passes."""
    points: list[tuple[float, Point]] = []
    report = play(scenario, seed, spy=lambda age, point: points.append((age, point)))
    assert report.fleet is not None
    return Recording(tuple(points), tuple(report.events), report.fleet.loop.ran)


def written(recording: Recording) -> str:
    """A recording as text: a line for each point and each event, and at last the number of callbacks."""
    points = [json.dumps([at, str(point)]) for at, point in recording.points]
    events = [json.dumps(event, default=str) for event in recording.events]
    return "\n".join([*points, *events, f"{recording.callbacks} callbacks", ""])


def compare(recorded: Recording, replayed: Recording) -> Divergence | None:
    """The first difference of two recordings, if there is one."""
    for kind, was, now in (
        ("point", recorded.points, replayed.points),
        ("event", recorded.events, replayed.events),
    ):
        for number, (one, two) in enumerate(zip(was, now, strict=False)):
            if one != two:
                return Divergence(f"{kind} {number}", one, two)
        if len(was) != len(now):
            return Divergence(f"number of {kind}s", len(was), len(now))
    if recorded.callbacks != replayed.callbacks:
        return Divergence("number of callbacks", recorded.callbacks, replayed.callbacks)
    return None


@contextmanager
def another_process_clock(_seed: int) -> Iterator[None]:
    """The process clock goes on with each reading, as on a machine that is too busy to let the run go on."""
    started = time.time()
    readings = 0

    def read() -> float:
        nonlocal readings
        readings += 1
        return started + readings * SECONDS_A_READING

    with contextlib.ExitStack() as patches:
        for module in list(sys.modules.values()):
            for name, value in list(vars(module).items()):
                if any(value is clock for clock in PROCESS_CLOCKS):
                    patches.enter_context(mock.patch.object(module, name, read))
        yield


@contextmanager
def another_collector(seed: int) -> Iterator[None]:
    """The garbage collector runs at other moments, or not at all."""
    before = gc.get_threshold()
    gc.set_threshold(*random.Random(seed).choice([(0, 10, 10), (50, 2, 2), (300, 10, 2), (5000, 10, 10)]))
    try:
        yield
    finally:
        gc.set_threshold(*before)


@contextmanager
def other_addresses(seed: int) -> Iterator[None]:
    """New objects land at other addresses, and so stand in another order in sets of objects without a hash."""
    chance = random.Random(seed)
    scattered = [bytearray(chance.randrange(1, 512)) for _ in range(40_000)]
    chance.shuffle(scattered)
    del scattered[::2]  # leaves holes between those that stay
    yield
    scattered.clear()


@contextmanager
def another_programme_before(seed: int) -> Iterator[None]:
    """Another run has left its marks in whatever is global to the process."""
    name = random.Random(seed).choice(list(PROGRAMMES))
    play(parse(PROGRAMMES[name].text, name), seed)
    yield


DISTURBANCES: dict[str, Callable[[int], AbstractContextManager[None]]] = {
    "clock": another_process_clock,
    "collector": another_collector,
    "addresses": other_addresses,
    "before": another_programme_before,
}


def replay(scenario: Scenario, seed: int, disturbance: str, runs: int) -> list[Divergence]:
    """The divergences of as many replays of one recording, each under the disturbance with another seed."""
    recorded = record(scenario, seed)
    found: list[Divergence] = []
    for number in range(runs):
        with DISTURBANCES[disturbance](number):
            divergence = compare(recorded, record(scenario, seed))
        if divergence is not None:
            found.append(divergence)
    return found


def main(
    runs: int = 10,
    programmes: str | Sequence[str] = "",
    scenarios: str | Sequence[str] = "",
    disturbances: str | Sequence[str] = tuple(DISTURBANCES),
    seed: int = 1,
    record_to: str = "",
) -> int:
    """Prints how many replays of each programme or scenario diverged; exit 1 if any did.

    Args:
      runs: replays of each under each disturbance.
      programmes: programmes of sim.crash with commas between them; all if neither these nor scenarios are named.
      scenarios: names of files in sim/scenarios, without .txt.
      disturbances: which of them, with commas between them.
      seed: the seed of the recorded runs.
      record_to: a file to write the recordings to, instead of replaying them; to compare runs of other folders.
    """
    names = listed(programmes) or ([] if scenarios else list(PROGRAMMES))
    chosen = [parse(PROGRAMMES[name].text, name) for name in names]
    chosen += [parse((FOLDER / f"{name}.txt").read_text(), name) for name in listed(scenarios)]
    if record_to:
        Path(record_to).write_text("".join(written(record(scenario, seed)) for scenario in chosen))
        return 0
    bad = 0
    for scenario in chosen:
        for disturbance in listed(disturbances):
            found = replay(scenario, seed, disturbance, runs)
            bad += len(found)
            print(f"{scenario.name} under another {disturbance}: {runs} replays, {len(found)} diverged", flush=True)
            for divergence in found[:1]:
                print(f"    {divergence}"[:400], flush=True)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(fire.Fire(main, serialize=lambda got: None if isinstance(got, int) else got))
