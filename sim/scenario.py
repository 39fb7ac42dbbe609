"""Scenarios: small text files that state a fleet, its load, faults with their times, and what must hold of the run."""

from __future__ import annotations

import operator
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from bench.clients import Load
from bench.deploy import DEPLOYMENTS
from sim.actions import ACTIONS
from sim.day_actions import DAY_ACTIONS
from sim.day_plan import Plan
from sim.day_plan import read_line as read_plan_line
from sim.points import is_known_point
from sim.values import parse_value

FOLDER = Path(__file__).parent / "scenarios"
LOAD_OPTIONS = ("within", "once", "ends", "echo", "keyed")
COMPARISONS: dict[str, Callable[[float, float], bool]] = {
    ">=": operator.ge,
    "<=": operator.le,
    "==": operator.eq,
    ">": operator.gt,
    "<": operator.lt,
}
NO_LIMIT_S = 1e9


@dataclass(frozen=True)
class TimedAction:
    """A fault or operation at a time, in seconds after the load began."""

    at: float
    verb: str
    args: tuple[str, ...]


@dataclass(frozen=True)
class PointTrigger:
    """A fault exactly at a point, written as `when EVENT[@WHO] [N] [from T] [within D] VERB …`.

    It is caused when the N-th such point from T on is passed, which must happen by T + D, in seconds after the load began.
    With `maybe` in place of `when` the point need not be passed.
    """

    line: int
    event: str
    who: str
    nth: int
    start: float
    limit: float
    act: TimedAction
    needed: bool = True


@dataclass(frozen=True)
class Expectation:
    """A figure of the run, a comparison out of COMPARISONS, and the number that the figure is compared with."""

    figure: str
    comparison: str
    bound: float

    def flaws(self, figures: Mapping[str, float]) -> list[str]:
        """Returns a text if the expectation does not hold of a run's figures; a missing figure counts as 0."""
        value = figures.get(self.figure, 0)
        if COMPARISONS[self.comparison](value, self.bound):
            return []
        return [f"expected {self.figure} {self.comparison} {self.bound:g}, saw {value:g}"]


@dataclass(eq=False)
class Scenario:
    """A scenario as it was read from its file.

    Invariant: a line that is not understood is refused with the file and the line number, never skipped.

    Attributes:
        name: the name of the file.
        why: the comments of the file.
        fleet: the arguments of `bench.plan.manifest`, which makes the configuration.
        load: the rates of requests and jobs, and options of the load, as texts.
        set: changes of the configuration before the fleet is started, as paths and values.
        tune: settings of the daemons.
        disk: the capacity of each disk, in bytes.
        run: the duration of the load in seconds.
        settle: how many seconds jobs have after the load to end.
        seeds: the seeds under which it is run.
        acts: faults and operations at given times.
        whens: faults and operations at points of the run.
        expect: what must hold of the run's figures.
        excused: whether more is lost than is tolerated, so that acknowledged state may be missing.
        plan: the plan of an announced fleet; None for a fleet that its configuration lists.
        deployment: the name of one of the deployments in `bench.deploy`, with its machines, servers, clients and delays;
            empty if there is none.
    """

    name: str
    why: str = ""
    fleet: dict[str, Any] = field(default_factory=dict)
    load: dict[str, str] = field(default_factory=dict)
    set: list[tuple[str, Any]] = field(default_factory=list)
    tune: dict[str, Any] = field(default_factory=dict)
    disk: int = 64 << 20
    run: float = 20.0
    settle: float = 40.0
    seeds: tuple[int, ...] = (1,)
    acts: list[TimedAction] = field(default_factory=list)
    whens: list[PointTrigger] = field(default_factory=list)
    expect: list[Expectation] = field(default_factory=list)
    excused: bool = False
    plan: Plan | None = None
    deployment: str = ""


def parse_texts(words: list[str]) -> dict[str, str]:
    """Returns the texts by key of words of the form KEY=TEXT."""
    return dict(word.split("=", 1) for word in words if "=" in word)


def parse_values(words: list[str]) -> dict[str, Any]:
    """Returns the values by key of words of the form KEY=VALUE."""
    return {key: parse_value(text) for key, text in parse_texts(words).items()}


# Each of these functions reads one kind of line. It adds the words after the first to the scenario, and returns False if it
# does not understand them. Its docstring is the form of the line.
def read_fleet(scenario: Scenario, words: list[str], line: int) -> bool:
    """fleet KEY=VALUE..."""
    scenario.fleet = parse_values(words)
    return True


def read_load(scenario: Scenario, words: list[str], line: int) -> bool:
    """load KIND=RATE... JOBS=RATExITEMS... OPTION=VALUE..."""
    scenario.load = parse_texts(words)
    return True


def read_set(scenario: Scenario, words: list[str], line: int) -> bool:
    """set PATH=VALUE..."""
    scenario.set += parse_values(words).items()
    return True


def read_tune(scenario: Scenario, words: list[str], line: int) -> bool:
    """tune SETTING=VALUE..."""
    scenario.tune = parse_values(words)
    return True


def read_disk(scenario: Scenario, words: list[str], line: int) -> bool:
    """disk BYTES."""
    scenario.disk = int(words[0])
    return True


