"""Jobs are handed in and read at real edges while stores are added, frozen and restarted; by hand with

    python -m tests.crowds.store_changes FIRST COUNT

which plays the seeds from FIRST on, each with a fresh deployment, and prints what each broke. Only the answer that an accepted job
isn't there is a breach while the changes go on: what a probe of the test can't reach says nothing.
"""

from __future__ import annotations

import base64
import http.client
import json
import os
import random
import signal
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

from sim.exit_status import ExitStatus, verdict_of
from tests.crowds.clients import HOST, Answer, call, call_as_json
from tests.crowds.deployment import (
    FRONT_PORT,
    PEER_PORT,
    READY_PORT,
    ZONES,
    Deployment,
    Machine,
    configuration,
    wait_until,
)
from tests.crowds.soak import restart
from tests.crowds.worker import Worker

STORES, EDGES = 4, 3
CLIENTS = 6
LATE_S = 1.2  # by which the last store starts later than the other machines
CALL_LIMIT_S = 4.0
TRIES = 4  # of a client that gets no clear answer
SETTLE_S = 1.0  # from when an accepted job must be found
BEFORE_S, AFTER_S = 2.0, 4.0  # jobs are handed in for so long before the first change and after the last
CHANGES = 5  # in one run
PAUSE_S = (0.0, 1.5)  # between two changes
FREEZE_S = (3.5, 6.0)  # for which a store stands still
READ_LIMIT_S = 24.0  # twice `recoverS`: every accepted job can be read again so soon after the last change
NOT_THERE = (404, 410)


@dataclass(eq=False)
class KeptConnections:
    """One client's connections to the edges, which it uses until they are closed."""

    connections: dict[str, http.client.HTTPConnection] = field(default_factory=dict)

    def call(self, address: str, method: str, path: str, body: bytes = b"", request_id: str = "") -> Answer:
        """Makes one request; the status 0 stands for no answer."""
        host, _, port = address.rpartition(":")
        connection = self.connections.setdefault(
            address, http.client.HTTPConnection(host, int(port), timeout=CALL_LIMIT_S)
        )
        headers = {"Host": HOST, "Content-Type": "application/json"} | (
            {"Postpass-Attempt-Id": request_id} if request_id else {}
        )
        try:
            connection.request(method, path, body or None, headers)
            response = connection.getresponse()
            return Answer(response.status, response.read())
        except (OSError, http.client.HTTPException):
            connection.close()
            return Answer(0)

    def close(self) -> None:
        for connection in self.connections.values():
            connection.close()


def job_document(job: str) -> bytes:
    items = [
        {
            "id": f"{job}{i}",
            "path": "/jobs/item",
            "headers": {},
            "body": base64.b64encode(b"item").decode(),
            "tokens": 10,
        }
        for i in range(3)
    ]
    return json.dumps({"items": items}).encode()


@dataclass(eq=False)
class JobClients:
    """Clients that hand jobs in, and read what was accepted, at any edge, until stopped.

    Attributes:
        accepted: When each job was accepted, by its id.
        breaches: Answers that an accepted job isn't there.
        reads: Number of accepted jobs that were read.
    """

    edges: list[Machine]
    seed: int
    accepted: dict[str, float] = field(default_factory=dict)
    breaches: list[str] = field(default_factory=list)
    reads: int = 0
    stopped: threading.Event = field(default_factory=threading.Event)
    threads: list[threading.Thread] = field(default_factory=list)

    def start(self) -> None:
        self.threads = [threading.Thread(target=self._run, args=(number,)) for number in range(CLIENTS)]
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def _run(self, number: int) -> None:
        chance, kept = random.Random(f"{self.seed} {number}"), KeptConnections()
        while not self.stopped.wait(chance.uniform(0.0, 0.2)):
            self._hand_in(chance, kept, f"{chance.getrandbits(64):016x}")
            known = list(self.accepted)
            for job in chance.sample(known, min(2, len(known))) + known[-1:]:
                self.read(kept, chance.choice(self.edges), job)
        kept.close()

    def _hand_in(self, chance: random.Random, kept: KeptConnections, job: str) -> None:
        """Hands a job in, again at another edge after a promise or a failure."""
        for _ in range(TRIES):
            edge = chance.choice(self.edges)
            answer = kept.call(f"{edge.ip}:{FRONT_PORT}", "POST", f"/jobs/{job[:6]}", job_document(job), job)
            if answer.status == 202:
                self.accepted[job] = time.monotonic()
                return
            time.sleep(0.2)

    def read(self, kept: KeptConnections, edge: Machine, job: str) -> int:
        """Reads an accepted job at an edge; returns the status of the answer."""
        accepted_for = time.monotonic() - self.accepted[job]
        status = kept.call(f"{edge.ip}:{FRONT_PORT}", "GET", f"/-/lots/{job}?startAfter=0").status
        self.reads += status == 200
        if status in NOT_THERE and accepted_for > SETTLE_S:
            self.breaches.append(
                f"{time.strftime('%H:%M:%S')} {edge.name} answered {status} for {job}, {accepted_for:.1f} s after it was accepted"
            )
        return status

    def unreadable(self, edge: Machine) -> list[str]:
        """Returns the accepted jobs that an edge can't show within the limit."""
        kept, deadline = KeptConnections(), time.monotonic() + READ_LIMIT_S
        remaining = list(self.accepted)
        while remaining and time.monotonic() < deadline:
            remaining = [job for job in remaining if self.read(kept, edge, job) != 200]
            time.sleep(0.2 if remaining else 0.0)
        kept.close()
        return remaining


