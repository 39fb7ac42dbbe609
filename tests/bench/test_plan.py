"""Tests of bench.plan."""

from __future__ import annotations

from bench.plan import changed, config, manifest


def test_the_small_fleet_is_a_good_manifest_and_its_configs_too() -> None:
    from postpass.configuration.configuration import check
    from postpass.configuration.settings import parse

    man = manifest()
    assert check(man).is_ok(), check(man)
    for name in man["machines"]:
        control = "control" in man["machines"][name]["duties"]
        assert parse(config(man, name, "d"), control).is_ok()
    assert changed(man, "pools.gpu.servers.w1.leave", True)["pools"]["gpu"]["servers"]["w1"]["leave"]
    assert "leave" not in man["pools"]["gpu"]["servers"]["w1"]
