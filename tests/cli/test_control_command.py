"""What the operator's tool does with control machines that lead nothing."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from postpass.cli import fleet_client
from postpass.cli.fleet_client import Answer, CommandError, ExitCode
from postpass.cli.main import Commands
from tests.control.test_health import _statuses

STALE = (503, {"error": {"step": "read", "peer": "c1", "why": "out of touch"}})


def door(answer: tuple[int, Any]) -> Any:
    """A machine that answers every request alike."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        body = json.dumps(answer[1]).encode()
        head = f"HTTP/1.1 {answer[0]} X\r\ncontent-length: {len(body)}\r\nconnection: close\r\nretry-after: 1\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        writer.close()

    return serve


def asked(answers: list[tuple[int, Any]], method: str, path: str) -> tuple[Answer, int]:
    """What `ask` gives, and which of the machines answered it."""

    async def exchange() -> tuple[Answer, int]:
        servers = [await asyncio.start_server(door(a), "127.0.0.1", 0) for a in answers]
        addrs = [f"127.0.0.1:{s.sockets[0].getsockname()[1]}" for s in servers]
        got = await fleet_client.ask(addrs, method, path, None)
        for server in servers:
            server.close()
        return got, addrs.index(got.addr)

    return asyncio.run(exchange())


def test_a_machine_without_contact_is_passed_over_for_what_may_be_repeated() -> None:
    for method in ("GET", "PUT"):
        got, which = asked([STALE, (200, {"edition": 3})], method, "/v1/manifest")
        assert (got.status, which) == (200, 1)
    got, which = asked([STALE, STALE], "GET", "/v1/manifest")
    assert got.status == 503 and which == 1
    got, which = asked([STALE, (200, {})], "POST", "/v1/lots")
    assert (got.status, which) == (503, 0)


def test_status_shows_the_members_that_answer_where_none_leads(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    views = _statuses(3)
    views["c1"]["leads"] = False

    async def ask(where: list[str], _method: str, path: str, *_more: Any, **_options: Any) -> Answer:
        if path == "/v1/manifest":
            return Answer(*STALE, {"retry-after": "1"}, where[0])
        name = where[0].partition(":")[0]
        if name == "c3":
            raise CommandError(ExitCode.UNKNOWN, "c3: cannot be reached")
        return Answer(200, {"name": name, "control": views[name]}, {}, where[0])

    monkeypatch.setattr(fleet_client, "ask", ask)
    assert Commands().status(control="c1:80,c2:80,c3:80") == ExitCode.UNKNOWN
    lines = capsys.readouterr().out.splitlines()
    assert "out of touch" in lines[0] and lines[2].startswith("c1") and lines[3].startswith("c2")
    assert lines[-1] == "next tolerated loss: COULD NOT BE BORNE, there is no primary"
    assert Commands().doctor(control="c1:80,c2:80,c3:80") == ExitCode.REFUSED
    assert "D01" in capsys.readouterr().out