def ready(edge: Machine) -> bool:
    return call(f"{edge.ip}:{READY_PORT}", "GET", "/-/ready").status == 200


def listens(store: Machine) -> bool:
    """Does a store accept connections at its address for operators?"""
    return call(f"{store.ip}:{PEER_PORT + 1}", "GET", "/health").status == 200


def found(deployment: Deployment) -> tuple[list[Machine], Worker]:
    """Starts all machines of a new deployment, one store last; returns its edges, which are ready, and its worker.

    An edge that is ready before all stores listen fails the run.
    """
    cores = [deployment.add("core", zone) for zone in ZONES]
    stores = [deployment.add("store", ZONES[i % len(ZONES)]) for i in range(STORES)]
    edges = [deployment.add("edge", ZONES[i % len(ZONES)]) for i in range(EDGES)]
    for machine in [*cores, *edges, *stores[:-1]]:
        deployment.start(machine)
    time.sleep(LATE_S)
    deployment.start(stores[-1])
    worker = Worker(deployment.worker_address(), deployment.control_addresses())
    worker.start()
    control = deployment.control_addresses()[0]
    wait_until(
        lambda: call_as_json(control, "PUT", "/-/config", configuration(), {"If-Match": "0"}).status == 200,
        "the configuration is taken",
    )
    for edge in edges:
        wait_until(lambda edge=edge: ready(edge), f"{edge.name} is ready")  # type: ignore[misc]
    late = [store.name for store in stores if not listens(store)]
    assert not late, f"the edges are ready while {late} refuse connections"
    deployment.bootstrap = False
    return edges, worker


def freeze(machine: Machine, seconds: float) -> threading.Timer:
    """Has a machine stand still for a time; returns the timer that wakes it."""
    os.kill(machine.pid, signal.SIGSTOP)
    timer = threading.Timer(seconds, lambda: os.kill(machine.pid, signal.SIGCONT))
    timer.start()
    return timer


def change(deployment: Deployment, chance: random.Random, kind: str) -> threading.Timer | None:
    """Adds stores, or strikes a store or an edge."""
    if kind == "add":
        for _ in range(chance.randint(1, 4)):
            deployment.add_started("store", chance.choice(ZONES))
        return None
    store = chance.choice(deployment.of("store"))
    if kind == "freeze":
        return freeze(store, chance.uniform(*FREEZE_S))
    number = signal.SIGKILL if kind == "kill" else signal.SIGTERM
    restart(deployment, chance.choice(deployment.of("edge")) if kind == "restart edge" else store, number)
    return None


def play(deployment: Deployment, seed: int) -> JobClients:
    """Plays one run; returns the clients with what they found."""
    chance = random.Random(f"store changes {seed}")
    edges, worker = found(deployment)
    clients = JobClients(edges, seed)
    clients.start()
    try:
        time.sleep(BEFORE_S)
        frozen: threading.Timer | None = None
        for kind in ["freeze", "add", *chance.choices(["freeze", "kill", "end", "add", "restart edge"], k=CHANGES - 2)]:
            if frozen is not None and kind in ("freeze", "kill", "end"):
                frozen.join()  # one store is struck at a time, as many as may be lost
            frozen = change(deployment, chance, kind) or frozen
            time.sleep(chance.uniform(*PAUSE_S))
        if frozen is not None:
            frozen.join()
        time.sleep(AFTER_S)
        clients.stop()
        for edge in edges:
            clients.breaches += [f"{edge.name} could not show {job}" for job in clients.unreadable(edge)]
    finally:
        clients.stop()
        worker.stop()
    return clients


def keep_logs(deployment: Deployment, seed: int) -> Path:
    """Copies the logs of all machines to a folder that stays, and returns it."""
    folder = Path(tempfile.mkdtemp(prefix=f"store-changes-{seed}-"))
    for machine in deployment.machines:
        (folder / f"{machine.name}.log").write_text(machine.log())
    return folder


def main(first: int, count: int) -> int:
    """Plays so many seeds; returns `BROKEN` if any of them broke something, else `HELD`."""
    broken = 0
    for seed in range(first, first + count):
        deployment = Deployment()
        try:
            clients = play(deployment, seed)
            if clients.breaches:
                broken += 1
                print(f"logs of seed {seed}: {keep_logs(deployment, seed)}")
        finally:
            deployment.close()
        found_text = "; ".join(clients.breaches[:5]) or "held"
        print(f"seed {seed}: {len(clients.accepted)} accepted, {clients.reads} read, {found_text}", flush=True)
    return ExitStatus.BROKEN if broken else ExitStatus.HELD


if __name__ == "__main__":
    sys.exit(verdict_of(lambda: main(int(sys.argv[1]), int(sys.argv[2]))))
