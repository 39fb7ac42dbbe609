"""Deliberately broken variants of the product on the platform: each rule's check must catch its own in a simulated day
that the sound product passes. A check that can't fail would prove nothing."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from result import Err, Ok

from postpass.batch import item_request, item_run
from postpass.batch.item_request import ItemText
from postpass.batch.item_run import ItemRunner
from postpass.batch.job import JobView
from postpass.batch.job_api import JobApi
from postpass.batch.job_service import JobService
from postpass.batch.quota import Budget
from postpass.batch.quota_service import QuotaService
from postpass.control.daemon import ControlPlane
from postpass.daemon.data_plane import DataPlane
from postpass.daemon.gossip import Gossip
from postpass.daemon.process import Daemon
from postpass.gateway import attempts, relay, relayed_request, worker_selection
from postpass.gateway.answer_delivery import AnswerDelivery
from postpass.gateway.client_identity import PUBLIC, ClientIdentity, ClientKeys
from postpass.gateway.connection_pool import ConnectionPool
from postpass.gateway.event_stream import EventStream
from postpass.gateway.http_headers import HeaderNames
from postpass.gateway.relay import Relay
from postpass.gateway.upstream_connection import UpstreamConnection
from postpass.gateway.worker_selection import WorkerSelection
from postpass.membership import registry
from postpass.replication.partition import Partition
from postpass.replication.reconfiguration import Reconfiguration
from postpass.routing import live_choice
from postpass.runtime.environment import now
from postpass.runtime.errors import NOT_FOUND, TIMED_OUT, Fault
from postpass.storage.segmented_log import SegmentedLog
from sim.announced import module
from sim.rules import CHECKS
from sim.runner import Report, judge, play_day
from sim.scenario import parse

Patch = Callable[[pytest.MonkeyPatch], None]
SEAL = module("words").WORDS.seal.encode()
LEAD = 8.0


# --- requests and answers
def loses_the_seal(mp: pytest.MonkeyPatch) -> None:
    plain = AnswerDelivery.deliver

    async def deliver(self: AnswerDelivery, request: Any, exchange: Any, answer_begins: Any) -> None:
        exchange.headers = [h for h in exchange.headers if h[0] != SEAL]
        await plain(self, request, exchange, answer_begins)

    mp.setattr(AnswerDelivery, "deliver", deliver)


def takes_any_answer(mp: pytest.MonkeyPatch) -> None:
    """Passes on whatever comes on a kept connection, whichever request it answers."""
    heard, start = UpstreamConnection.data_received, UpstreamConnection.start
    early: dict[int, bytes] = {}

    def data_received(self: UpstreamConnection, data: bytes) -> None:
        if self.exchange is None:
            early[id(self)] = early.get(id(self), b"") + data
        else:
            heard(self, data)

    def started(
        self: UpstreamConnection, exchange: Any, data: Any, bodiless: bool, limit: float, expect: Any, patience: float
    ) -> None:
        start(self, exchange, data, bodiless, limit, None, patience)
        if rest := early.pop(id(self), b""):
            self.data_received(rest)

    mp.setattr(UpstreamConnection, "data_received", data_received)
    mp.setattr(UpstreamConnection, "start", started)


def adds_to_the_path(mp: pytest.MonkeyPatch) -> None:
    plain = ConnectionPool.request

    async def request(self: ConnectionPool, addr: str, method: str, target: bytes, *args: Any, **more: Any) -> Any:
        return await plain(self, addr, method, target.replace(b"%20", b" ").replace(b" ", b"+"), *args, **more)

    mp.setattr(ConnectionPool, "request", request)


def tries_anything_again(mp: pytest.MonkeyPatch) -> None:
    plain = attempts.next_relayed_attempt
    mp.setattr(
        relay,
        "next_relayed_attempt",
        lambda ledger, **more: plain(ledger, **more | {"repeatable": True, "max_runs": 3}),
    )


def promises_too_much(mp: pytest.MonkeyPatch) -> None:
    """Says 503 where nobody knows whether it ran."""
    plain = Relay.answer

    async def answer(self: Relay, send: Any, status: int, *more: Any) -> None:
        await plain(self, send, 503 if status == 502 else status, *more)

    mp.setattr(Relay, "answer", answer)


def forbids(mp: pytest.MonkeyPatch) -> None:
    plain = Relay.relay

    async def own(self: Relay, name: str, route: Any, client: Any, scope: Any, receive: Any, send: Any) -> None:
        if self.environment.chance.random() < 0.1:
            await self.answer(send, 403)
        else:
            await plain(self, name, route, client, scope, receive, send)

    mp.setattr(Relay, "relay", own)


def goes_elsewhere(mp: pytest.MonkeyPatch) -> None:
    plain = live_choice.pool_order
    mp.setattr(
        worker_selection, "pool_order", lambda split, key: ["app2" if p == "app" else p for p in plain(split, key)]
    )
    mp.setattr(WorkerSelection, "check_admission", lambda *_: "")


# --- keys of tenants
def passes_keys_on(mp: pytest.MonkeyPatch) -> None:
    plain = HeaderNames.dropped
    mp.setattr(HeaderNames, "dropped", lambda self, sets_urgency, hides_key: plain(self, sets_urgency, False))


def believes_clients(mp: pytest.MonkeyPatch) -> None:
    """Passes on the tenant's name that a client wrote, if it wrote one."""
    plain = relayed_request.build_request

    def built(names: HeaderNames, route_name: str, route: Any, client: Any, scope: Any, *rest: Any) -> Any:
        request = plain(names, route_name, route, client, scope, *rest)
        if claims := [value for name, value in scope["headers"] if name == names.tenant]:
            request.headers = [h for h in request.headers if h[0] != names.tenant] + [(names.tenant, claims[0])]
        return request

    mp.setattr(relay, "build_request", built)


