"""Responses about jobs fit into a frame, however large the items and their results are, and the rest is asked for at once."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace
from typing import Any

import pytest
from result import Ok

from postpass.batch.dispatch import Dispatcher
from postpass.batch.job import Job, JobResult, JobView, results_page
from postpass.batch.leased_items import LeasedItems
from postpass.batch.leases import Leases, OwnerState, grant_bytes, item_grant
from postpass.batch.messages import TakeRequest, TakeResponse
from postpass.configuration.settings import Bounds
from postpass.replication.catch_up import CatchUp
from postpass.replication.messages import FetchAnswer, FetchRequest
from postpass.replication.partition import Partition
from postpass.replication.record_log import Record
from postpass.rpc.codec import Body, PeerResponse, encode_body
from postpass.rpc.framing import MAXIMUM_FRAME_BYTES
from postpass.rpc.response_budget import RESPONSE_BYTES, ResponseBudget
from postpass.runtime.environment import Environment
from sim.loop import SimLoop, run_sim

WANTED = 10_000
LARGEST_BODY = 3 << 20  # of an item that fills the largest job that a client may send, in base64 about 4 MiB


def job_of_route(name: str, sizes: list[int], due: float = 10.0, client: str = "") -> Job:
    """A job of a route whose items have bodies of these sizes."""
    items = [
        {"id": f"{name}-{i}", "path": "/x", "headers": {"A": "ø" * 20}, "tokens": 10, "size": n}
        for i, n in enumerate(sizes)
    ]
    body = {"route": "r", "caller": client, "items": items, "due": due, "tries": 3}
    return Job(name, 1, body, "", payload=b"x" * sum(sizes))


def job_of_class(name: str, texts: list[str], shared: str) -> Job:
    """A job of a class, whose items share a text."""
    body = {"class": "route:r", "caller": "c", "shared": [shared], "items": texts, "due": 10.0}
    return Job(name, 1, body, "")


class Owner:
    """An owner's leases without a network."""

    def __init__(self, jobs: list[Job]) -> None:
        self.partition = Partition(
            0, "s1", "disk", epoch=1, covered=10, view=JobView(jobs={each.id: each for each in jobs})
        )
        self.state = OwnerState()
        table: Any = SimpleNamespace(environment=SimpleNamespace(wall=lambda: 0.0))
        none: Any = None
        self.leases = Leases(table, none, none)

    def take(self, wanted: int = WANTED) -> TakeResponse:
        request = TakeRequest("e1", 1, {"route:r": wanted}, [])
        return self.leases.grant(self.partition, self.state, request, 1e9)

    def take_all(self) -> list[TakeResponse]:
        """Takes until there is no more."""
        responses = [self.take()]
        while responses[-1].more:
            responses.append(self.take())
        return responses


def frame_bytes(body: Body) -> int:
    return len(encode_body(body).encode())


SHAPES = {
    "four large jobs": [job_of_route(f"j{n}", [100_000] * 30) for n in range(4)],
    "the largest items": [job_of_route(f"j{n}", [LARGEST_BODY]) for n in range(3)],
    "small after large": [job_of_route("large", [LARGEST_BODY] * 2), job_of_route("small", [10] * 300)],
    "long shared text": [job_of_class("k", ["question"] * 200, "æ" * 100_000)],
    "control characters": [job_of_class("k", ["\x01" * 30_000] * 200, "")],
}


@pytest.mark.parametrize("shape", SHAPES)
def test_items_of_any_size_are_leased_in_responses_that_fit_into_a_frame(shape: str) -> None:
    """A scheduler that took over asked for more bytes than a frame holds, and never got an item of them."""

    async def main(_: SimLoop) -> None:
        jobs = SHAPES[shape]
        responses = Owner(jobs).take_all()
        assert max(frame_bytes(response.as_json()) for response in responses) < MAXIMUM_FRAME_BYTES
        granted = [(grant.job, grant.position) for response in responses for grant in response.items]
        assert granted == [(each.id, i) for each in jobs for i in range(each.size)]  # in the serving order, each once
        assert all(response.items for response in responses)

    run_sim(main, 1)


def test_small_items_come_in_one_response_as_before() -> None:
    async def main(_: SimLoop) -> TakeResponse:
        return Owner([job_of_route("j", [3_000] * 248)]).take(248)

    response = run_sim(main, 1)
    assert (len(response.items), response.more) == (248, False)
    assert "more" not in response.as_json()