def read_run(scenario: Scenario, words: list[str], line: int) -> bool:
    """run SECONDS."""
    scenario.run = float(words[0])
    return True


def read_settle(scenario: Scenario, words: list[str], line: int) -> bool:
    """settle SECONDS."""
    scenario.settle = float(words[0])
    return True


def read_seeds(scenario: Scenario, words: list[str], line: int) -> bool:
    """seeds SEED..."""
    scenario.seeds = tuple(int(word) for word in words)
    return True


def read_deployment(scenario: Scenario, words: list[str], line: int) -> bool:
    """deployment NAME."""
    if not words or words[0] not in DEPLOYMENTS:
        return False
    scenario.deployment = words[0]
    return True


def read_excused(scenario: Scenario, words: list[str], line: int) -> bool:
    """excused."""
    scenario.excused = True
    return True


def read_at(scenario: Scenario, words: list[str], line: int) -> bool:
    """at SECONDS VERB WORD..."""
    verbs = ACTIONS.keys() if scenario.plan is None else DAY_ACTIONS.keys()
    if len(words) < 2 or words[1] not in verbs:
        return False
    scenario.acts.append(TimedAction(float(words[0]), words[1], tuple(words[2:])))
    return True


def read_when(scenario: Scenario, words: list[str], line: int) -> bool:
    """when EVENT... VERB WORD..., see PointTrigger."""
    when = parse_when(words, line) if len(words) > 1 else None
    if when is not None:
        scenario.whens.append(when)
    return when is not None


def read_maybe(scenario: Scenario, words: list[str], line: int) -> bool:
    """maybe EVENT... VERB WORD...: as `when`, but the point need not be passed."""
    if not read_when(scenario, words, line):
        return False
    scenario.whens[-1] = replace(scenario.whens[-1], needed=False)
    return True


def read_expect(scenario: Scenario, words: list[str], line: int) -> bool:
    """expect FIGURE COMPARISON NUMBER."""
    if len(words) != 3 or words[1] not in COMPARISONS:
        return False
    scenario.expect.append(Expectation(words[0], words[1], float(words[2])))
    return True


READERS: dict[str, Callable[[Scenario, list[str], int], bool]] = {
    "fleet": read_fleet,
    "load": read_load,
    "set": read_set,
    "tune": read_tune,
    "disk": read_disk,
    "run": read_run,
    "settle": read_settle,
    "seeds": read_seeds,
    "deployment": read_deployment,
    "excused": read_excused,
    "at": read_at,
    "when": read_when,
    "maybe": read_maybe,
    "expect": read_expect,
}


def parse_when(words: list[str], line: int) -> PointTrigger | None:
    """Returns the trigger that the words after `when` describe, or None if they are not understood."""
    event, _, who = words[0].partition("@")
    rest = words[1:]
    nth = int(rest.pop(0)) if rest and rest[0].isdigit() else 1
    start = limit = 0.0
    while len(rest) > 2 and rest[0] in ("from", "within"):
        if rest[0] == "from":
            start = float(rest[1])
        else:
            limit = float(rest[1])
        rest = rest[2:]
    if not rest or rest[0] not in ACTIONS.keys() | DAY_ACTIONS.keys() or not is_known_point(event) or nth < 1:
        return None
    return PointTrigger(line, event, who, nth, start, limit or NO_LIMIT_S, TimedAction(0.0, rest[0], tuple(rest[1:])))


def read_line(scenario: Scenario, head: str, words: list[str], line: int) -> bool:
    """Adds one line to the scenario; returns False if the line is not understood."""
    if head in READERS:
        return READERS[head](scenario, words, line)
    if head == "announced" and scenario.plan is None:
        scenario.plan = Plan()
    return scenario.plan is not None and read_plan_line(scenario.plan, head, words)


def parse(text: str, name: str) -> Scenario:
    """Returns the scenario that a text describes.

    Raises:
        ValueError: a line is not understood; the message has its number.
    """
    scenario = Scenario(name)
    for number, line in enumerate(map(str.strip, text.splitlines()), 1):
        if line.startswith("#"):
            scenario.why += line[1:].strip() + " "
        elif line:
            head, *words = line.split()
            if not read_line(scenario, head, words, number):
                raise ValueError(f"{name}:{number}: not understood: {line}")
    return scenario


def scenarios() -> list[Scenario]:
    """Returns all scenarios of fleets whose machines are listed in their configuration."""
    return [parse(path.read_text(), path.stem) for path in sorted(FOLDER.glob("*.txt"))]


def parse_load(text: dict[str, str]) -> Load:
    """Returns the load that a scenario describes: jobs as RATExITEMS, plain and live requests as rates, and options."""
    live, plain, jobs = {}, {}, {}
    for key, value in text.items():
        if key in LOAD_OPTIONS:
            continue
        if "x" in value:
            rate, size = value.split("x")
            jobs[key] = (float(rate), int(size))
        elif key in ("view", "tiles"):
            plain[key] = float(value)
        else:
            live[key] = float(value)
    return Load(live, plain, jobs, **load_options(text))


def load_options(text: dict[str, str]) -> dict[str, Any]:
    """Returns the options among the words of a load."""
    return {key: float(value) for key, value in text.items() if key in LOAD_OPTIONS}
