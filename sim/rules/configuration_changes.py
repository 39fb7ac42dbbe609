"""Rules of configuration: what is acknowledged is in force, stays, is valid, and is what is read back."""

from __future__ import annotations

import json
from collections import defaultdict
from dataclasses import dataclass
from typing import Any

from sim import linearizability
from sim.operator_history import history_of
from sim.rules.configurations import Version, allows, route_of
from sim.rules.day import Day
from sim.rules.history import EVER, Event
from sim.rules.keys import refused_by, tenant_by

UNKNOWN_KEY, NO_ROUTE = 401, 404
OWN_REFUSALS = (UNKNOWN_KEY, NO_ROUTE)  # answers of machines that follow from the configuration
LEAST_LATE_ANSWERS = 20  # fewer answers on routes that were added later say nothing


@dataclass(frozen=True)
class Handled:
    """A request as a machine handled it: it sent it to a service, or answered 401 or 404 itself.

    Attributes:
        sent: when the client sent it, in seconds.
        at: when it was handled, in seconds.
        via: the machine.
        name: the id of the request.
        request: the request as it was sent.
        service: the service, or None for an answer of the machine's own.
        status: that of its own answer.
    """

    sent: float
    at: float
    via: str
    name: str
    request: Event
    service: str | None
    status: int = 0

    def allowed_by(self, versions: list[Version]) -> bool:
        """Does any of the versions allow it to be handled so?"""
        host, path = self.request["host"], self.request["path"]
        if self.status == UNKNOWN_KEY:
            return any(refused_by(version, self.request) for version in versions)
        if self.service is None:
            return any(route_of(version.config, host, path) is None for version in versions)
        return any(
            allows([version], host, path, self.service) and tenant_by(version, self.request) is not None
            for version in versions
        )


def handled_requests(day: Day) -> list[Handled]:
    """What machines handled, in the order in which it was sent."""
    found = [
        Handled(request["t"], run["t"], request["via"], run["id"], request, run["service"])
        for run in day.taken
        if (request := day.requests.get(run["id"])) is not None
    ]
    for name, answer in day.answers.items():
        status = answer["status"]
        if status in OWN_REFUSALS and not any(end["status"] == status for end in day.ends.get(name, [])):
            request = day.requests[name]
            found.append(Handled(request["t"], answer["t"], answer["via"], name, request, None, status))
    return sorted(found, key=lambda handled: (handled.sent, handled.at, handled.name))


def configuration(day: Day) -> list[str]:
    """CONFIG: the configuration is one register that machines follow."""
    handled = handled_requests(day)
    return [
        *handled_by_old(day, handled),
        *went_back(day, handled),
        *invalid_acknowledged(day),
        *handled_by_refused(day, handled),
        *both_won(day),
        *read_old(day),
        *not_linearizable(day),
    ]


def not_linearizable(day: Day) -> list[str]:
    """No order of the operators' attempts and reads explains every answer."""
    verdict = linearizability.check(history_of(day.events))
    return [] if verdict.linearizable else [str(verdict)]


def handled_by_old(day: Day, every: list[Handled]) -> list[str]:
    """What machines in contact handled as only versions allow that were replaced by then."""
    breaches = []
    for handled in every:
        due = day.configurations.due(handled.sent)
        if not due or handled.allowed_by(day.configurations.possible(handled.sent, handled.at)):
            continue
        if not handled.allowed_by(day.configurations.possible(-EVER, handled.at)):
            continue
        if day.contact.in_contact(handled.via, handled.at, handled.sent):
            breaches.append(
                f"{handled.name} to {handled.request['path']}, sent {handled.sent:.2f}, was handled by {handled.via} as only versions before {due} allow ({handled.service or handled.status})"
            )
    return breaches


def went_back(day: Day, every: list[Handled]) -> list[str]:
    """What a machine handled as only versions allow that are older than one which it had in force since its start."""
    breaches = []
    shown: dict[str, list[tuple[float, int]]] = defaultdict(list)  # times and versions that were in force, by machine
    restarts = restart_times(day)
    for handled in sorted(every, key=lambda handled: handled.at):
        started = max((time for time in restarts[handled.via] if time <= handled.at), default=0.0)
        known_by = handled.sent - day.seconds("revertMs")
        floor = max((n for time, n in shown[handled.via] if time > started and time < known_by), default=0)
        possible = day.configurations.possible(-EVER, handled.at)
        if (
            floor
            and not handled.allowed_by(day.configurations.possible(-EVER, handled.at, floor))
            and handled.allowed_by(possible)
        ):
            breaches.append(
                f"{handled.name} to {handled.request['path']} was handled by {handled.via} as only versions before {floor} allow, which was in force there before"
            )
        if number := version_shown(handled, possible):
            shown[handled.via].append((handled.at, number))
    return breaches


def restart_times(day: Day) -> dict[str, list[float]]:
    """When each machine started, fell or ended."""
    times: dict[str, list[float]] = defaultdict(list)
    for event in day.of("trouble", "ended_itself"):
        if event["ev"] == "ended_itself" or event["what"] in ("start", "down"):
            times[event["machine"]].append(event["t"])
    return times


