"""What `pp status` and `pp doctor` report of the health of the control members."""

from __future__ import annotations

from typing import Any

from postpass.control.health import health_lines, next_loss_problem


def _statuses(members: int, tolerate: int = 1, backups: tuple[str, ...] = ("c2",)) -> dict[str, dict[str, Any]]:
    voters = {f"c{i}": f"d{i}" for i in range(1, members + 1)}
    return {
        name: {"epoch": 4, "primary": "c1", "backup": backups[0], "backups": list(backups), "leads": name == "c1", "disk": disk_id,
               "voters": voters, "committed": 9, "contact": 0.1, "in_touch": True, "tolerate": tolerate}
        for name, disk_id in voters.items()
    }  # fmt: skip


def test_the_next_loss_is_survived_while_a_majority_and_a_copy_would_remain() -> None:
    assert (
        next_loss_problem(_statuses(3))
        == next_loss_problem(_statuses(4))
        == next_loss_problem(_statuses(5, 2, ("c2", "c3")))
        == ""
    )
    for members, out_of_touch in ((3, "c3"), (4, "c3")):
        statuses = _statuses(members)
        statuses[out_of_touch]["in_touch"] = False
        assert next_loss_problem(statuses) == f"{members - 1} of {members} voters are in touch, and 1 more may be lost"
    statuses = _statuses(5)
    del statuses["c5"]
    assert next_loss_problem(statuses) == ""
    statuses["c2"]["disk"] = "another"
    assert next_loss_problem(statuses).startswith("3 of 5 voters")
    assert next_loss_problem(_statuses(5, 2, ("c2",))).startswith("2 members in touch hold the state")
    statuses = _statuses(3)
    statuses["c1"]["leads"] = False
    assert next_loss_problem(statuses) == "there is no primary"


def test_the_table_shows_role_lag_and_contact() -> None:
    statuses = _statuses(3)
    statuses["c3"] |= {"committed": 7, "in_touch": False, "contact": 21.34}
    lines = health_lines(statuses)
    assert lines[1].split()[:5] == ["c1", "primary", "4", "9", "0"]
    assert lines[3].split() == ["c3", "witness", "4", "7", "2", "contact", "21.3", "s", "ago", "OUT", "OF", "TOUCH"]
    assert lines[-1] == "next tolerated loss: COULD NOT BE BORNE, 2 of 3 voters are in touch, and 1 more may be lost"
    statuses["c3"]["contact"] = None
    assert "never" in health_lines(statuses)[3]
