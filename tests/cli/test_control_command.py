"""Tests of `postpassctl` against control machines of which none is a primary in contact with the others."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from postpass.cli import fleet_client
from postpass.cli.fleet_client import Answer, CommandError, ExitCode
from postpass.cli.main import Commands
from tests.control.test_health import _statuses

OUT_OF_TOUCH = (503, {"error": {"step": "read", "peer": "c1", "why": "out of touch"}})


def constant_response(answer: tuple[int, Any]) -> Any:
    """Returns a connection handler that gives the same HTTP response to every request."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        body = json.dumps(answer[1]).encode()
        head = f"HTTP/1.1 {answer[0]} X\r\ncontent-length: {len(body)}\r\nconnection: close\r\nretry-after: 1\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        writer.close()

    return serve


def ask_servers(answers: list[tuple[int, Any]], method: str, path: str) -> tuple[Answer, int]:
    """Sends a request to servers with these responses; returns the answer, and the index of the server that gave it."""

    async def exchange() -> tuple[Answer, int]:
        servers = [await asyncio.start_server(constant_response(a), "127.0.0.1", 0) for a in answers]
        addrs = [f"127.0.0.1:{s.sockets[0].getsockname()[1]}" for s in servers]
        answer = await fleet_client.request_from_any(addrs, method, path, None)
        for server in servers:
            server.close()
        return answer, addrs.index(answer.addr)

    return asyncio.run(exchange())


def test_a_control_machine_without_contact_is_skipped_for_requests_that_may_be_repeated() -> None:
    for method in ("GET", "PUT"):
        answer, index = ask_servers([OUT_OF_TOUCH, (200, {"edition": 3})], method, "/v1/manifest")
        assert (answer.status, index) == (200, 1)
    answer, index = ask_servers([OUT_OF_TOUCH, OUT_OF_TOUCH], "GET", "/v1/manifest")
    assert answer.status == 503 and index == 1
    answer, index = ask_servers([OUT_OF_TOUCH, (200, {})], "POST", "/v1/lots")
    assert (answer.status, index) == (503, 0)


def test_status_shows_the_members_that_answer_if_none_is_primary(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    statuses = _statuses(3)
    statuses["c1"]["leads"] = False

    async def request_from_any(where: list[str], _method: str, path: str, *_arguments: Any, **_options: Any) -> Answer:
        if path == "/v1/manifest":
            return Answer(*OUT_OF_TOUCH, {"retry-after": "1"}, where[0])
        name = where[0].partition(":")[0]
        if name == "c3":
            raise CommandError(ExitCode.UNKNOWN, "c3: cannot be reached")
        return Answer(200, {"name": name, "control": statuses[name]}, {}, where[0])

    monkeypatch.setattr(fleet_client, "request_from_any", request_from_any)
    assert Commands().status(control="c1:80,c2:80,c3:80") == ExitCode.UNKNOWN
    lines = capsys.readouterr().out.splitlines()
    assert "out of touch" in lines[0] and lines[2].startswith("c1") and lines[3].startswith("c2")
    assert lines[-1] == "next tolerated loss: COULD NOT BE BORNE, there is no primary"
    assert Commands().doctor(control="c1:80,c2:80,c3:80") == ExitCode.REFUSED
    assert "D01" in capsys.readouterr().out