def names_no_tenant_on_items(mp: pytest.MonkeyPatch) -> None:
    plain = item_request.request_headers
    mp.setattr(item_request, "request_headers", lambda d, item, client, *rest: plain(d, item, PUBLIC, *rest))


def lets_any_key_in(mp: pytest.MonkeyPatch) -> None:
    plain = ClientKeys.authenticate

    def authenticate(self: ClientKeys, route: Any, headers: Any) -> Any:
        found = plain(self, route, headers)
        return Ok(ClientIdentity("t0", next(iter(self.tenant_by_digest)))) if found.is_err() else found

    mp.setattr(ClientKeys, "authenticate", authenticate)


def keeps_the_first_keys(mp: pytest.MonkeyPatch) -> None:
    plain = ClientKeys.refresh
    mp.setattr(ClientKeys, "refresh", lambda self: None if self.tenants else plain(self))


# --- leaving in order
def bars_nobody(mp: pytest.MonkeyPatch) -> None:
    mp.setattr(WorkerSelection, "is_barred", lambda *_: False)


def leaves_at_once(mp: pytest.MonkeyPatch) -> None:
    mp.setattr(DataPlane, "drain", property(lambda self: 0.0))
    mp.setattr("postpass.daemon.data_plane.UNREADY_DETECTION_DELAY", 0.0)
    plain = Daemon.depart

    async def depart(self: Daemon) -> None:
        if self.settings.name.startswith("edge"):
            self.closed.set()
        else:
            await plain(self)

    mp.setattr(DataPlane, "depart", depart)


def syncs_nothing(mp: pytest.MonkeyPatch) -> None:
    """Calls synced what was only written."""

    async def sync(self: SegmentedLog) -> None:
        async with self.lock:
            self.synced = max(self.synced, self.end)
        self.sync_done.set()
        self.sync_done = asyncio.Event()

    mp.setattr(SegmentedLog, "sync", sync)


def forgets_lots(mp: pytest.MonkeyPatch) -> None:
    plain = JobService.on_results

    async def results(self: JobService, body: Any) -> Any:
        got = await plain(self, body)
        late = isinstance(got, Ok) and got.unwrap()["next"] >= got.unwrap()["total"]
        return Err(Fault("results", self.store.settings.name, "no such lot", NOT_FOUND)) if late else got

    mp.setattr(JobService, "on_results", results)


def forgets_evacuations(mp: pytest.MonkeyPatch) -> None:
    """Evacuations are not among what is read from disk."""
    plain = ControlPlane.open

    async def opened(self: ControlPlane) -> None:
        await plain(self)
        if self.replicated_state.state.manifest is not None:
            self.replicated_state = replace(
                self.replicated_state, state=registry.with_parts(self.replicated_state.state, evacuated=[])
            )

    mp.setattr(ControlPlane, "open", opened)
    mp.setattr(WorkerSelection, "is_barred", lambda self, configuration, server: bool(server.get("leave")))


