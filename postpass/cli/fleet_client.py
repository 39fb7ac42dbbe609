"""HTTP requests of the command line to machines of the fleet, and the errors that end a command."""

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
MAX_BODY_SHOWN = 200  # characters of a response that isn't an error body of postpass
CONFIGURATION_PATH = "/v1/manifest"
STATUS_PATH = "/v1/status"
UNAVAILABLE = 503

# Creates the connector of each request; None selects aiohttp's default. The simulator replaces this function.
connector_factory: Callable[[], aiohttp.BaseConnector | None] = lambda: None  # noqa: E731


class ExitCode(IntEnum):
    """The exit codes of the command line.

    UNKNOWN: it isn't known whether the fleet accepted a change, or no machine answered. PENDING: the change was accepted,
    but not yet confirmed by all machines that should confirm it.
    """

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
    PENDING = 4


class CommandError(Exception):
    """An error that ends a command with an exit code; `reason` is printed as one line after the command's name."""

    def __init__(self, code: ExitCode, reason: str) -> None:
        super().__init__(reason)
        self.code, self.reason = code, reason


@dataclass(frozen=True)
class Answer:
    """A machine's response: `body` is the parsed JSON, or the text if it isn't JSON; `headers` has names in lower case."""

    status: int
    body: Any
    headers: dict[str, str]
    addr: str

    @property
    def revision(self) -> str:
        """The revision of the configuration, from the response's entity tag."""
        return self.headers["etag"].strip('"')

    def error_line(self) -> str:
        """Returns why the machine rejected the request, as one line."""
        error = self.body.get("error", {}) if isinstance(self.body, dict) else {}
        why = error.get("why", str(self.body)[:MAX_BODY_SHOWN])
        wait = f"; try again in {self.headers['retry-after']} s" if "retry-after" in self.headers else ""
        return f"{error.get('step', 'call')} at {error.get('peer', self.addr)}: {why}{wait}"


def addresses(flag_value: str | Sequence[Any], variable: str, role: str) -> list[str]:
    """Returns the IP:PORT addresses in the value of a flag or, if that is empty, in an environment variable.

    `role` is the name of the flag. Raises CommandError if there are no addresses.
    """
    if isinstance(flag_value, (tuple, list)):
        found_addresses = [str(addr) for addr in flag_value]
    else:
        found_addresses = [addr for addr in str(flag_value or os.environ.get(variable, "")).split(",") if addr]
    if not found_addresses:
        raise CommandError(ExitCode.USAGE, f"no {role} address: give --{role} IP:PORT[,IP:PORT] or set {variable}")
    return found_addresses


def control_addresses(flag_value: str | Sequence[Any]) -> list[str]:
    """Returns the HTTP addresses of control machines; raises CommandError if none are given."""
    return addresses(flag_value, "POSTPASS_CONTROL", "control")


def edge_addresses(flag_value: str | Sequence[Any]) -> list[str]:
    """Returns the HTTP addresses of edges; raises CommandError if none are given."""
    return addresses(flag_value, "POSTPASS_EDGE", "edge")


async def request_from_any(
    addrs: list[str],
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = REQUEST_TIMEOUT_S,
) -> Answer:
    """Sends a request to one address after the other; returns the first response that comes within the timeout.

    A request that changes something isn't repeated at the next address once it may have been sent, because it could then
    be carried out twice: CommandError is raised with the exit code UNKNOWN. A control machine that has lost contact with
    the other members answers 503. A GET, or a configuration, then goes to the next address; a configuration may be repeated
    because one that was accepted already is answered as such. Returns the last 503 response if there is no other, and
    raises CommandError if no address answers.
    """
    reason, last_answer = "", None
    repeatable = method == "GET" or path == CONFIGURATION_PATH
    timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
    async with aiohttp.ClientSession(connector=connector_factory(), timeout=timeout) as session:
        for addr in addrs:
            try:
                last_answer = await _send_request(session, addr, method, path, body, headers)
            except aiohttp.ClientConnectorError as error:
                reason = f"{addr}: {error.os_error.strerror or 'cannot be reached'}"
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                reason = f"{addr}: {str(error) or 'no answer in time'}"
                if method != "GET":
                    # The user has to find out whether a machine accepted the request; it is not repeated here.
                    reason_unknown = f"{reason}; it is not known whether it was taken, ask again"
                    raise CommandError(ExitCode.UNKNOWN, reason_unknown) from error
            else:
                if last_answer.status != UNAVAILABLE or not repeatable:
                    return last_answer
    if last_answer is not None:
        return last_answer
    raise CommandError(ExitCode.UNKNOWN, reason)


async def _send_request(
    session: aiohttp.ClientSession, addr: str, method: str, path: str, body: Any, headers: dict[str, str] | None
) -> Answer:
    """Sends one request to one address, and returns its response."""
    async with session.request(method, f"http://{addr}{path}", json=body, headers=headers) as response:
        data = await response.read()
        try:
            content = json.loads(data)
        except ValueError:
            content = data.decode(errors="replace")
        return Answer(response.status, content, {name.lower(): value for name, value in response.headers.items()}, addr)


async def read_configuration(addrs: list[str]) -> Answer:
    """Asks control machines for the configuration in force; the response may be an error, so callers check its status."""
    return await request_from_any(addrs, "GET", CONFIGURATION_PATH)


async def control_status_pages(addrs: list[str]) -> dict[str, Any]:
    """Returns the control status of each given control machine that answers, by name, whether or not one is primary."""

    async def read_control_status(addr: str) -> Any:
        try:
            return (await request_from_any([addr], "GET", STATUS_PATH, timeout_s=STATUS_TIMEOUT_S)).body
        except CommandError:
            return None

    pages = await asyncio.gather(*(read_control_status(addr) for addr in addrs))
    return {page["name"]: page["control"] for page in pages if isinstance(page, dict) and "control" in page}


async def fleet_status_pages(addrs: list[str], program: str) -> dict[str, Any]:
    """Returns the configuration, and the status page of each of its machines or the reason why it can't be read.

    `program` is the command's name, with which these reasons begin. `FleetStatus.from_json` parses the result. Raises
    CommandError if the configuration can't be read.
    """
    answer = await read_configuration(addrs)
    if answer.status != 200:
        raise CommandError(ExitCode.UNKNOWN, answer.error_line())

    async def read_status_page(machine: dict[str, Any]) -> Any:
        try:
            return (await request_from_any([machine["http"]], "GET", STATUS_PATH, timeout_s=STATUS_TIMEOUT_S)).body
        except CommandError as error:
            return {"unreachable": f"{program}: {error.reason}"}

    names = [name for name, machine in answer.body["machines"].items() if not machine.get("gone")]
    pages = await asyncio.gather(*(read_status_page(answer.body["machines"][name]) for name in names))
    return {
        "edition": int(answer.revision),
        "manifest": answer.body,
        "machines": dict(zip(names, pages, strict=True)),
    }
