"""Tests of postpass.cli.doctor."""

from __future__ import annotations

import copy
from typing import Any

from postpass.cli.doctor import diagnose
from postpass.cli.status_page import FleetStatus
from tests.support.status_pages import sound_fleet


def test_a_sound_fleet_has_no_findings_and_each_fault_has_its_own() -> None:
    good = sound_fleet()
    later = copy.deepcopy(good)
    for m in later["machines"].values():
        m["up"] += 1
    assert diagnose(FleetStatus.from_json(good), FleetStatus.from_json(later)) == []

    def found(change: Any, early: Any = None) -> set[str]:
        one, two = copy.deepcopy(good), copy.deepcopy(later)
        change(two)
        if early:
            early(one)
        return {f.code for f in diagnose(FleetStatus.from_json(one), FleetStatus.from_json(two))}

    def machine(which: str, **more: Any) -> Any:
        return lambda s: s["machines"][which].update(more)

    def part(**more: Any) -> Any:
        return lambda s: s["machines"]["s1"]["store"]["parts"][0].update(more)

    silent = {n: {"persisted": 5, "silent": n == "s2", "full": False, "disk": n} for n in ("s2", "s3", "s4")}
    lag = {n: {"persisted": -900, "silent": False, "full": False, "disk": n} for n in ("s2",)}
    assert found(lambda s: s["machines"].update(e1={"unreachable": "x"})) == {"D02"}
    assert found(machine("e1", edition=2), machine("e1", edition=2)) == {"D03"}
    assert found(machine("e1", name="e2")) == {"D04"} and found(machine("e1", clash="x")) == {"D04"}
    assert found(machine("e1", peer="127.0.0.1:1")) == {"D05"} and found(machine("e1", duties=[])) == {"D05"}
    assert found(machine("e1", up=0.5)) == {"D06"}
    assert found(part(mirrors=silent)) == {"D07"} and found(part(mirrors=lag)) == {"D07"}
    assert found(part(owning=False)) == {"D08"} and found(part(crew={"s1": "s1"})) == {"D08"}
    assert found(lambda s: s["machines"]["s1"]["store"].update(free=1)) == {"D09"}
    assert found(lambda s: s["machines"]["s1"]["store"].update(bad="sync failed")) == {"D10"}
    assert found(lambda s: s["machines"]["c1"]["control"].update(leads=False)) == {"D11"}
    assert found(lambda s: s["machines"]["c1"]["control"].update(backup="")) == {"D11"}
    control = good["machines"]["c3"]["control"]
    assert found(machine("c3", control=control | {"in_touch": False})) == {"D11"}
    barred = {"gpu/w1": {"barred": "weights b, want a", "mine": 0, "weights": "b", "running": 0, "waiting": 0}}
    assert found(machine("e1", servers=barred)) == {"D12"}
    assert found(part(losses=1)) == {"D13"}
    assert found(machine("e1", release="0.2")) == {"D14"}
    behind = part(last=9, covered=5, awaited=["s3"])
    assert found(behind, behind) == {"D15"}
    assert found(behind) == set() and found(part(last=9, covered=6), behind) == set()
    assert found(part(last=9, covered=5, epoch=99), behind) == set()
    unkept = machine("e1", unkept={"3": 2})
    assert found(unkept) == {"D16"} and found(unkept, unkept) == set()
