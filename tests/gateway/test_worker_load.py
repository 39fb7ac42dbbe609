"""Tests of postpass.gateway.worker_load."""

from __future__ import annotations

import asyncio

import aiohttp

from postpass.feed.configuration_view import ConfigurationView
from postpass.gateway.worker_load import (
    WorkerId,
    WorkerLoad,
    WorkerState,
    integer_share,
    report_as_json,
    report_from_json,
)
from postpass.runtime.environment import Environment, now
from postpass.worker_api.openai import Report


def test_quotas_add_up_to_the_bound() -> None:
    for total in range(1, 40):
        for shares in range(1, 12):
            assert sum(integer_share(total, r + 5, shares) for r in range(shares)) == total


def test_a_report_goes_between_daemons_by_the_keys_that_older_releases_read() -> None:
    report = Report(1, 2, 0.5, 1000.0, "m", "1")
    raw = report_as_json(report)
    assert list(raw.items()) == [
        ("running", 1), ("waiting", 2), ("cache", 0.5), ("start", 1000.0), ("weights", "m"), ("edition", "1"),
    ]  # fmt: skip
    assert report_from_json(raw) == report


def test_a_starting_worker_has_few_usable_slots_and_a_barred_one_none() -> None:
    from tests.support.sample_configuration import small_configuration

    async def run() -> None:
        clock = [1000.0]
        configuration_view = ConfigurationView("e1")
        configuration = small_configuration()
        configuration["ramp"] = 10.0
        configuration["pools"]["gpu"]["servers"]["w1"]["slots"] = 8
        configuration_view.accept(1, configuration)
        async with aiohttp.ClientSession() as session:
            load = WorkerLoad("e1", Environment(wall=lambda: clock[0]), configuration_view, session)
            assert load.barred_reason("gpu", "w1", 2.0) == "not polled yet"
            load.workers[WorkerId("gpu", "w1")] = WorkerState(Report(0, 0, 0.0, 1000.0, "m", "1"), now(), "")
            assert load.barred_reason("gpu", "w1", 2.0) == "" and load.usable_slots("gpu", "w1") == 1
            assert sum(load.quota("gpu", "w1", r, 8) for r in range(8)) == 1
            clock[0] = 1005.0
            assert sum(load.quota("gpu", "w1", r, 8) for r in range(8)) == 4
            clock[0] = 1010.0
            assert sum(load.quota("gpu", "w1", r, 8) for r in range(8)) == 12
            configuration_view.accept(
                2,
                configuration
                | {
                    "evacuated": ["a"],
                    "pools": configuration["pools"]
                    | {
                        "gpu": {
                            "kind": "model",
                            "servers": {
                                "w1": configuration["pools"]["gpu"]["servers"]["w1"],
                                "w2": {"url": "http://127.2.1.1:9000", "area": "b", "slots": 4},
                            },
                        },
                        "app": {
                            "kind": "plain",
                            "servers": {"p1": {"url": "http://127.2.1.2:9000", "area": "b", "slots": 4}},
                        },
                    },
                },
            )
            assert load.barred_reason("gpu", "w1", 2.0) == "area a is evacuated"

    asyncio.run(run())
