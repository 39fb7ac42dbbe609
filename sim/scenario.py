"""Scenarios: small text files that say fleet, load, faults at times, and what must hold."""

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
from sim.points import known
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
class Act:
    """A fault or operation at a time, in seconds after the load began."""

    at: float
    verb: str
    args: tuple[str, ...]


@dataclass(frozen=True)
class When:
    """A fault right at a point: `when EVENT[@WHO] [N] [from T] [within D] VERB …` is caused as the N-th such point
    from T on is passed, which has to come by T + D; with `maybe` in place of `when` it may also not come."""

    line: int
    event: str
    who: str
    nth: int
    start: float
    limit: float
    act: Act
    needed: bool = True


@dataclass(frozen=True)
class Expectation:
    """A figure of the run, a comparison out of COMPARISONS, and what the figure is held to."""

    figure: str
    comparison: str
    bound: float

    def flaws(self, figures: Mapping[str, float]) -> list[str]:
        """What does not hold of a run's figures; one that is not there counts as 0."""
        seen = figures.get(self.figure, 0)
        if COMPARISONS[self.comparison](seen, self.bound):
            return []
        return [f"expected {self.figure} {self.comparison} {self.bound:g}, saw {seen:g}"]


@dataclass(eq=False)
class Scenario:
    """Invariant: what is not understood is refused with file and line, never skipped.

    Attributes:
        name: of the file.
        why: its comments.
        fleet: the arguments of `bench.plan.manifest`.
        load: the rates of requests and jobs, and options of the load, as they are written.
        set: changes of the configuration before the fleet is started: paths and values.
        tune: settings of the daemons.
        disk: the capacity of each disk, in bytes.
        run: for how many seconds there is load.
        settle: how many seconds jobs have afterwards to come to their end.
        seeds: under which it is run.
        acts: what is caused at its time.
        whens: what is caused at a point of the run.
        expect: what must hold of the run's figures.
        excused: more is lost than is tolerated.
        plan: of an announced fleet, if it is one.
        deployment: the name of one of the brief's, whole: its machines, servers, clients and delays.
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
    acts: list[Act] = field(default_factory=list)
    whens: list[When] = field(default_factory=list)
    expect: list[Expectation] = field(default_factory=list)
    excused: bool = False
    plan: Plan | None = None
    deployment: str = ""


def pairs_of(words: list[str]) -> dict[str, str]:
    """Words of the form KEY=TEXT."""
    return dict(word.split("=", 1) for word in words if "=" in word)


def values_of(words: list[str]) -> dict[str, Any]:
    """Words of the form KEY=VALUE."""
    return {key: parse_value(text) for key, text in pairs_of(words).items()}


# Each takes the words after the head of a line into the scenario; False if it does not understand them.
def read_fleet(scenario: Scenario, words: list[str], line: int) -> bool:
    """fleet KEY=VALUE..."""
    scenario.fleet = values_of(words)
    return True


def read_load(scenario: Scenario, words: list[str], line: int) -> bool:
    """load KIND=RATE... JOBS=RATExITEMS... OPTION=VALUE..."""
    scenario.load = pairs_of(words)
    return True


def read_set(scenario: Scenario, words: list[str], line: int) -> bool:
    """set PATH=VALUE..."""
    scenario.set += values_of(words).items()
    return True


def read_tune(scenario: Scenario, words: list[str], line: int) -> bool:
    """tune SETTING=VALUE..."""
    scenario.tune = values_of(words)
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
    scenario.acts.append(Act(float(words[0]), words[1], tuple(words[2:])))
    return True


def read_when(scenario: Scenario, words: list[str], line: int) -> bool:
    """when EVENT... VERB WORD..., see When."""
    when = parse_when(words, line) if len(words) > 1 else None
    if when is not None:
        scenario.whens.append(when)
    return when is not None


def read_maybe(scenario: Scenario, words: list[str], line: int) -> bool:
    """maybe EVENT... VERB WORD...: as `when`, but need not come."""
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


def parse_when(words: list[str], line: int) -> When | None:
    """The words after `when`, or None if they are not understood."""
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
    if not rest or rest[0] not in ACTIONS.keys() | DAY_ACTIONS.keys() or not known(event) or nth < 1:
        return None
    return When(line, event, who, nth, start, limit or NO_LIMIT_S, Act(0.0, rest[0], tuple(rest[1:])))


def read_line(scenario: Scenario, head: str, words: list[str], line: int) -> bool:
    """Takes one line into the scenario; False if it is not understood."""
    if head in READERS:
        return READERS[head](scenario, words, line)
    if head == "announced" and scenario.plan is None:
        scenario.plan = Plan()
    return scenario.plan is not None and read_plan_line(scenario.plan, head, words)


def parse(text: str, name: str) -> Scenario:
    """Reads a scenario.

    Raises:
        ValueError: a line is not understood; it is named with its number.
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
    """All scenarios of fleets that are listed in a configuration."""
    return [parse(path.read_text(), path.stem) for path in sorted(FOLDER.glob("*.txt"))]


def load_of(text: dict[str, str]) -> Load:
    """The load that a scenario describes: jobs as RATExITEMS, plain and live requests as rates, and options."""
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
    """The options of a load among its words."""
    return {key: float(value) for key, value in text.items() if key in LOAD_OPTIONS}
