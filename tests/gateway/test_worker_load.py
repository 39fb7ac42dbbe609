"""Tests of postpass.gateway.worker_load."""

from __future__ import annotations

import asyncio

import aiohttp

from postpass.feed.configuration_view import ConfigurationView
from postpass.gateway.worker_load import Spot, WorkerLoad, share_of
from postpass.runtime.environment import Environment, now
from postpass.worker_api.openai import Report


def test_quotas_add_up_to_the_bound() -> None:
    for total in range(1, 40):
        for many in range(1, 12):
            assert sum(share_of(total, r + 5, many) for r in range(many)) == total


def test_a_fresh_worker_has_little_room_and_a_barred_one_none() -> None:
    from postpass.configuration.configuration import small

    async def run() -> None:
        clock = [1000.0]
        configuration_view = ConfigurationView("e1")
        configuration = small()
        configuration["ramp"] = 10.0
        configuration["pools"]["gpu"]["servers"]["w1"]["slots"] = 8
        configuration_view.accept(1, configuration)
        async with aiohttp.ClientSession() as session:
            floor = WorkerLoad("e1", Environment(wall=lambda: clock[0]), configuration_view, session)
            assert floor.barred("gpu", "w1", 2.0) == "not polled yet"
            floor.spots[("gpu", "w1")] = Spot(Report(0, 0, 0.0, 1000.0, "m", "1"), now(), "")
            assert floor.barred("gpu", "w1", 2.0) == "" and floor.cap("gpu", "w1") == 1
            assert sum(floor.quota("gpu", "w1", r, 8) for r in range(8)) == 1
            clock[0] = 1005.0
            assert sum(floor.quota("gpu", "w1", r, 8) for r in range(8)) == 4
            clock[0] = 1010.0
            assert sum(floor.quota("gpu", "w1", r, 8) for r in range(8)) == 12
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
            assert floor.barred("gpu", "w1", 2.0) == "area a is evacuated"

    asyncio.run(run())
