"""Tests of sim.plugged."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from bench.plan import changed
from postpass.runtime import log_events
from postpass.worker_api import plugins
from sim.fleet import SimFleet
from sim.interface import SendRequest, with_fleet
from sim.runner import judge, play
from sim.scenario import parse


def test_the_example_places_requests_in_the_own_zone_and_a_missing_plug_in_is_refused() -> None:
    async def check(world: SimFleet, send: SendRequest) -> None:
        configuration = changed(
            changed(world.configuration, "classes.ask.place", "near"), "classes.ask.prefix", "all-shared"
        )
        assert (await send("PUT", "/v1/manifest", configuration, {"if-match": '"1"'}, to="c1"))[0] == 200
        await asyncio.sleep(1)
        for i in range(6):
            await send("POST", "/v1/calls", {"class": "ask", "own": f"ask:{i} x", "shared": ["p"]}, to="e2")
        assert {e["worker"] for e in world.events if e["ev"] == "took"} == {"w2"}, "e2 is in zone b, as w2 is"
        response = await send(
            "PUT", "/v1/manifest", changed(configuration, "classes.ask.place", "nowhere"), {"if-match": '"2"'}, to="c1"
        )
        assert response[0] == 400 and "no plug-in 'nowhere' is installed" in response[1]["flaws"][0]

    with_fleet(check)


def test_a_plug_in_that_raises_makes_no_request_fail(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(kind: str, name: str) -> Any:
        def run(*_: Any) -> str:
            raise RuntimeError("a plug-in with a fault")

        return run

    monkeypatch.setattr(plugins, "find", broken)
    scenario = parse(
        "set classes.ask.place=near classes.ask.prefix=all-shared\nload ask=6\nrun 6\nexpect calls_share == 1", "plug"
    )
    report = play(scenario, 1)
    assert judge(scenario, report) == []
    assert log_events.COUNTS[154] > 10