# --- configuration
def keeps_the_first_routes(mp: pytest.MonkeyPatch) -> None:
    plain = WorkerSelection.apply_configuration

    def apply_configuration(self: WorkerSelection, configuration: Any) -> None:
        table = self.table
        plain(self, configuration)
        self.table = table if table.hosts else self.table

    mp.setattr(WorkerSelection, "apply_configuration", apply_configuration)
    mp.setattr(WorkerSelection, "check_admission", lambda *_: "")


def both_win(mp: pytest.MonkeyPatch) -> None:
    plain = ControlPlane.configuration_change

    def configuration_change(self: ControlPlane, sent: Any, base: int, is_patch: bool) -> Any:
        def fold(s: Any) -> Any:
            current = s.configuration.get("version", 0)
            later = sent | {"version": max(sent["version"], current + 1)} if current > base else sent
            return plain(self, later, current, is_patch)(s)

        return fold

    mp.setattr(ControlPlane, "configuration_change", configuration_change)


def takes_invalid(mp: pytest.MonkeyPatch) -> None:
    mp.setattr(module("configuration"), "route_errors", lambda *_: [])
    mp.setattr("postpass.control.configuration.semantic_errors", lambda *_: [])


def reads_old(mp: pytest.MonkeyPatch) -> None:
    first: list[Any] = []
    plain = ControlPlane.read_document

    async def read(self: ControlPlane) -> Any:
        got = await plain(self)
        first.append(got)
        return first[0]

    mp.setattr(ControlPlane, "read_document", read)
    plain_order = ControlPlane.on_order

    async def on_order(self: ControlPlane, body: Any) -> Any:
        got = await plain_order(self, body)
        if not first and isinstance(got, Ok):
            await self.read_document()
        return got

    mp.setattr(ControlPlane, "on_order", on_order)


def late_routes_wait(mp: pytest.MonkeyPatch) -> None:
    plain = Relay.relay

    async def own(self: Relay, name: str, route: Any, client: Any, scope: Any, receive: Any, send: Any) -> None:
        if name.startswith("r-late"):
            await self.reject(send, 0.2, "late")
        else:
            await plain(self, name, route, client, scope, receive, send)

    mp.setattr(Relay, "relay", own)


def answers_no_order(mp: pytest.MonkeyPatch) -> None:
    plain = ControlPlane.on_order

    async def on_order(self: ControlPlane, body: Any) -> Any:
        got = await plain(self, body)
        return Err(Fault("order", self.settings.name, "busy", TIMED_OUT)) if now() > LEAD else got

    mp.setattr(ControlPlane, "on_order", on_order)


def answers_no_leaving(mp: pytest.MonkeyPatch) -> None:
    plain = ControlPlane.record_worker_heartbeat

    async def beat(self: ControlPlane, who: str, standing: Any, seqno: int) -> Any:
        got = await plain(self, who, standing, seqno)
        return Err(Fault("beat", self.settings.name, "busy", TIMED_OUT)) if standing["leave"] else got

    mp.setattr(ControlPlane, "record_worker_heartbeat", beat)


# --- streams
def cut_is_an_end(mp: pytest.MonkeyPatch) -> None:
    """Ends an answer as complete though its worker broke it off."""
    plain = Relay.run

    async def run(self: Relay, request: Any) -> None:
        await plain(self, request)
        if request.answer_begun and request.attempt_log.last.state != "done":
            await request.send({"type": "http.response.body", "body": b""})

    mp.setattr(Relay, "run", run)


def begins_anew(mp: pytest.MonkeyPatch) -> None:
    """Goes on with a cut stream from its first event."""
    mp.setattr(EventStream, "resume", lambda self: setattr(self, "incomplete", b""))
    plain = ConnectionPool.request

    async def request(
        self: ConnectionPool, addr: str, method: str, target: bytes, headers: Any, *rest: Any, **more: Any
    ) -> Any:
        return await plain(self, addr, method, target, [h for h in headers if h[0] != b"last-event-id"], *rest, **more)

    mp.setattr(ConnectionPool, "request", request)


# --- zones
def floods(mp: pytest.MonkeyPatch) -> None:
    mp.setattr(WorkerSelection, "cold_rate", lambda *_: 1e9)


# --- lots
def texts_fall_short(mp: pytest.MonkeyPatch) -> None:
    mp.setattr(ItemText, "text", property(lambda self: "\n".join(self.pieces[:-1])))


def gives_up_at_once(mp: pytest.MonkeyPatch) -> None:
    plain = item_request.run_item

    async def run(*args: Any) -> str:
        got = await plain(*args)
        return "never" if got == "failed" else got

    mp.setattr(item_run, "run_item", run)


