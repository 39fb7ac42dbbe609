"""Tests of bench.plan."""

from __future__ import annotations

from bench.plan import changed, config, manifest


def test_the_small_fleet_is_a_good_manifest_and_its_configs_too() -> None:
    from postpass.configuration.configuration_check import check
    from postpass.configuration.settings import parse

    configuration = manifest()
    assert check(configuration).is_ok(), check(configuration)
    for name in configuration["machines"]:
        control = "control" in configuration["machines"][name]["duties"]
        assert parse(config(configuration, name, "d"), control).is_ok()
    assert changed(configuration, "pools.gpu.servers.w1.leave", True)["pools"]["gpu"]["servers"]["w1"]["leave"]
    assert "leave" not in configuration["pools"]["gpu"]["servers"]["w1"]
