"""Tests of postpass.cli.doctor."""

from __future__ import annotations

import copy
from typing import Any

from postpass.cli.doctor import diagnose
from postpass.cli.status_page import FleetStatus
from tests.support.status_pages import sound_fleet


def test_a_sound_fleet_has_no_findings_and_each_fault_has_its_own() -> None:
    healthy = sound_fleet()
    later = copy.deepcopy(healthy)
    for machine_status in later["machines"].values():
        machine_status["up"] += 1
    assert diagnose(FleetStatus.from_json(healthy), FleetStatus.from_json(later)) == []

    def codes(change: Any, earlier_change: Any = None) -> set[str]:
        first_status, second_status = copy.deepcopy(healthy), copy.deepcopy(later)
        change(second_status)
        if earlier_change:
            earlier_change(first_status)
        return {f.code for f in diagnose(FleetStatus.from_json(first_status), FleetStatus.from_json(second_status))}

    def machine(machine_name: str, **fields: Any) -> Any:
        return lambda s: s["machines"][machine_name].update(fields)

    def partition(**fields: Any) -> Any:
        return lambda s: s["machines"]["s1"]["store"]["parts"][0].update(fields)

    silent = {n: {"persisted": 5, "silent": n == "s2", "full": False, "disk": n} for n in ("s2", "s3", "s4")}
    lagging = {n: {"persisted": -900, "silent": False, "full": False, "disk": n} for n in ("s2",)}
    assert codes(lambda s: s["machines"].update(e1={"unreachable": "x"})) == {"D02"}
    assert codes(machine("e1", edition=2), machine("e1", edition=2)) == {"D03"}
    assert codes(machine("e1", name="e2")) == {"D04"} and codes(machine("e1", clash="x")) == {"D04"}
    assert codes(machine("e1", peer="127.0.0.1:1")) == {"D05"} and codes(machine("e1", duties=[])) == {"D05"}
    assert codes(machine("e1", up=0.5)) == {"D06"}
    assert codes(partition(mirrors=silent)) == {"D07"} and codes(partition(mirrors=lagging)) == {"D07"}
    assert codes(partition(owning=False)) == {"D08"} and codes(partition(crew={"s1": "s1"})) == {"D08"}
    assert codes(lambda s: s["machines"]["s1"]["store"].update(free=1)) == {"D09"}
    assert codes(lambda s: s["machines"]["s1"]["store"].update(bad="sync failed")) == {"D10"}
    assert codes(lambda s: s["machines"]["c1"]["control"].update(leads=False)) == {"D11"}
    assert codes(lambda s: s["machines"]["c1"]["control"].update(backup="")) == {"D11"}
    control = healthy["machines"]["c3"]["control"]
    assert codes(machine("c3", control=control | {"in_touch": False})) == {"D11"}
    barred = {"gpu/w1": {"barred": "weights b, want a", "mine": 0, "weights": "b", "running": 0, "waiting": 0}}
    assert codes(machine("e1", servers=barred)) == {"D12"}
    assert codes(partition(losses=1)) == {"D13"}
    assert codes(machine("e1", release="0.2")) == {"D14"}
    behind = partition(last=9, covered=5, awaited=["s3"])
    assert codes(behind, behind) == {"D15"}
    assert codes(behind) == set() and codes(partition(last=9, covered=6), behind) == set()
    assert codes(partition(last=9, covered=5, epoch=99), behind) == set()
    unkept = machine("e1", unkept={"3": 2})
    assert codes(unkept) == {"D16"} and codes(unkept, unkept) == set()
    run = {"job": "x", "item": 3, "worker": "w1", "running_s": 24.1, "silent_s": 23.5}
    scheduling = {"active": True, "held": 4, "running": 4, "term": 1}
    assert codes(machine("e1", sched=scheduling | {"most_silent": run})) == {"D17"}
    assert codes(machine("e1", sched=scheduling | {"most_silent": run | {"silent_s": 0.2}})) == set()
    idle = {
        "job": "x",
        "item": 3,
        "state": "waiting",
        "reason": "lease expired",
        "worker": "w1",
        "silent_runs": 2,
        "idle_s": 22.5,
    }
    assert codes(machine("e1", sched=scheduling | {"least_progress": idle})) == {"D18"}
    for sound in ({"idle_s": 2.0}, {"reason": "no free slot"}):
        assert codes(machine("e1", sched=scheduling | {"least_progress": idle | sound})) == set()