def results_move(mp: pytest.MonkeyPatch) -> None:
    plain = JobService.on_results

    async def results(self: JobService, body: Any) -> Any:
        got = await plain(self, body)
        if isinstance(got, Ok) and self.store.environment.chance.random() < 0.5 and len(got.unwrap()["results"]) > 1:
            got.unwrap()["results"].reverse()
        return got

    mp.setattr(JobService, "on_results", results)


def no_quota(mp: pytest.MonkeyPatch) -> None:
    mp.setattr(Budget, "grant", lambda *_: True)


def ending_is_forgotten(mp: pytest.MonkeyPatch) -> None:
    mp.setattr(JobView, "fold_end", lambda self, seq, body: None)


def refuses_what_it_took(mp: pytest.MonkeyPatch) -> None:
    plain = JobApi.accept

    async def accept(self: JobApi, *args: Any) -> Any:
        status, body = await plain(self, *args)
        return (503 if status == 202 else status), body

    mp.setattr(JobApi, "accept", accept)


# --- liveness
def budget_never_answers(mp: pytest.MonkeyPatch) -> None:
    async def reserve(self: QuotaService, body: dict[str, Any]) -> Any:
        return Err(Fault("reserve", self.store.settings.name, "not now", TIMED_OUT))

    mp.setattr(QuotaService, "on_reserve", reserve)


def lets_nobody_in(mp: pytest.MonkeyPatch) -> None:
    """An owner that never changes the members of its partitions."""
    mp.setattr(Reconfiguration, "change_next", lambda self, partition: None)


def waits_for_silent_workers(mp: pytest.MonkeyPatch) -> None:
    """A scheduler that waits for a silent worker for as long as a run may last."""
    mp.setattr(ItemRunner, "silence_limit", lambda self, item: 1e9)


def covers_nothing_more(mp: pytest.MonkeyPatch) -> None:
    """An owner that counts no acknowledgement any more, some seconds into the day."""
    plain = Partition.advance
    mp.setattr(Partition, "advance", lambda self: now() < LEAD + 4 and plain(self))


