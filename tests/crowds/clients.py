"""An ordinary client, and the members of crowds, over plain sockets."""

from __future__ import annotations

import http.client
import json
import select
import socket
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

HOST = "crowd.example"
CALL_LIMIT_S = 10.0  # for which an ordinary client waits for one answer
TRIES = 20  # of an ordinary client, each on a new connection
PAUSE_S = 0.3  # between two tries
PIECE_BYTES = 64 << 10
SEND_LIMIT_S = 60.0  # for which a member of a crowd waits until it may send on


@dataclass(frozen=True)
class Answer:
    """The answer to a request; the status 0 stands for none."""

    status: int
    body: bytes = b""


def call(
    address: str, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None,
    limit_s: float = CALL_LIMIT_S,
) -> Answer:  # fmt: skip
    """Makes one request on a new connection."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=limit_s)
    try:
        connection.request(method, path, body or None, {"Host": HOST} | (headers or {}))
        response = connection.getresponse()
        return Answer(response.status, response.read())
    except (OSError, http.client.HTTPException):
        return Answer(0)
    finally:
        connection.close()


def call_as_json(address: str, method: str, path: str, document: Any, headers: dict[str, str] | None = None) -> Answer:
    return call(
        address, method, path, json.dumps(document).encode(), {"Content-Type": "application/json"} | (headers or {})
    )


def ordinary_request(address: str, number: int, body: bytes = b"an ordinary request") -> Answer:
    """Makes one ordinary live request, again after a promise or a failure, as a proper client does."""
    answer = Answer(0)
    for attempt in range(TRIES):
        headers = {"Postpass-Attempt-Id": f"ordinary-{number}-{attempt}", "Postpass-Deadline-Ms": "8000"}
        answer = call(address, "POST", "/live/ordinary", body, headers)
        if answer.status == 200:
            break
        time.sleep(PAUSE_S)
    return answer


def request_head(path: str, number: int, *lines: str) -> bytes:
    """Returns the head of a request."""
    fixed = [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"Postpass-Attempt-Id: crowd-{number}"]
    return "\r\n".join([*fixed, *lines, "", ""]).encode()


@dataclass(eq=False)
class Member:
    """One connection of a crowd, which sends `pieces` and then stays open, or until the server closes it.

    `reads`: whether it reads what the server sends, which it then discards; `limit_s`: for how many seconds it waits until it
    may send on.
    """

    address: str
    pieces: Iterable[bytes]
    reads: bool = True
    limit_s: float = SEND_LIMIT_S
    sent: int = 0
    closed_by_server: bool = False

    def __post_init__(self) -> None:
        host, _, port = self.address.rpartition(":")
        self.socket = socket.create_connection((host, int(port)), timeout=SEND_LIMIT_S)

    def send_all(self) -> None:
        """Sends all pieces; gives up once the server has closed the connection, or takes no more for a long time."""
        try:
            for piece in self.pieces:
                self._send(piece)
                if self.closed_by_server:
                    return
        except TimeoutError:
            return
        except OSError:
            self.closed_by_server = True

    def _send(self, piece: bytes) -> None:
        view = memoryview(piece)
        self.socket.setblocking(False)
        while view:
            wanted = [self.socket] if self.reads else []
            readable, writable, _ = select.select(wanted, [self.socket], [], self.limit_s)
            if not readable and not writable:
                raise TimeoutError
            if readable and not self._discard_received():
                return
            if writable:
                count = self.socket.send(view)
                self.sent += count
                view = view[count:]

    def _discard_received(self) -> bool:
        """Reads what has arrived; returns whether the connection is still open."""
        try:
            open_still = bool(self.socket.recv(1 << 16))
        except BlockingIOError:
            return True
        self.closed_by_server = self.closed_by_server or not open_still
        return open_still

    def wait_for_close(self, limit_s: float) -> bool:
        """Returns whether the server closes the connection within `limit_s` seconds."""
        self.socket.settimeout(limit_s)
        try:
            while self.socket.recv(1 << 16):
                pass
        except TimeoutError:
            return False
        except OSError:
            pass
        return True

    def close(self) -> None:
        self.socket.close()


def run_crowd(members: list[Member]) -> None:
    """Lets all members send at once; returns when each has sent everything or was closed by the server."""
    threads = [threading.Thread(target=member.send_all) for member in members]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def open_crowd(address: str, count: int, pieces: Callable[[int], Iterable[bytes]], reads: bool = True) -> list[Member]:
    """Opens the connections of a crowd; `pieces` returns what the member of a number sends."""
    members = []
    for number in range(count):
        try:
            members.append(Member(address, pieces(number), reads))
        except OSError:
            continue
    return members


def in_pieces(data: bytes, size: int = PIECE_BYTES) -> Iterable[bytes]:
    """Splits data."""
    return (data[start : start + size] for start in range(0, len(data), size))
