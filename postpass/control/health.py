"""The health of the control members, as `pp status` and `pp doctor` show it, computed from the members' own statuses only."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

MemberStatuses = Mapping[str, Mapping[str, Any]]  # member's name -> the `control` part of its status


@dataclass(frozen=True)
class MemberHealth:
    """The health of one control member.

    `lag` is the number of revisions by which its copy is behind the newest committed one. `seconds_since_contact` is the
    time since it last heard a majority of voters, if it is the primary, or else the primary; None if it never did.
    """

    name: str
    role: str
    epoch: int
    version: int
    lag: int
    seconds_since_contact: float | None
    in_touch: bool

    def line(self) -> str:
        """Returns the member's row of the table that the operator's tool prints."""
        contact_text = "never" if self.seconds_since_contact is None else f"{self.seconds_since_contact:.1f} s ago"
        contact_warning = "" if self.in_touch else "  OUT OF TOUCH"
        return f"{self.name:10} {self.role:8} {self.epoch:>6} {self.version:>8} {self.lag:>5}  contact {contact_text:>12}{contact_warning}"


def member_health(statuses: MemberStatuses) -> list[MemberHealth]:
    """Returns the health of each member; `lag` is measured from the newest revision that any of them has committed."""
    newest = max((_version(status) for status in statuses.values()), default=0)
    return [
        MemberHealth(
            name,
            _role(name, status),
            status["epoch"],
            _version(status),
            newest - _version(status),
            status.get("contact"),
            _in_touch(status),
        )
        for name, status in statuses.items()
    ]


def next_loss_problem(statuses: MemberStatuses) -> str:
    """Returns why the members would not survive the loss of as many disks as are tolerated; empty if they would.

    Whichever of the disks are lost, a majority of the voters must remain that is in touch with the primary, and with it at
    least one member that holds the state.
    """
    leaders = [(status["epoch"], name) for name, status in statuses.items() if status["leads"]]
    if not leaders:
        return "there is no primary"
    leader = statuses[max(leaders)[1]]
    voters, tolerated_losses = leader["voters"], leader.get("tolerate", 1)
    live_voters = {
        name
        for name, disk in voters.items()
        if name in statuses and statuses[name]["disk"] == disk and _in_touch(statuses[name])
    }
    live_holders = live_voters & {leader["primary"], *_backups(leader)}
    if 2 * (len(live_voters) - tolerated_losses) <= len(voters):
        return f"{len(live_voters)} of {len(voters)} voters are in touch, and {tolerated_losses} more may be lost"
    if len(live_holders) <= tolerated_losses:
        return f"{len(live_holders)} members in touch hold the state, and {tolerated_losses} of them may be lost"
    return ""


def health_lines(statuses: MemberStatuses) -> list[str]:
    """Returns the control members as the lines of a table, and a last line on whether they would survive the next loss."""
    if not statuses:
        return []
    reason = next_loss_problem(statuses)
    header_row = f"{'control':10} {'role':8} {'epoch':>6} {'version':>8} {'lag':>5}  last contact"
    result_line = (
        f"next tolerated loss: COULD NOT BE BORNE, {reason}" if reason else "next tolerated loss: could be borne"
    )
    return [header_row, *(member.line() for member in member_health(statuses)), result_line]


def _version(status: Mapping[str, Any]) -> int:
    return int(status.get("committed", 0))


def _in_touch(status: Mapping[str, Any]) -> bool:
    return bool(status.get("in_touch", True))


def _backups(status: Mapping[str, Any]) -> list[str]:
    """Returns the names of the backups; members of releases up to 0.2.0 report a single one, under another key."""
    return list(status.get("backups", [status["backup"]] if status["backup"] else []))


def _role(name: str, status: Mapping[str, Any]) -> str:
    if status["leads"]:
        return "primary"
    return "backup" if name in _backups(status) else "witness"