# --- after a loss, and faults
def stays_down(mp: pytest.MonkeyPatch) -> None:
    """After the closing fault it never finds back."""
    plain = Relay.__call__

    async def called(self: Relay, scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "http" and now() > LEAD + 4.5:
            await self.reject(send, 0.5, "down")
        else:
            await plain(self, scope, receive, send)

    mp.setattr(Relay, "__call__", called)


def ends_itself(mp: pytest.MonkeyPatch) -> None:
    plain = Gossip.run

    async def run(self: Gossip) -> None:
        task = asyncio.create_task(plain(self))
        await asyncio.sleep(LEAD + 2 if self.settings.name == "store-zone-b-1" else 1e9)
        task.cancel()
        raise RuntimeError("a defect")

    mp.setattr(Gossip, "run", run)


FLEET = "announced edges 4 stores 4 cores 4 zones 4 lost 1 models 3 plains 3\nlead 8\nrun 10\nsettle 4\n"
LOAD = "clients view 12 order 8 ask 10 review 3 lots 0.8x8\n"
ILL = "at 1 fault worker:app:0 cut 0.3 for 8\nat 1 fault worker:app:1 lost 0.3 for 8\n"
CUTS = "at 1 fault worker:llm:0 cut 0.4 for 8\nat 1 fault worker:llm:1 cut 0.4 for 8\nat 1 fault worker:llm:2 cut 0.4 for 8\n"
KEYS = "announced tenants 3\nclients view 12 order 4 ask 4 lots 0.8x8\n"
LATE = "at 0.5 change route\nat 1 change route\nat 1.5 change route\nat 2 change route\n"

# By rule: how the product is broken, and a day that shows it.
CASES: list[tuple[str, Patch, str]] = [
    ("MIXED", loses_the_seal, LOAD),
    ("MIXED", takes_any_answer, LOAD + "at 1 fault worker:app:0 extra 0.5 for 8\nat 1 fault worker:app:1 extra 0.5 for 8"),
    ("UNASKED", adds_to_the_path, LOAD),
    ("UNASKED", ending_is_forgotten, "announced slots 1 models 1\nclients view 1 lots 1x30\n"),
    ("UNASKED", passes_keys_on, KEYS),
    ("UNASKED", believes_clients, KEYS),
    ("UNASKED", names_no_tenant_on_items, KEYS),
    ("TWICE", tries_anything_again, LOAD + ILL),
    ("TWICE", results_move, LOAD),
    ("REFUSED", promises_too_much, LOAD + ILL),
    ("REFUSED", refuses_what_it_took, LOAD),
    ("DENIED", forbids, LOAD),
    ("ROUTE", goes_elsewhere, LOAD),
    ("ROUTE", lets_any_key_in, KEYS),
    ("DRAIN", bars_nobody, "clients view 20 ask 20\nat 1 release llm 1\nat 1 release app 1\n"),
    ("LOST", leaves_at_once, "clients ask 30 review 10\nat 2 term edge:0\nat 4 term edge:1\nat 6 term edge:2"),
    ("LOST", syncs_nothing, "clients view 2 lots 4x4\nrun 26\nat 3 closing power_off_all for 1\n"),
    ("LOST", forgets_lots, "clients view 1 lots 1x4\n"),
    ("LOST", forgets_evacuations, "clients view 12 ask 6\nrun 26\nat 1 evac 1\nat 3 closing kill_all for 1\n"),
    ("CONFIG", keeps_the_first_routes, "clients view 20\nat 1 change move\n"),
    ("CONFIG", keeps_the_first_keys, KEYS + "at 1 change keys\nat 2 change keys\nat 3 change keys\nat 4 change keys\n"),
    ("CONFIG", both_win, "clients view 4\nat 1 race\nat 3 race\n"),
    ("CONFIG", takes_invalid, "clients view 4\nat 1 invalid no_weight\nat 2 invalid unknown_service\n"),
    ("CONFIG", reads_old, "clients view 4\nat 1 change timeout\n"),
    ("LATE_ROUTES", late_routes_wait, "clients view 12\n" + LATE),
    ("ACKS", answers_no_order, "clients view 4\nat 1 evac 1\n"),
    ("ACKS", answers_no_leaving, "clients view 4 ask 4\nat 1 release llm 1\n"),
    ("ORDER", cut_is_an_end, "clients review 12\n" + CUTS),
    ("ORDER", begins_anew, "clients ask 12\n" + CUTS),
    ("FAILBACK", floods, "announced edges 6 models 1 cold 2\nclients ask 40\nat 2 crash worker:llm:0 for 0.5\n"),
    ("EVAC", bars_nobody, "clients view 20 ask 12\nat 1 evac 1\n"),
    ("LOT_MIXED", texts_fall_short, LOAD),
    ("LOT_MIXED", gives_up_at_once, "clients view 1 lots 2x20\nat 1 fault worker:llm:0 grey 0.2 for 9\n"),
    ("QUOTA", no_quota, "clients view 1 lots 3x30\n"),
    ("LOT_KEPT", budget_never_answers, "clients view 1 lots 2x4\n"),
    ("REPLICAS", lets_nobody_in, "clients view 1 lots 1x4\nrun 14\nat 1 add store 0\n"),
    ("ITEM_LEFT", waits_for_silent_workers, "clients view 1 lots 2x6\nrun 20\nsettle 10\nat 2 fault worker:llm:0 mute 0.5 for 3\n"),
    ("ITEM_STALLED", waits_for_silent_workers, "clients view 1 lots 2x6\nrun 20\nsettle 10\nat 2 fault worker:llm:0 withheld 0.5 for 3\n"),
    ("REPLICAS", covers_nothing_more, "clients view 1 lots 2x4\n"),
    ("RECOVER", stays_down, "clients view 8\nrun 26\nat 3 closing kill_all for 1\n"),
    ("FAULT", ends_itself, "clients view 4\n"),
]  # fmt: skip


def played(rule: str, text: str) -> tuple[Report, list[str]]:
    s = parse(FLEET + text, rule)

    def prepare(fleet: Any) -> None:
        if rule == "QUOTA":
            fleet.kinds["batch"].route["maxQueued"] = 20000
        if rule == "UNASKED":
            fleet.clients.ends = 1.0

    got = play_day(s, 1, prepare=prepare)
    return got, judge(s, got)


def test_every_rule_has_a_variant() -> None:
    assert {rule for rule, _, _ in CASES} == set(CHECKS)


@pytest.mark.parametrize("number", range(len(CASES)), ids=[f"{rule}-{patch.__name__}" for rule, patch, _ in CASES])
def test_a_broken_variant_is_caught_and_the_sound_product_is_not(number: int) -> None:
    rule, patch, text = CASES[number]
    assert played(rule, text)[1] == []
    with pytest.MonkeyPatch.context() as mp:
        patch(mp)
        assert rule in played(rule, text)[0].breaches
