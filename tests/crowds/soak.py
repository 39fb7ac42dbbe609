"""Crowds of several kinds in series that overlap, beside restarts and signals; by hand with `python -m tests.crowds.soak`.

    python -m tests.crowds.soak FIRST COUNT

plays the seeds from FIRST on, each with fresh edges, and prints what each broke.
"""

from __future__ import annotations

import itertools
import random
import signal
import sys
import threading
from collections.abc import Iterable
from pathlib import Path

from sim.exit_status import ExitStatus, verdict_of
from tests.crowds.clients import HOST, Member, call, in_pieces, open_crowd, ordinary_request, request_head, run_crowd
from tests.crowds.deployment import FRONT_PORT, MAX_BODY_BYTES, READY_PORT, Deployment, Machine, wait_until
from tests.crowds.judgement import assert_serves, assert_within_limits
from tests.crowds.running_deployment import running_deployment

MEMBERS = 40
END_LIMIT_S = 60.0  # far above the time that a process has for its end
CHANGES = 4  # in one run of the soak
KINDS = ("trailers", "bodies", "chunks", "pipelines", "idle")


def chunked_head(path: str, number: int) -> bytes:
    return request_head(path, number, "Transfer-Encoding: chunked")


def pieces_of(kind: str, path: str, number: int) -> Iterable[bytes]:
    """Returns what a member of a crowd of this kind sends."""
    if kind == "trailers":
        block = (b"x-trailer: " + b"t" * 67 + b"\r\n") * 800
        return itertools.chain([chunked_head(path, number) + b"4\r\nbody\r\n0\r\n"], itertools.repeat(block, 40))
    if kind == "bodies":
        head = request_head(path, number, f"Content-Length: {MAX_BODY_BYTES}")
        return in_pieces(head + b"b" * (MAX_BODY_BYTES - 1))
    if kind == "chunks":
        return itertools.chain([chunked_head(path, number)], itertools.repeat(b"2\r\nbb\r\n" * 4096, 40))
    if kind == "pipelines":
        return itertools.repeat(f"GET /live/p HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode() * 1000, 20)
    return []


def crowd_of(edge: Machine, kind: str, path: str = "/live/crowd", count: int = MEMBERS) -> list[Member]:
    members = open_crowd(f"{edge.ip}:{FRONT_PORT}", count, lambda number: pieces_of(kind, path, number))
    for member in members:
        member.limit_s = 5.0
    return members


def close_all(members: list[Member]) -> None:
    for member in members:
        member.close()


def restart(deployment: Deployment, machine: Machine, number: signal.Signals) -> None:
    """Ends a process by a signal, and starts it again."""
    assert machine.process is not None
    machine.process.send_signal(number)
    machine.process.wait(END_LIMIT_S)
    deployment.start(machine)


class OrdinaryClient:
    """Makes ordinary requests, one after another, until stopped; counts those that were answered."""

    def __init__(self, edges: list[Machine]) -> None:
        self.edges, self.answered = edges, 0
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self) -> None:
        for number in itertools.count():
            if self.stopped.is_set():
                return
            edge = self.edges[number % len(self.edges)]
            self.answered += ordinary_request(f"{edge.ip}:{FRONT_PORT}", number).status == 200

    def stop(self) -> None:
        self.stopped.set()
        self.thread.join()


def minds_hangup(machine: Machine) -> bool:
    """Returns whether a process ignores or handles SIGHUP; while the interpreter starts, it can't do either."""
    lines = Path(f"/proc/{machine.pid}/status").read_text().splitlines()
    masks = [int(line.split()[1], 16) for line in lines if line.startswith(("SigIgn:", "SigCgt:"))]
    return any(mask & 1 << (signal.SIGHUP - 1) for mask in masks)


def change(deployment: Deployment, edges: list[Machine], chance: random.Random) -> None:
    """Restarts a drawn process by a drawn signal, or only signals it."""
    machine = chance.choice([*edges, *deployment.of("store"), *deployment.of("core")])
    number = chance.choice([signal.SIGTERM, signal.SIGKILL, signal.SIGHUP])
    if number is signal.SIGHUP:
        wait_until(lambda: minds_hangup(machine), "the process has begun to run its program")
        assert machine.process is not None
        machine.process.send_signal(number)
        return
    restart(deployment, machine, number)
    if machine in edges:
        wait_until(lambda: call(f"{machine.ip}:{READY_PORT}", "GET", "/-/ready").status == 200, "the edge is ready")


def soak(deployment: Deployment, seed: int) -> None:
    """Lets crowds come to two edges in series that overlap, while processes are restarted and an ordinary client goes on.

    The clients of a crowd keep their connections until all is over.
    """
    chance = random.Random(seed)
    edges = [deployment.add_started("edge") for _ in range(2)]
    for edge in edges:
        wait_until(lambda edge=edge: call(f"{edge.ip}:{READY_PORT}", "GET", "/-/ready").status == 200, "ready")  # type: ignore[misc]
    client, members, sending = OrdinaryClient(edges), list[Member](), list[threading.Thread]()
    try:
        for _ in range(CHANGES):
            kind, path = chance.choice(KINDS), chance.choice(["/live/crowd", "/jobs/crowd", "/v1/calls", "/none"])
            crowd = crowd_of(chance.choice(edges), kind, path, chance.randint(5, MEMBERS))
            members += crowd
            sending.append(threading.Thread(target=run_crowd, args=(crowd,)))
            sending[-1].start()
            change(deployment, edges, chance)
        for thread in sending:
            thread.join()
        for machine in [*edges, *deployment.of("store"), *deployment.of("core")]:
            assert_within_limits(machine)
    finally:
        client.stop()
        close_all(members)
    for edge in edges:
        assert_serves(edge)
        assert edge.process is not None
        edge.process.kill()
        edge.process.wait()
    assert client.answered, "no ordinary request was answered in all the time"


def main(first: int, count: int) -> int:
    """Plays so many seeds; returns `BROKEN` if any of them broke something, else `HELD`."""
    broken = 0
    for seed in range(first, first + count):
        with running_deployment() as deployment:
            try:
                soak(deployment, seed)
                print(f"seed {seed}: held", flush=True)
            except AssertionError as error:
                broken += 1
                print(f"seed {seed}: {error}", flush=True)
    return ExitStatus.BROKEN if broken else ExitStatus.HELD


if __name__ == "__main__":
    sys.exit(verdict_of(lambda: main(int(sys.argv[1]), int(sys.argv[2]))))
