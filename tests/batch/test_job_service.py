"""Jobs of a route in a whole fleet on simulated time, with a fake for the workers."""

from __future__ import annotations

import asyncio
import base64
import json
from collections import Counter
from collections.abc import AsyncIterator, Callable
from typing import Any

import pytest
from absl import logging

from bench.plan import manifest
from postpass.batch.job_api import JobApi
from postpass.batch.scheduler import Scheduler
from postpass.configuration.configuration import Route, partition_of
from postpass.daemon.data_plane import DataPlane
from postpass.runtime.errors import Fault, FaultError
from sim.fleet import SimFleet
from sim.loop import SimLoop, run_sim

ROUTE: Route = {
    "host": "h.example", "prefix": "/lot/", "kind": "lot", "split": [{"pool": "gpu", "weight": 1}], "timeout": 8.0,
    "target": 0.4, "rank": 2, "tries": 2, "resumable": True, "gap": 0.3, "tokens": True, "quota": 1000, "due": 10.0,
    "expire": 20.0,
}  # fmt: skip


class Answer:
    def __init__(self, status: int, headers: list[tuple[bytes, bytes]], parts: list[bytes], cut: bool) -> None:
        self.status, self.headers, self.parts, self.cut = status, headers, parts, cut
        self.reused = False

    async def chunks(self) -> AsyncIterator[bytes]:
        for part in self.parts:
            await asyncio.sleep(0.02)
            yield part
        if self.cut:
            raise FaultError(Fault("body", "w", "cut"))

    def close(self) -> None: ...


class FakeWorkers:
    """Fake workers: every item has three events; the first run of an item whose id ends in `cut` is cut after two."""

    def __init__(self) -> None:
        self.runs: list[tuple[str, int]] = []
        self.full = False

    async def request(self, addr: str, method: str, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes,
                      *, admission_check: Callable[[], str], limit: float, expect: tuple[bytes, bytes] | None) -> Answer:  # fmt: skip
        why = admission_check()
        if why:
            raise FaultError(Fault("gate", addr, why, unsent=True))
        if self.full:
            return Answer(503, [(b"x-not-run", b"1")], [], False)
        sent_headers = dict(headers)
        name, last = sent_headers[b"x-call-id"].decode(), int(sent_headers.get(b"last-event-id", b"-1"))
        again = any(n == name for n, _ in self.runs)
        self.runs.append((name, last))
        own_headers = [(b"x-call-id", name.encode()), (b"x-seal", b"s")]
        if name.endswith(("never", "fails")):
            return Answer(422 if name.endswith("never") else 500, own_headers, [], False)
        events_sent = 2 if name.endswith("cut") and not again else 3
        parts = [f"id: {n}\ndata: {body.decode()}{n}\n\n".encode() for n in range(last + 1, events_sent)]
        return Answer(200, own_headers, parts, events_sent < 3)


def job_json(*ends: str, tokens: int = 10) -> bytes:
    items = [
        {"id": f"i{n}{end}", "path": "/lot/x", "headers": {}, "body": base64.b64encode(b"t").decode(), "tokens": tokens}
        for n, end in enumerate(ends)
    ]
    return json.dumps({"items": items}).encode()


def run_with_fleet(check: Callable[[SimFleet, list[JobApi], FakeWorkers], Any], at: str = "e1", **route: Any) -> None:
    logging.set_verbosity(logging.FATAL)
    workers = FakeWorkers()

    def replace_workers(daemon: Any) -> None:
        if isinstance(daemon, DataPlane):
            open_daemon = daemon.open

            async def open_with_workers() -> None:
                await open_daemon()
                if daemon.scheduler is not None:
                    daemon.scheduler.runner.workers = workers

            daemon.open = open_with_workers  # type: ignore[method-assign]

    async def main(loop: SimLoop) -> None:
        fleet = SimFleet(loop, manifest() | {"routes": {"r": dict(ROUTE) | route}}, 1, make=replace_workers)
        await fleet.found()

        def api(name: str) -> JobApi:
            daemon = fleet.boxes[name].daemon
            assert isinstance(daemon, DataPlane) and daemon.edge is not None
            return JobApi(daemon.edge)

        host = fleet.boxes[at].host
        assert host is not None
        task = loop.create_task(check(fleet, [api("e1"), api("e2")], workers), context=host.context())
        await task

    run_sim(main, 1)


