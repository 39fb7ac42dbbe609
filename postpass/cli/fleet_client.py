"""Requests of the command line to machines of the fleet, and the errors that end a command."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import aiohttp

REQUEST_TIMEOUT_S = 20.0
STATUS_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 2.0
MAX_BODY_SHOWN = 200  # characters of an answer that is no JSON of ours
CONFIGURATION_PATH = "/v1/manifest"
STATUS_PATH = "/v1/status"
UNAVAILABLE = 503

# Makes the connector of each request; None stands for aiohttp's own. The simulator puts another in its place.
connector_factory: Callable[[], aiohttp.BaseConnector | None] = lambda: None  # noqa: E731


class ExitCode(IntEnum):
    """The exit codes of the command line. UNKNOWN: it isn't known whether the fleet accepted a change, or nothing
    answered. PENDING: accepted, but not confirmed by all that should have."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
    PENDING = 4


class CommandError(Exception):
    """Ends a command with an exit code and a reason, which is shown as one line after the command's name."""

    def __init__(self, code: ExitCode, reason: str) -> None:
        super().__init__(reason)
        self.code, self.reason = code, reason


@dataclass(frozen=True)
class Answer:
    """What a machine answered: `body` is JSON, or text if it is none; the names of `headers` are in lower case."""

    status: int
    body: Any
    headers: dict[str, str]
    addr: str

    @property
    def revision(self) -> str:
        """The revision of the configuration that the answer tells by its entity tag."""
        return self.headers["etag"].strip('"')

    def refusal(self) -> str:
        """Why the machine refused, for one line."""
        error = self.body.get("error", {}) if isinstance(self.body, dict) else {}
        why = error.get("why", str(self.body)[:MAX_BODY_SHOWN])
        wait = f"; try again in {self.headers['retry-after']} s" if "retry-after" in self.headers else ""
        return f"{error.get('step', 'call')} at {error.get('peer', self.addr)}: {why}{wait}"


def addresses(given: str | Sequence[Any], variable: str, role: str) -> list[str]:
    """The IP:PORT that a flag lists or, without it, an environment variable; raises CommandError if there are none."""
    if isinstance(given, (tuple, list)):
        out = [str(addr) for addr in given]
    else:
        out = [addr for addr in str(given or os.environ.get(variable, "")).split(",") if addr]
    if not out:
        raise CommandError(ExitCode.USAGE, f"no {role} address: give --{role} IP:PORT[,IP:PORT] or set {variable}")
    return out


def control_addresses(given: str | Sequence[Any]) -> list[str]:
    """Where the control machines serve HTTP."""
    return addresses(given, "POSTPASS_CONTROL", "control")


def edge_addresses(given: str | Sequence[Any]) -> list[str]:
    """Where the edges serve HTTP."""
    return addresses(given, "POSTPASS_EDGE", "edge")


async def ask(
    where: list[str],
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    limit: float = REQUEST_TIMEOUT_S,
) -> Answer:
    """The answer of the first address that gives one within `limit` seconds; raises CommandError if none does.

    A request that changes something isn't sent on after it may have left. A control machine without contact says so
    with 503: the next one is asked. A configuration may be sent on even then, since one that was accepted already is
    told as such.
    """
    reason, last = "", None
    repeatable = method == "GET" or path == CONFIGURATION_PATH
    timeout = aiohttp.ClientTimeout(total=limit, sock_connect=CONNECT_TIMEOUT_S)
    async with aiohttp.ClientSession(connector=connector_factory(), timeout=timeout) as session:
        for addr in where:
            try:
                last = await _exchange(session, addr, method, path, body, headers)
            except aiohttp.ClientConnectorError as error:
                reason = f"{addr}: {error.os_error.strerror or 'cannot be reached'}"
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                reason = f"{addr}: {str(error) or 'no answer in time'}"
                if method != "GET":
                    unknown = f"{reason}; it is not known whether it was taken, ask again"
                    raise CommandError(ExitCode.UNKNOWN, unknown) from error
            else:
                if last.status != UNAVAILABLE or not repeatable:
                    return last
    if last is not None:
        return last
    raise CommandError(ExitCode.UNKNOWN, reason)


async def _exchange(
    session: aiohttp.ClientSession, addr: str, method: str, path: str, body: Any, headers: dict[str, str] | None
) -> Answer:
    """One request to one address."""
    async with session.request(method, f"http://{addr}{path}", json=body, headers=headers) as got:
        data = await got.read()
        try:
            content = json.loads(data)
        except ValueError:
            content = data.decode(errors="replace")
        return Answer(got.status, content, {name.lower(): value for name, value in got.headers.items()}, addr)


async def read_configuration(where: list[str]) -> Answer:
    """The configuration in force, asked of control machines; whoever calls looks at the status."""
    return await ask(where, "GET", CONFIGURATION_PATH)


async def control_status_pages(where: list[str]) -> dict[str, Any]:
    """What those of the given control machines say of themselves that answer, whether or not any of them leads."""

    async def one(addr: str) -> Any:
        try:
            return (await ask([addr], "GET", STATUS_PATH, limit=STATUS_TIMEOUT_S)).body
        except CommandError:
            return None

    pages = await asyncio.gather(*(one(addr) for addr in where))
    return {page["name"]: page["control"] for page in pages if isinstance(page, dict) and "control" in page}


async def fleet_status_pages(where: list[str], program: str) -> dict[str, Any]:
    """The status page of every machine of the configuration, or why it can't be had; with the configuration itself.

    `program` is the command's name, which such reasons begin with. `postpass.cli.status_page` reads the result. Raises
    CommandError if the configuration can't be read.
    """
    got = await read_configuration(where)
    if got.status != 200:
        raise CommandError(ExitCode.UNKNOWN, got.refusal())

    async def one(machine: dict[str, Any]) -> Any:
        try:
            return (await ask([machine["http"]], "GET", STATUS_PATH, limit=STATUS_TIMEOUT_S)).body
        except CommandError as error:
            return {"unreachable": f"{program}: {error.reason}"}

    names = [name for name, machine in got.body["machines"].items() if not machine.get("gone")]
    pages = await asyncio.gather(*(one(got.body["machines"][name]) for name in names))
    return {
        "edition": int(got.revision),
        "manifest": got.body,
        "machines": dict(zip(names, pages, strict=True)),
    }