def test_clients_share_what_is_leased_as_they_do_in_one_response() -> None:
    """The bound on the bytes moves no job ahead of another, also where clients take turns."""

    async def main(_: SimLoop) -> None:
        def jobs(size: int) -> list[Job]:
            return [job_of_route(f"{client}{n}", [size] * 10, 1.0, client) for n in range(6) for client in "ab"]

        def order(size: int) -> list[str]:
            return [grant.job for response in Owner(jobs(size)).take_all() for grant in response.items]

        assert order(100_000) == order(0)

    run_sim(main, 1)


def test_the_size_of_an_item_in_a_response_is_not_underestimated() -> None:
    chance = random.Random(1)
    alphabet = 'a"\\\n\x00ø€😀'
    for _ in range(200):
        text = "".join(chance.choices(alphabet, k=chance.randrange(60)))
        for job in (job_of_class("k", [text], text), job_of_route("j", [chance.randrange(500)])):
            assert frame_bytes(item_grant(job, 0).as_json()) <= grant_bytes(job, 0)


def test_a_budget_accepts_one_row_of_any_size_and_none_after_one_that_did_not_fit() -> None:
    budget = ResponseBudget(100)
    assert [budget.accept(size) for size in (400, 1, 0)] == [True, False, False]
    budget = ResponseBudget(100)
    assert [budget.accept(size) for size in (60, 40, 1, 0)] == [True, True, False, False]
    assert ResponseBudget().limit == RESPONSE_BYTES < MAXIMUM_FRAME_BYTES


def test_a_scheduler_asks_again_at_once_for_what_did_not_fit() -> None:
    """Otherwise large items would come no faster than one response in each pause between two rounds."""
    owner = Owner([job_of_route("j", [600_000] * 12)])
    requests: list[dict[str, int]] = []

    async def ask(partition: int, verb: str, body: Body, wait: float) -> PeerResponse:
        requests.append(dict(body["room"]))
        await asyncio.sleep(0.001)
        request = TakeRequest.from_json(body)
        return Ok(owner.leases.grant(owner.partition, owner.state, request, 1e9).as_json())

    async def main(loop: SimLoop) -> tuple[int, float]:
        none: Any = None
        settings: Any = SimpleNamespace(name="s1", bounds=Bounds())
        election: Any = SimpleNamespace(active=True, leaving=False, term=1)
        owners: Any = SimpleNamespace(ask=ask)
        dispatcher = Dispatcher(
            settings, Environment(), none, election, owners, LeasedItems(), none, none, none, none, asyncio.Event()
        )
        await dispatcher.lease(0, {"route:r": 10})
        return len(dispatcher.items), loop.clock

    held, seconds = run_sim(main, 1)
    assert held == 10
    assert [request["route:r"] for request in requests] == [10, 8, 6, 4, 2]
    assert seconds < Bounds().scheduling_pause / 10


def test_a_page_of_long_results_fits_into_a_frame_and_the_next_goes_on() -> None:
    """500 results of a job of a class were one page, whatever their length."""
    outputs = {i: JobResult(i + 1, "done", "ø" * 60_000) for i in range(100)}
    job = Job("j", 1, {"class": "reading", "items": ["x"] * 100, "due": 1.0}, "", results=outputs, order=list(outputs))
    start, rows = 0, []
    while True:
        page = results_page(job, 1000, start, 500)
        assert page.rows and frame_bytes({"results": page.rows}) < MAXIMUM_FRAME_BYTES
        rows += page.rows
        start = page.next_start
        if page.done:
            break
    assert [row["item"] for row in rows] == list(range(100))


def test_records_of_the_largest_jobs_are_fetched_one_by_one() -> None:
    async def main(_: SimLoop) -> None:
        partition = Partition(0, "s1", "disk", promised=3)
        for seq in range(1, 4):
            partition.record_log.append(Record(seq, 1, "lot", b"x" * LARGEST_BODY))
        settings = SimpleNamespace(name="s1")
        table: Any = SimpleNamespace(partition=lambda _: partition, settings=settings)
        for after in range(3):
            response = await CatchUp(table).on_fetch(FetchRequest(0, 3, after, 0).encode())
            body = response.unwrap()
            assert frame_bytes(body) < MAXIMUM_FRAME_BYTES
            assert [record.seq for record in FetchAnswer.decode(body).records] == [after + 1]

    run_sim(main, 1)
