"""Replays: a recorded run is played again in the same process, and must pass the same points at the same times.

The rest of the simulator depends on this: a fault at the N-th point of a run, and a seed that reproduces a failure.
Everything by which a run could differ from an earlier one in its process is disturbed on purpose: the process clock,
the garbage collector, the addresses of objects, and what ran before.

python -m sim.replay --runs 40                          # each programme of sim.crash, under each disturbance
python -m sim.replay --runs 40 --programmes takeover --disturbances clock
python -m sim.replay --runs 4 --scenarios calm,owner-power
python -m sim.replay --scenarios calm --record_to FILE  # a run's points and events as text, to compare runs of two folders
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

from sim.crash import PROGRAMMES, split_names
from sim.points import Point
from sim.runner import play
from sim.scenario import FOLDER, Scenario, parse

PROCESS_CLOCKS: tuple[Callable[[], float], ...] = (time.time, time.monotonic, time.perf_counter)
SECONDS_A_READING = 0.05  # by which a disturbed process clock advances each time that it is read


@dataclass(frozen=True)
class Recording:
    """The points of a run with their times, its events, and the number of its callbacks.

    Invariant: two runs of one scenario under one seed have equal recordings.
    """

    points: tuple[tuple[float, Point], ...]
    events: tuple[dict[str, Any], ...]
    callbacks: int


@dataclass(frozen=True)
class Divergence:
    """The first difference between a recording and its replay."""

    place: str
    recorded: object
    replayed: object

    def __str__(self) -> str:
        return f"{self.place}: recorded {self.recorded}, replayed {self.replayed}"


def record(scenario: Scenario, seed: int) -> Recording:
    """Plays a scenario and returns its recording."""
    points: list[tuple[float, Point]] = []
    report = play(scenario, seed, observer=lambda age, point: points.append((age, point)))
    assert report.fleet is not None
    return Recording(tuple(points), tuple(report.events), report.fleet.loop.ran)


def format_recording(recording: Recording) -> str:
    """Returns a recording as text: a line for each point, one for each event, and one with the number of callbacks."""
    points = [json.dumps([at, str(point)]) for at, point in recording.points]
    events = [json.dumps(event, default=str) for event in recording.events]
    return "\n".join([*points, *events, f"{recording.callbacks} callbacks", ""])


def compare(recorded: Recording, replayed: Recording) -> Divergence | None:
    """Returns the first difference of two recordings, or None if they are equal."""
    for kind, recorded_items, replayed_items in (
        ("point", recorded.points, replayed.points),
        ("event", recorded.events, replayed.events),
    ):
        for number, (recorded_item, replayed_item) in enumerate(zip(recorded_items, replayed_items, strict=False)):
            if recorded_item != replayed_item:
                return Divergence(f"{kind} {number}", recorded_item, replayed_item)
        if len(recorded_items) != len(replayed_items):
            return Divergence(f"number of {kind}s", len(recorded_items), len(replayed_items))
    if recorded.callbacks != replayed.callbacks:
        return Divergence("number of callbacks", recorded.callbacks, replayed.callbacks)
    return None


@contextmanager
def disturbed_process_clock(_seed: int) -> Iterator[None]:
    """Advances the process clock with each reading, as on a machine so busy that the run hardly proceeds."""
    started = time.time()
    readings = 0

    def read_clock() -> float:
        nonlocal readings
        readings += 1
        return started + readings * SECONDS_A_READING

    with contextlib.ExitStack() as patches:
        for module in list(sys.modules.values()):
            for name, value in list(vars(module).items()):
                if any(value is clock for clock in PROCESS_CLOCKS):
                    patches.enter_context(mock.patch.object(module, name, read_clock))
        yield


@contextmanager
def disturbed_garbage_collector(seed: int) -> Iterator[None]:
    """Makes the garbage collector run at other moments, or not at all."""
    thresholds = gc.get_threshold()
    gc.set_threshold(*random.Random(seed).choice([(0, 10, 10), (50, 2, 2), (300, 10, 2), (5000, 10, 10)]))
    try:
        yield
    finally:
        gc.set_threshold(*thresholds)


@contextmanager
def disturbed_addresses(seed: int) -> Iterator[None]:
    """Makes new objects get other addresses.

    Sets of objects that hash by their address are then iterated in another order.
    """
    chance = random.Random(seed)
    scattered = [bytearray(chance.randrange(1, 512)) for _ in range(40_000)]
    chance.shuffle(scattered)
    del scattered[::2]  # leaves free gaps between the objects that stay
    yield
    scattered.clear()


@contextmanager
def preceded_by_another_run(seed: int) -> Iterator[None]:
    """Plays another run first, which changes state that is global to the process."""
    name = random.Random(seed).choice(list(PROGRAMMES))
    play(parse(PROGRAMMES[name].text, name), seed)
    yield


DISTURBANCES: dict[str, Callable[[int], AbstractContextManager[None]]] = {
    "clock": disturbed_process_clock,
    "collector": disturbed_garbage_collector,
    "addresses": disturbed_addresses,
    "before": preceded_by_another_run,
}


def replay(scenario: Scenario, seed: int, disturbance: str, runs: int) -> list[Divergence]:
    """Records a run and replays it `runs` times under a disturbance, each time with another seed of the disturbance.

    Returns the divergences found.
    """
    recorded = record(scenario, seed)
    divergences: list[Divergence] = []
    for number in range(runs):
        with DISTURBANCES[disturbance](number):
            divergence = compare(recorded, record(scenario, seed))
        if divergence is not None:
            divergences.append(divergence)
    return divergences


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
      disturbances: the names of the disturbances, with commas between them.
      seed: the seed of the recorded runs.
      record_to: a file to write the recordings to, instead of replaying them; to compare runs of other folders.
    """
    names = split_names(programmes) or ([] if scenarios else list(PROGRAMMES))
    selected = [parse(PROGRAMMES[name].text, name) for name in names]
    selected += [parse((FOLDER / f"{name}.txt").read_text(), name) for name in split_names(scenarios)]
    if record_to:
        Path(record_to).write_text("".join(format_recording(record(scenario, seed)) for scenario in selected))
        return 0
    divergence_count = 0
    for scenario in selected:
        for disturbance in split_names(disturbances):
            divergences = replay(scenario, seed, disturbance, runs)
            divergence_count += len(divergences)
            print(
                f"{scenario.name} under another {disturbance}: {runs} replays, {len(divergences)} diverged", flush=True
            )
            for divergence in divergences[:1]:
                print(f"    {divergence}"[:400], flush=True)
    return 1 if divergence_count else 0


if __name__ == "__main__":
    sys.exit(fire.Fire(main, serialize=lambda result: None if isinstance(result, int) else result))