def version_shown(handled: Handled, possible: list[Version]) -> int:
    """The least version that allows this, if older ones don't: it was in force at the machine then; 0 if none."""
    if handled.service is None or not possible:
        return 0
    fitting = [version.number for version in possible if handled.allowed_by([version])]
    oldest = min(version.number for version in possible)
    return min(fitting) if fitting and min(fitting) > oldest else 0


def invalid_acknowledged(day: Day) -> list[str]:
    """Invalid configurations that were acknowledged."""
    breaches = []
    for change in day.of("change"):
        answer = day.configurations.answers.get(change["change"])
        if not change["valid"] and answer is not None and 200 <= answer["status"] < 300:
            breaches.append(
                f"an invalid configuration (change {change['change']}, version {change['version']}) was acknowledged by {answer['via']}"
            )
    return breaches


def handled_by_refused(day: Day, every: list[Handled]) -> list[str]:
    """What was handled as only a refused version allows."""
    breaches = []
    for handled in every:
        if handled.service is None or handled.allowed_by(day.configurations.possible(-EVER, handled.at)):
            continue
        versions = day.configurations.versions
        refused = [version for version in versions if version.config and version.refused and version.sent <= handled.at]
        if handled.allowed_by(refused):
            breaches.append(
                f"{handled.name} to {handled.request['path']} was handled by {handled.via} as only a refused version allows"
            )
    return breaches


def both_won(day: Day) -> list[str]:
    """Different changes that were both acknowledged on top of one version."""
    breaches = []
    winners: dict[int, Event] = {}
    changes = {event["change"]: event for event in day.of("change")}
    for answer in day.of("changed"):
        if answer["status"] != 200:
            continue
        change = changes[answer["change"]]
        other = winners.setdefault(change["base"], change)
        if other["config"] != change["config"]:
            breaches.append(
                f"versions {other['version']} and {change['version']} were both acknowledged on top of {change['base']}"
            )
    return breaches


def read_old(day: Day) -> list[str]:
    """Reads that give an older version than was acknowledged, or another document than was sent."""
    reads = day.of("read_back")
    answered = [read for read in reads if read["status"] == 200 and read["config"] is not None]
    breaches = [breach for read in answered for breach in wrong_read(day, read)]
    if reads and not answered:
        breaches.append("the configuration doesn't come when it is read back")
    return breaches


def wrong_read(day: Day, read: Event) -> list[str]:
    """What is wrong with one read."""
    breaches = []
    versions = day.configurations.versions
    due = max((version.number for version in versions if version.acked <= read["began"]), default=0)
    number = read["config"].get("version", 0)
    if number < due:
        breaches.append(f"version {number} was read back from {read['via']} after {due} was acknowledged")
    sent = [version.config for version in versions if version.number == number and version.config]
    if sent and read["config"] not in sent:
        difference = first_difference(sent[0], read["config"])
        breaches.append(f"version {number} as read back from {read['via']} isn't what was sent: {difference}")
    if not sent and number:
        breaches.append(f"version {number} was read back from {read['via']}, which nobody sent")
    return breaches


def first_difference(sent: Any, read: Any, path: str = "") -> str:
    """Where two JSON documents first differ, in words; empty if they are equal."""
    if type(sent) is not type(read) or not isinstance(sent, (dict, list)):
        return "" if sent == read else f"{path}: {json.dumps(sent)[:60]} became {json.dumps(read)[:60]}"
    if isinstance(sent, dict):
        for key in sorted({*sent, *read}):
            if key not in sent or key not in read:
                return f"{path}.{key}: only {'sent' if key in sent else 'read'}"
            if found := first_difference(sent[key], read[key], f"{path}.{key}"):
                return found
        return ""
    if len(sent) != len(read):
        return f"{path}: {len(sent)} became {len(read)}"
    pairs = enumerate(zip(sent, read, strict=True))
    return next((found for i, (one, two) in pairs if (found := first_difference(one, two, f"{path}[{i}]"))), "")


def late_routes(day: Day) -> list[str]:
    """LATE_ROUTES: in calm times, routes added later are served at least a quarter as often as the first ones."""
    first = {route["name"] for version in day.configurations.versions[:1] if version.config for route in version.config["routes"]}  # fmt: skip
    good: dict[bool, list[bool]] = {True: [], False: []}
    for name, answer in day.answers.items():
        request = day.requests[name]
        if request["word"] != "probe" and day.contact.in_contact(answer["via"], answer["t"], request["t"]):
            good[request["route"] in first].append(200 <= answer["status"] < 300 and answer["whole"])
    if len(good[False]) < LEAST_LATE_ANSWERS or not good[True]:
        return []
    late, early = (sum(answers) / len(answers) for answers in (good[False], good[True]))
    if late * 4 >= early:
        return []
    return [f"late routes were served {late:.2f} of the time, the first ones {early:.2f}"]
