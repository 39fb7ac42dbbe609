"""How the control members fare, as `pp status` and `pp doctor` show it: a pure function of what they said of themselves."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

Views = Mapping[str, Mapping[str, Any]]  # by member's name: the `control` part of its status


@dataclass(frozen=True)
class MemberHealth:
    """One control member. `lag` counts the versions by which its copy is behind the newest committed one; `contact_s` is
    the time since it last heard a majority (a primary) or its primary (any other); None if it never did."""

    name: str
    role: str
    epoch: int
    version: int
    lag: int
    contact_s: float | None
    in_touch: bool

    def line(self) -> str:
        """The member as a row of the table that the operator's tool prints."""
        contact = "never" if self.contact_s is None else f"{self.contact_s:.1f} s ago"
        state = "" if self.in_touch else "  OUT OF TOUCH"
        return f"{self.name:10} {self.role:8} {self.epoch:>6} {self.version:>8} {self.lag:>5}  contact {contact:>12}{state}"


def member_health(views: Views) -> list[MemberHealth]:
    """Each member as it and the others describe it; `lag` counts from the newest version that any member holds."""
    newest = max((_version(v) for v in views.values()), default=0)
    return [
        MemberHealth(
            name,
            _role(name, view),
            view["epoch"],
            _version(view),
            newest - _version(view),
            view.get("contact"),
            _in_touch(view),
        )
        for name, view in views.items()
    ]


def next_loss_flaw(views: Views) -> str:
    """Why the members could not bear the next tolerated loss now; empty if they could.

    Whichever disks are lost, as many as are tolerated: a majority of the voters must remain that is in touch, and one of
    those that hold the state.
    """
    leaders = [(view["epoch"], name) for name, view in views.items() if view["leads"]]
    if not leaders:
        return "there is no primary"
    leader = views[max(leaders)[1]]
    voters, lost = leader["voters"], leader.get("tolerate", 1)
    live = {n for n, d in voters.items() if n in views and views[n]["disk"] == d and _in_touch(views[n])}
    holders = live & {leader["primary"], *_backups(leader)}
    if 2 * (len(live) - lost) <= len(voters):
        return f"{len(live)} of {len(voters)} voters are in touch, and {lost} more may be lost"
    if len(holders) <= lost:
        return f"{len(holders)} members in touch hold the state, and {lost} of them may be lost"
    return ""


def health_lines(views: Views) -> list[str]:
    """The control members as a table, and whether the next tolerated loss could be borne."""
    if not views:
        return []
    flaw = next_loss_flaw(views)
    head = f"{'control':10} {'role':8} {'epoch':>6} {'version':>8} {'lag':>5}  last contact"
    verdict = f"next tolerated loss: COULD NOT BE BORNE, {flaw}" if flaw else "next tolerated loss: could be borne"
    return [head, *(member.line() for member in member_health(views)), verdict]


def _version(view: Mapping[str, Any]) -> int:
    return int(view.get("committed", 0))


def _in_touch(view: Mapping[str, Any]) -> bool:
    return bool(view.get("in_touch", True))


def _backups(view: Mapping[str, Any]) -> list[str]:
    """Releases up to 0.2.0 knew one backup."""
    return list(view.get("backups", [view["backup"]] if view["backup"] else []))


def _role(name: str, view: Mapping[str, Any]) -> str:
    if view["leads"]:
        return "primary"
    return "backup" if name in _backups(view) else "witness"