def schedulers_by_name(fleet: SimFleet) -> dict[str, Scheduler]:
    daemons = {n: b.daemon for n, b in fleet.boxes.items()}
    return {n: d.scheduler for n, d in daemons.items() if isinstance(d, DataPlane) and d.scheduler is not None}


def schedulers(fleet: SimFleet) -> list[Scheduler]:
    return list(schedulers_by_name(fleet).values())


def owner_of(fleet: SimFleet, partition: int) -> str:
    return next(
        n
        for n, box in fleet.boxes.items()
        if isinstance(box.daemon, DataPlane) and box.daemon.store and box.daemon.store.partitions[partition].ready
    )


def repeat_failure_reports(fleet: SimFleet, times: int = 2) -> list[dict[str, Any]]:
    """Has each scheduler send each report of a failure so many times more; returns the reports, without the repetitions."""
    reports: list[dict[str, Any]] = []

    def repeat(scheduler: Scheduler) -> None:
        ask = scheduler.owners.ask

        async def ask_again(partition: int, verb: str, body: dict[str, Any], wait: float) -> Any:
            answer = await ask(partition, verb, body, wait)
            if verb == "done" and body["status"] == "failed":
                reports.append(body)
                for _ in range(times):
                    await ask(partition, verb, body, wait)
            return answer

        scheduler.owners.ask = ask_again  # type: ignore[method-assign]

    for scheduler in schedulers(fleet):
        repeat(scheduler)
    return reports


async def all_results(api: JobApi, name: str) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = []
    for _ in range(40):
        page = (await api.results(name, len(rows), 1.0)).unwrap()
        rows += page["results"]
        assert page["next"] == len(rows)
        if len(rows) == page["total"]:
            return rows
    raise AssertionError(f"no end, {rows}")


