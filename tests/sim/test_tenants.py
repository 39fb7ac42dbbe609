"""Tenants in a simulated fleet: their keys stay in the operator's document, whatever becomes of it."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import pytest
from absl import logging

from postpass.configuration.tenant_keys import key_digest
from postpass.control.daemon import ControlPlane
from postpass.daemon.process import Daemon
from sim.announced import AnnouncedFleet, Sizes
from sim.http1 import call
from sim.loop import SimLoop, run_sim

FIRST, SECOND, OTHER = "h5mgjy5rcpihhacrudde", "dev3nax7u27gxprymh2r", "q9wxk3nsr7t2vbbm4cpl"
KEYS = (FIRST, SECOND, OTHER)
PAGES = ("/v1/status", "/metrics", "/health", "/ready")


@pytest.fixture
def log_lines(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """The lines that the daemons log, in order."""
    lines: list[str] = []
    monkeypatch.setattr(logging, "log", lambda _level, text, *args, **_: lines.append(text % args if args else text))
    for level in ("info", "warning", "error"):
        monkeypatch.setattr(logging, level, lambda text, *args, **_: lines.append(text % args if args else text))
    return lines


def daemons(fleet: AnnouncedFleet) -> Iterator[Daemon]:
    yield from (box.daemon for box in fleet.boxes.values() if box.up and isinstance(box.daemon, Daemon))


async def shown(fleet: AnnouncedFleet) -> str:
    """All that daemons tell of themselves: their pages, and the feed as a follower of any revision is told it."""
    texts: list[str] = []
    for daemon in daemons(fleet):
        view = daemon.configuration_view
        texts += [json.dumps(view.changes_since(revision)) for revision in range(view.revision)]
        for path in PAGES:
            head, body = await call(daemon.settings.http, "GET", path)
            texts.append(f"{head.status} {path}\n{body.decode()}")
    return "\n".join(texts)


def test_keys_are_shown_to_the_operator_alone(log_lines: list[str]) -> None:
    async def main(loop: SimLoop) -> dict[str, Any]:
        tenants: list[dict[str, Any]] = [
            {"name": "a", "keys": [FIRST, SECOND], "rateS": 40},
            {"name": "b", "keys": [OTHER]},
        ]
        empty: dict[str, Any] = {"machines": {}, "pools": {}}
        fleet = AnnouncedFleet(loop, empty, 1, sizes=Sizes(), tenants=tenants)
        got: dict[str, Any] = {}

        async def day() -> None:
            await fleet.found_announced(10.0)
            statuses = [
                await fleet.operator.set_keys("a", [SECOND]),
                await fleet.operator.invalid("shared_key"),
                await fleet.operator.change(
                    "PATCH", {"version": 90, "upsert": {"tenants": {"x": FIRST}}}, None, fleet.operator.version, False
                ),
            ]
            got["statuses"] = statuses
            got["shown"] = await shown(fleet)
            member = next(d for d in daemons(fleet) if isinstance(d, ControlPlane))
            _, body = await call(member.settings.http, "GET", "/-/config")
            got["read"] = json.loads(body)
            got["feeds"] = [d.configuration_view.manifest for d in daemons(fleet)]

        await loop.create_task(day(), context=fleet.platform.context())
        return got

    got: dict[str, Any] = run_sim(main, 1)
    assert got["statuses"] == [200, 400, 400]
    assert [tenant["keys"] for tenant in got["read"]["tenants"]] == [[SECOND], [OTHER]]
    assert len(got["feeds"]) == 12
    for configuration in got["feeds"]:
        assert configuration["tenants"]["a"]["keys"] == [key_digest(SECOND.encode())]
    assert key_digest(SECOND.encode()) in got["shown"] and len(log_lines) > 100
    assert got["shown"].count("200 /v1/status") >= 8 <= got["shown"].count("200 /metrics")  # stores and control members
    for text in (got["shown"], "\n".join(log_lines)):
        assert not [key for key in KEYS if key in text]