class Test_a_job_of_a_route:
    def test_is_kept_runs_and_reads_the_same_at_every_edge(self) -> None:
        async def check(fleet: SimFleet, apis: list[JobApi], workers: FakeWorkers) -> None:
            began = fleet.loop.clock
            assert (await apis[0].accept("r", ROUTE, "l1", job_json("a", "cut", "never", "fails")))[0] == 202
            assert fleet.loop.clock - began < 0.1
            assert (await apis[1].accept("r", ROUTE, "l1", job_json("a", "cut", "never", "fails")))[0] == 202
            assert (await apis[1].accept("r", ROUTE, "l1", job_json("other")))[0] == 409
            assert (await apis[1].item("l1", "i0a")).unwrap() == b"t"
            rows = await all_results(apis[0], "l1")
            assert {r["id"]: (r["state"], r["text"]) for r in rows} == {
                "i0a": ("done", "t0\nt1\nt2"), "i1cut": ("done", "t0\nt1\nt2"), "i2never": ("abandoned", ""),
                "i3fails": ("abandoned", ""),
            }  # fmt: skip
            assert rows == await all_results(apis[1], "l1")
            assert ("i1cut", 1) in workers.runs and len(workers.runs) == 6
            assert (await apis[1].item("l1", "i0a")).unwrap_err() == 404
            assert (await apis[0].results("l2", 0, 0)).unwrap_err() == 404
            assert fleet.loop.clock - began < 2.0

        run_with_fleet(check)

    def test_is_taken_without_the_fields_that_are_not_read(self) -> None:
        async def check(fleet: SimFleet, apis: list[JobApi], workers: FakeWorkers) -> None:
            plain = json.loads(job_json("a"))
            more = {"later": [1], "items": [item | {"later": {"deep": [None]}} for item in plain["items"]]}
            assert (await apis[0].accept("r", ROUTE, "l1", json.dumps(more).encode()))[0] == 202
            assert (await apis[1].accept("r", ROUTE, "l1", job_json("a")))[0] == 202  # the same job
            assert [row["state"] for row in await all_results(apis[1], "l1")] == ["done"]

        run_with_fleet(check)

    def test_is_the_same_one_when_it_comes_again_under_another_name_of_its_route(self) -> None:
        async def check(fleet: SimFleet, apis: list[JobApi], workers: FakeWorkers) -> None:
            workers.full = True
            assert (await apis[0].accept("r", ROUTE, "l1", job_json("a")))[0] == 202
            renamed = {**fleet.configuration, "routes": {"r": dict(ROUTE), "r2": dict(ROUTE)}}
            await fleet.apply(renamed, apis[0].edge.configuration_view.revision)
            assert (await apis[1].accept("r2", ROUTE, "l1", job_json("a")))[0] == 202
            assert (await apis[1].accept("r2", ROUTE, "l1", job_json("other")))[0] == 409

        run_with_fleet(check)

    @pytest.mark.parametrize("timeout", [0.4, 1.5])
    def test_is_answered_within_its_routes_timeout(self, timeout: float) -> None:
        async def check(fleet: SimFleet, apis: list[JobApi], workers: FakeWorkers) -> None:
            number = partition_of("l1", fleet.configuration["parts"])
            for name in apis[0].edge.configuration_view.order(number):
                fleet.freeze(name)
            began = fleet.loop.clock
            answer = await apis[0].accept("r", ROUTE | {"timeout": timeout}, "l1", job_json("a"))  # type: ignore[arg-type]
            assert answer.status in (503, 504) and fleet.loop.clock - began < timeout + 0.3

        run_with_fleet(check)

    def test_counts_the_failures_of_an_item_beyond_a_takeover(self) -> None:
        async def check(fleet: SimFleet, apis: list[JobApi], workers: FakeWorkers) -> None:
            stubborn: Route = ROUTE | {"tries": 4}  # type: ignore[assignment]
            assert (await apis[0].accept("r", stubborn, "l1", job_json("fails")))[0] == 202
            while len(workers.runs) < 2:
                await asyncio.sleep(0.01)
            workers.full = True
            await asyncio.sleep(0.5)
            fleet.kill(owner_of(fleet, partition_of("l1", fleet.configuration["parts"])), silent=True)
            await asyncio.sleep(6.0)
            await apis[1].results("l1", 0, 0.0)  # the first request may go to the owner that was killed
            workers.full = False
            assert [r["state"] for r in await all_results(apis[1], "l1")] == ["abandoned"]
            assert len(workers.runs) == 4

        run_with_fleet(check)

    def test_counts_a_failure_once_whose_report_comes_again(self) -> None:
        async def check(fleet: SimFleet, apis: list[JobApi], workers: FakeWorkers) -> None:
            reports = repeat_failure_reports(fleet)
            assert (await apis[0].accept("r", ROUTE | {"tries": 4}, "l1", job_json("fails")))[0] == 202  # type: ignore[arg-type]
            assert [r["state"] for r in await all_results(apis[1], "l1")] == ["abandoned"]
            assert len(workers.runs) == 4 and len(reports) == 4

        run_with_fleet(check)

    def test_counts_a_failure_once_whose_report_comes_again_to_the_next_owner(self) -> None:
        async def check(fleet: SimFleet, apis: list[JobApi], workers: FakeWorkers) -> None:
            reports = repeat_failure_reports(fleet, times=0)
            assert (await apis[0].accept("r", ROUTE | {"tries": 3}, "l1", job_json("fails")))[0] == 202  # type: ignore[arg-type]
            while not reports:
                await asyncio.sleep(0.01)
            workers.full = True
            await asyncio.sleep(0.5)
            partition = partition_of("l1", fleet.configuration["parts"])
            fleet.kill(owner_of(fleet, partition), silent=True)
            await asyncio.sleep(6.0)
            await apis[1].results("l1", 0, 0.0)  # the first request may go to the owner that was killed
            scheduler = next(s for s in schedulers(fleet) if s.active)
            for body in reports[:1] * 3:
                assert (await scheduler.owners.ask(partition, "done", body, 1.0)).is_ok()
            assert (await apis[1].results("l1", 0, 0.0)).unwrap()["results"] == []
            workers.full = False
            assert [r["state"] for r in await all_results(apis[1], "l1")] == ["abandoned"]
            assert len(workers.runs) == 3

        run_with_fleet(check)

    def test_is_refused_past_the_quota_and_taken_once_there_is_room(self) -> None:
        async def check(fleet: SimFleet, apis: list[JobApi], workers: FakeWorkers) -> None:
            workers.full = True  # so that no item is done, which would lower the count
            codes = [(await apis[n % 2].accept("r", ROUTE, f"l{n}", job_json("a", tokens=400)))[0] for n in range(4)]
            assert codes == [202, 202, 429, 429]
            assert (await apis[0].finish("l0")).is_ok() and (await apis[1].finish("l0")).is_ok()
            await asyncio.sleep(1.0)
            assert (await apis[0].accept("r", ROUTE, "l2", job_json("a", tokens=400)))[0] == 202
            assert (await apis[0].accept("r", ROUTE, "l3", job_json("a", tokens=400)))[0] == 429

        run_with_fleet(check)

    def test_is_given_up_once_expired(self) -> None:
        async def check(fleet: SimFleet, apis: list[JobApi], workers: FakeWorkers) -> None:
            workers.full = True
            brief: Route = ROUTE | {"expire": 3.0}  # type: ignore[assignment]
            assert (await apis[0].accept("r", brief, "l1", job_json("a", "b")))[0] == 202
            began = fleet.loop.clock
            assert [r["state"] for r in await all_results(apis[1], "l1")] == ["abandoned", "abandoned"]
            assert 2.9 <= fleet.loop.clock - began <= 5.0 and workers.runs == []

        run_with_fleet(check)

    def test_is_given_up_at_once_when_its_route_is_gone_and_its_items_are_let_go(self) -> None:
        async def check(fleet: SimFleet, apis: list[JobApi], workers: FakeWorkers) -> None:
            workers.full = True
            assert (await apis[0].accept("r", ROUTE, "l1", job_json("a", "b")))[0] == 202
            await asyncio.sleep(1.0)
            assert sum(len(s.items) for s in schedulers(fleet)) == 2
            assert (
                await fleet.apply({**fleet.configuration, "routes": {}}, apis[0].edge.configuration_view.revision) == 2
            )
            began = fleet.loop.clock
            assert [r["state"] for r in await all_results(apis[1], "l1")] == ["abandoned", "abandoned"]
            assert fleet.loop.clock - began < 1.0
            workers.full = False
            await asyncio.sleep(1.0)
            assert workers.runs == [] and sum(len(s.items) for s in schedulers(fleet)) == 0

        run_with_fleet(check)

    def test_goes_by_no_configuration_older_than_its_acceptance(self) -> None:
        async def check(fleet: SimFleet, apis: list[JobApi], workers: FakeWorkers) -> None:
            known = apis[0].edge.configuration_view.revision
            apis[0].edge.configuration_view.revision += 2  # as if only this edge knew of two further revisions
            removed_route = asyncio.create_task(apis[0].accept("gone", ROUTE, "l1", job_json("a")))
            again = asyncio.create_task(apis[0].accept("r", ROUTE, "l2", job_json("b")))
            assert [(await t)[0] for t in (removed_route, again)] == [202, 202]
            apis[0].edge.configuration_view.revision = known
            await asyncio.sleep(2.0)
            assert workers.runs == []  # the route exists, but may go to other pools by now
            assert (await apis[1].results("l1", 0, 0)).unwrap()[
                "results"
            ] == []  # and this route may have been added by now
            for turn in range(2):
                configuration = fleet.configuration | {"retention": 3600.0 + turn}
                assert await fleet.apply(configuration, known + turn) == known + turn + 1
            assert [r["state"] for r in await all_results(apis[1], "l2")] == ["done"]
            assert [r["state"] for r in await all_results(apis[1], "l1")] == ["abandoned"]

        run_with_fleet(check)

    def test_that_is_ended_does_not_run_when_a_scheduler_that_was_frozen_wakes(self) -> None:
        async def check(fleet: SimFleet, apis: list[JobApi], workers: FakeWorkers) -> None:
            workers.full = True
            for name, ends in (("l1", ("a", "b")), ("l2", ("c", "d"))):
                assert (await apis[1].accept("r", ROUTE, name, job_json(*ends)))[0] == 202
            await asyncio.sleep(0.5)
            frozen = next(n for n, s in schedulers_by_name(fleet).items() if s.items)
            fleet.freeze(frozen)
            api = apis[1]
            assert frozen != "e2"  # the machine on which this check runs
            async with asyncio.timeout(10.0):
                while (await api.finish("l1")).is_err():
                    await asyncio.sleep(0.2)
            ended = fleet.loop.clock
            await asyncio.sleep(3.0)
            workers.full = False
            term = max(s.election.term for s in schedulers(fleet))
            fleet.thaw(frozen)
            assert {r["state"] for r in await all_results(api, "l2")} == {"done"}
            await asyncio.sleep(2.0)
            assert fleet.loop.clock - ended > 3.0
            # No item of the ended job; each item of the other once, or twice if another scheduler took over since.
            runs = Counter(n for n, _ in workers.runs)
            takeovers = max(s.election.term for s in schedulers(fleet)) - term
            assert set(runs) == {"i0c", "i1d"} and max(runs.values()) <= 1 + min(1, takeovers)

        run_with_fleet(check, at="e2")
