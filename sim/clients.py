"""Simulated clients of an announced fleet.

They reach the edges through the platform's load balancer, send live requests and jobs (the platform calls a job a lot),
retry as the platform documents it, and record what they saw."""

from __future__ import annotations

import asyncio
import base64
import json
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from sim.http1 import Broken, Garbled, Head, Stream, call, message
from sim.workers import Event, digest

NOT_RUN_STATUSES = (408, 421, 429, 503)
FINAL_STATUSES = (400, 401, 404, 413, 431)


@dataclass(frozen=True)
class Kind:
    """One kind of request that clients send; times are in seconds."""

    word: str  # its name in scenarios and events
    route: dict[str, Any]  # as in the configuration
    deadline: float
    tries: int = 2
    size: tuple[int, int] = (4, 24)  # least and most events, or milliseconds of work
    shared: tuple[int, int] = (0, 0)  # number of prompt prefixes that requests share, and tokens of each
    own: int = 500  # mean tokens of the part of a prompt that no other request has

    @property
    def repeatable(self) -> bool:
        """Whether a request may be sent again after an attempt that may have been run."""
        return self.route["kind"] == "idem" or bool(self.route.get("resumable"))


@dataclass(eq=False)
class LoadBalancer:
    """The platform's load balancer: it passes each new connection to a ready edge, in the client's zone if there is one."""

    edges: Callable[
        [], list[tuple[str, str, str, str]]
    ]  # name, zone, address for clients, address for readiness checks
    zones: list[str]
    now: Callable[[], float]
    not_ready: set[str] = field(default_factory=set)
    failed_checks: dict[str, int] = field(default_factory=dict)

    async def watch(self) -> None:
        """Checks each edge once a second; an edge that fails two checks in a row is not ready."""

        async def check_edge(name: str, ready: str) -> None:
            try:
                head, _ = await call(ready, "GET", "/-/ready", limit=1.0)
                healthy = head.status == 200
            except (Broken, Garbled):
                healthy = False
            self.failed_checks[name] = 0 if healthy else self.failed_checks.get(name, 0) + 1
            if healthy:
                self.not_ready.discard(name)
            elif self.failed_checks[name] >= 2:
                self.not_ready.add(name)

        while True:
            edges = self.edges()
            for name, _, _, ready in edges:
                asyncio.create_task(check_edge(name, ready))
            await asyncio.sleep(1.0)

    def pick(self, zone: str, client: int, attempt: int) -> tuple[str, str]:
        """Returns the name and address of the edge that a client's new connection goes to; later attempts reach other edges.

        If fewer than half of a zone's edges are ready, connections go to all edges of that zone.
        """
        edges = self.edges()
        zone_index = self.zones.index(zone) if zone in self.zones else 0
        for candidate_zone in self.zones[zone_index:] + self.zones[:zone_index]:
            in_zone = [edge for edge in edges if edge[1] == candidate_zone]
            ready = [edge for edge in in_zone if edge[0] not in self.not_ready]
            if not ready:
                continue
            choices = in_zone if len(ready) * 2 < len(in_zone) else ready
            offset = int(digest(f"{client}".encode()), 16)
            name, _, front, _ = choices[(offset + attempt) % len(choices)]
            return name, front
        if not edges:
            return "", ""
        name, _, front, _ = edges[(client + attempt) % len(edges)]
        return name, front


@dataclass(eq=False)
class IdleConnection:
    """A connection that a client keeps open between requests."""

    stream: Stream
    via: str
    usable_until: float


@dataclass(eq=False)
class Clients:
    """All clients of a fleet, with the state that they keep between requests."""

    load_balancer: LoadBalancer
    zones: list[str]
    log: Callable[[Event], None]
    now: Callable[[], float]
    chance: random.Random
    kinds: dict[str, Kind]
    per_zone: int = 8
    read_interval_s: float = 0.5  # pause between two reads of a job
    ends: float = 0.1  # share of jobs that their client cancels before they are finished
    jobs: dict[str, Job] = field(default_factory=dict)
    idle: dict[tuple[str, int], IdleConnection] = field(default_factory=dict)
    request_count: int = 0
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    load_until: float = 0.0
    mean_job_items: int = 10
    traffic_factor: Callable[[], float] = lambda: 1.0
    tenants: Callable[[], list[dict[str, Any]]] = list  # of the newest configuration; none: no key is needed
    shown_keys: dict[str, list[str]] = field(default_factory=dict)  # by tenant: keys that requests have carried

    def new_id(self) -> str:
        """Returns a new random id of an attempt, job or item."""
        return f"{self.chance.randrange(1 << 64):016x}"

    # --- keys
    def tenant_of(self, client: int) -> str:
        """Returns the name of a client's tenant, empty if the fleet has no tenants. A client keeps its tenant."""
        tenants = self.tenants()
        return str(tenants[client % len(tenants)]["name"]) if tenants else ""

    def known_key(self, tenant: str) -> str:
        """Returns one of the keys that a tenant has now; empty if it has none."""
        keys: list[str] = next((t["keys"] for t in self.tenants() if t["name"] == tenant), [])
        key = self.chance.choice(keys) if keys else ""
        if key and key not in self.shown_keys.setdefault(tenant, []):
            self.shown_keys[tenant].append(key)
        return key

    def some_key(self, tenant: str) -> str:
        """Returns a key for a tenant's request: mostly a valid one, sometimes one that it used before, or one that never existed."""
        draw = self.chance.random() if tenant else 1.0
        if draw < 0.02:
            return "key-of-nobody"
        return (
            self.chance.choice(self.shown_keys[tenant])
            if draw < 0.1 and tenant in self.shown_keys
            else self.known_key(tenant)
        )

    def credentials(self, key: str) -> dict[str, str]:
        """Returns the header with a key, and at times also a forged `Postpass-Tenant`, which only edges may set."""
        if not key:
            return {}
        forged = {"Postpass-Tenant": "t0"} if self.chance.random() < 0.2 else {}
        return {"Authorization": f"Bearer {key}"} | forged

    # --- live requests
    async def load(
        self, rates: dict[str, float], job_load: tuple[float, int], span: float, traffic_factor: Callable[[], float]
    ) -> None:
        """Sends requests and jobs for `span` seconds, and returns when all of them are finished.

        Args:
            rates: requests a second by kind.
            job_load: jobs a second, and their mean number of items.
            span: for how long, in seconds.
            traffic_factor: returns what all rates are multiplied by now.
        """
        self.load_until, self.traffic_factor, self.mean_job_items = self.now() + span, traffic_factor, job_load[1]
        for kind_name, rate in [*rates.items(), ("batch", job_load[0])]:
            if rate:
                self.add_traffic(kind_name, rate)
        while running := [task for task in self.tasks if not task.done()]:
            await asyncio.wait(running)

    def add_traffic(self, kind_name: str, rate: float) -> None:
        """Starts to send requests of a kind (jobs for `batch`) at a rate per second, until the load ends or the kind is removed."""

        async def send_requests() -> None:
            while True:
                await asyncio.sleep(self.chance.expovariate(rate * self.traffic_factor()))
                if self.now() >= self.load_until or kind_name not in self.kinds:
                    return
                self.spawn(self.run_job(self.mean_job_items) if kind_name == "batch" else self.send_request(kind_name))

        self.spawn(send_requests())

    def spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine as a task that `load` waits for."""
        task = asyncio.create_task(coro)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def model_headers(self, kind: Kind, key: str, size: int) -> dict[str, str]:
        """Returns the headers that describe a prompt; empty for a kind of requests that no model serves."""
        if not kind.route.get("pinned"):
            return {}
        count, tokens = kind.shared
        shared_index = self.chance.randrange(max(count, 1))
        own_tokens = max(8, int(self.chance.expovariate(1 / kind.own)))
        parts = f"{digest(kind.word.encode(), str(shared_index).encode())}:{tokens},{digest(key.encode())}:{own_tokens}"
        return {
            "Postpass-Model": "m",
            "Postpass-Tokens": f"{tokens + own_tokens},{size * 16}",
            "Postpass-Prompt-Prefix": parts,
        }

    async def send_request(self, kind_name: str) -> None:
        """Sends a request of a client: as many attempts as its kind has, until its deadline. Records how it went."""
        kind = self.kinds[kind_name]
        self.request_count += 1
        request_number, zone, client = (
            self.request_count,
            self.chance.choice(self.zones),
            self.chance.randrange(self.per_zone),
        )
        size = self.chance.randint(*kind.size)
        key = f"{request_number}x{self.chance.randrange(1 << 20):05x}"
        path = f"{kind.route['prefix']}{size}.{key}" + ("?q=a%20b" if request_number % 7 == 0 else "")
        body = (key.encode() * 40)[: self.chance.randrange(16, 400)] if kind.route["kind"] != "idem" else b""
        extra_headers = self.model_headers(kind, key, size)
        tenant = self.tenant_of(client)
        key_sent = self.some_key(tenant)
        key_valid = not tenant or any(key_sent in t["keys"] for t in self.tenants())
        deadline_at = self.now() + kind.deadline
        events: list[list[Any]] = []  # events of a resumed stream, over all attempts
        for attempt in range(kind.tries):
            time_left = deadline_at - self.now()
            if time_left < 0.05:
                break
            last_event = events[-1][0] if events and kind.route.get("resumable") else 0
            answer = await self.send_attempt(
                kind,
                request_number,
                attempt,
                zone,
                client,
                path,
                body,
                extra_headers,
                time_left,
                last_event,
                size,
                key=key_sent,
            )
            if kind.route.get("resumable"):
                events += answer["events"]
            else:
                events = answer["events"]
            good = 200 <= answer["status"] < 300 and answer["whole"]
            if (
                good
                or answer["status"] in FINAL_STATUSES
                or (answer["status"] and 200 <= answer["status"] < 300 and not kind.repeatable)
            ):
                break
            if not kind.repeatable and answer["status"] not in NOT_RUN_STATUSES and not answer["unread"]:
                break
            pause = min(answer["retry_after"] or 0.05, (deadline_at - self.now()) / 3)
            await asyncio.sleep(max(pause, 0.0))
        if not key_valid:
            return  # such a request need not be served
        good = bool(answer["whole"] and 200 <= answer["status"] < 300)
        first = answer["first"] if kind.route["kind"] != "stream" or not events else events[0][2]
        self.log({"ev": "served", "word": kind_name, "ask": request_number, "good": good, "began": deadline_at - kind.deadline, "first": first or 0.0,
                  "target": kind.route["targetMs"] / 1000, "status": answer["status"]})  # fmt: skip

    async def probe(self, via: str, addr: str, route: dict[str, Any]) -> None:
        """Sends one request directly to an edge, to check a route; nothing is expected of it but a right answer."""
        self.request_count += 1
        kind = Kind("probe", route, 2.0)
        path = f"{route['prefix']}5.p{self.request_count}"
        key = self.known_key(self.tenant_of(self.request_count))
        await self.send_attempt(kind, self.request_count, 0, "", -1, path, b"", {}, 2.0, 0, 5, (via, addr), key)

    async def send_attempt(
        self, kind: Kind, request_number: int, attempt: int, zone: str, client: int, path: str, body: bytes, extra_headers: dict[str, str],
        time_left: float, last_event: int, size: int, direct_edge: tuple[str, str] = ("", ""),
        key: str = "",
    ) -> Event:  # fmt: skip
        """Makes one attempt at a request, and records and returns the event `answer` that describes its outcome.

        Args:
            time_left: seconds until the request's deadline.
            last_event: the last event of a resumed stream that the client has.
            direct_edge: name and address of the edge to use; otherwise the load balancer chooses one.
            key: the tenant's key that is sent, if any.
        """
        attempt_id = self.new_id()
        began = self.now()
        answer: Event = {"ev": "answer", "id": attempt_id, "via": "", "status": 0, "seal": "", "echo": "", "whole": False, "cut": False,
                      "garbled": False, "body": "", "events": [], "first": 0.0, "gap": 0.0, "retry_after": None, "why": "",
                      "sent": 0.0, "unread": False, "encoded": False}  # fmt: skip
        method = "GET" if kind.route["kind"] == "idem" else "POST"
        headers = (
            {
                "Host": kind.route["host"],
                "Postpass-Attempt-Id": attempt_id,
                "Postpass-Deadline-Ms": str(int(time_left * 1000)),
            }
            | extra_headers
            | self.credentials(key)
        )
        if last_event:
            headers["Last-Event-Id"] = str(last_event)
        new_connection = bool(direct_edge[0]) or attempt > 0 or self.chance.random() < 0.4
        connection = None if new_connection else self.idle.pop((zone, client), None)
        if connection is not None and not self.is_reusable(connection):
            connection = None
        via, addr = (
            direct_edge
            if direct_edge[0]
            else (connection.via, "")
            if connection
            else self.load_balancer.pick(zone, client, attempt)
        )
        answer["via"] = via
        sent = {"ev": "request", "id": attempt_id, "ask": request_number, "try": attempt, "kind": kind.route["kind"], "word": kind.word, "via": via, "zone": zone,
                "route": kind.route["name"], "host": kind.route["host"], "path": path, "method": method, "body": digest(body),
                "last": last_event, "deadline": time_left, "repeatable": kind.repeatable, "size": size, "mark": digest(path.encode(), body)}  # fmt: skip
        if key:
            sent["key"] = key
        try:
            async with asyncio.timeout(time_left):
                self.log(sent)
                stream = connection.stream if connection else await Stream.open(addr, 1.0)
                try:
                    stream.send(
                        message(
                            f"{method} {path} HTTP/1.1", headers, body, chunked=bool(body) and request_number % 5 == 0
                        )
                    )
                    await stream.flush()
                    answer["sent"] = self.now()
                    patience = max(2.0, 4 * kind.route["targetMs"] / 1000, 8 * kind.route.get("gapTargetMs", 0) / 1000)
                    head = await self.read_answer(stream, kind, answer, patience)
                    close = True
                    if head.keeps and answer["whole"] and not direct_edge[0]:
                        keep_alive = head.headers.get("keep-alive", "")
                        idle_s = (
                            float(keep_alive.partition("timeout=")[2].split(",")[0] or 5)
                            if "timeout=" in keep_alive
                            else 5.0
                        )
                        self.idle[(zone, client)] = IdleConnection(stream, via, self.now() + min(idle_s, 5.0) * 0.8)
                        close = False
                    if close:
                        stream.close()
                except BaseException:
                    stream.reset()
                    raise
        except TimeoutError:
            answer["why"] = "gave up"
        except Broken as error:
            answer["cut"], answer["why"] = True, str(error)
            # There was no connection, so that no edge can have read the request.
            answer["unread"] = "no connection" in str(error)
        except Garbled as error:
            answer["garbled"], answer["why"] = True, str(error)
        if not answer["sent"]:
            answer["sent"] = began
        self.log(answer)
        return answer

    def is_reusable(self, connection: IdleConnection) -> bool:
        """Returns whether an idle connection is still open, in time, and without bytes that arrived since its last answer.

        Such stray bytes are recorded. A connection that is not reusable is closed.
        """
        unread_bytes = bytes(connection.stream.reader._buffer)  # type: ignore[attr-defined]
        if unread_bytes:
            self.log({"ev": "stray", "via": connection.via, "what": unread_bytes[:80].decode("latin-1")})
        gone = connection.stream.reader.at_eof() or connection.stream.reader.exception() is not None
        if unread_bytes or gone or self.now() >= connection.usable_until:
            connection.stream.close()
            return False
        return True

    async def read_answer(self, stream: Stream, kind: Kind, answer: Event, patience: float) -> Head:
        """Reads an answer into the event `answer`, and returns its head; a stream may pause for `patience` seconds.

        Raises:
            TimeoutError: a stream paused for longer.
        """
        async with asyncio.timeout(patience if kind.route["kind"] == "stream" else None):
            head = await stream.head(True)
        answer["status"], answer["seal"] = head.status, head.headers.get("postpass-seal", "")
        answer["echo"] = head.headers.get("postpass-attempt-id", "")
        answer["encoded"] = "content-encoding" in head.headers
        retry_after = head.headers.get("retry-after", "")
        answer["retry_after"] = float(retry_after) if retry_after.replace(".", "", 1).isdigit() else None
        answer["first"] = self.now()
        if kind.route["kind"] != "stream" or head.status != 200:
            data = await stream.body(head, True)
            answer["body"], answer["whole"] = digest(data), True
            if head.status != 200:
                answer["why"] = data[:200].decode("latin-1")
            return head
        text, previous_at = b"", 0.0
        pieces = stream.pieces(head, True)
        while True:
            async with asyncio.timeout(patience):
                piece = await anext(pieces, None)
            if piece is None:
                break
            text += piece
            while b"\n\n" in text:
                event, _, text = text.partition(b"\n\n")
                number, data_text = event_of(event)
                arrived_at = self.now()
                if not previous_at:
                    answer["first"] = arrived_at
                else:
                    answer["gap"] = max(answer["gap"], arrived_at - previous_at)
                previous_at = arrived_at
                answer["events"].append([number, data_text, arrived_at])
        answer["whole"], answer["body"] = not text, "events"
        return head

    # --- jobs
    async def run_job(self, mean: int) -> None:
        """Submits a job of about `mean` items, and reads its results until all are there; some jobs are cancelled before that."""
        kind = self.kinds["batch"]
        job = self.make_lot(kind, max(1, min(200, int(self.chance.expovariate(1 / mean)) + 1)))
        self.jobs[job.id] = job
        zone, client = self.chance.choice(self.zones), self.chance.randrange(self.per_zone)
        job.tenant = self.tenant_of(client)
        job.submitted_at = self.now()
        for attempt in range(4):
            via, addr = self.load_balancer.pick(zone, client, attempt)
            key = self.known_key(job.tenant)
            self.log({"ev": "lot_sent", "lot": job.id, "via": via, "route": kind.route["name"], "try": attempt, "items": job.items,
                      "host": kind.route["host"], "size": len(job.items)} | ({"key": key} if key else {}))  # fmt: skip
            headers = {
                "Host": kind.route["host"],
                "Postpass-Attempt-Id": job.id,
                "Content-Type": "application/json",
                "Connection": "close",
            } | self.credentials(key)
            status, why, retry_after = 0, "", 0.0
            try:
                head, data = await call(
                    addr, "POST", f"{kind.route['prefix']}{job.id[:6]}", headers, job.body, kind.deadline
                )
                status, why = head.status, "" if head.status == 202 else data[:200].decode("latin-1")
                retry_after = float(head.headers.get("retry-after", "0") or 0)
            except (Broken, Garbled) as error:
                why = str(error)
            self.log({"ev": "lot_told", "lot": job.id, "via": via, "status": status, "why": why})
            if status == 202:
                job.accepted = True
                break
            if status in FINAL_STATUSES:
                return
            await asyncio.sleep(min(retry_after or 0.3, 1.5))
        if not job.accepted:
            return
        cancel_at = (
            job.submitted_at + self.chance.uniform(0.5, kind.route["dueMs"] / 1000)
            if self.chance.random() < self.ends
            else 1e18
        )
        stop_reading_at = job.submitted_at + kind.route["expireS"] + 1.5
        while self.now() < stop_reading_at and len(job.seen) < len(job.items):
            await asyncio.sleep(self.read_interval_s * (0.8 + 0.4 * self.chance.random()))
            if self.now() >= cancel_at:
                await self.cancel_job(job, zone, client)
                return
            start = len(job.seen) if self.chance.random() < 0.85 else self.chance.randrange(len(job.seen) + 1)
            await self.read_job(job, zone, client, start)
            if self.chance.random() < 0.1:
                unseen = [i for i in job.items if i["id"] not in job.seen.values()]
                if unseen:
                    await self.read_item(job, self.chance.choice(unseen), zone, client)

    def make_lot(self, kind: Kind, count: int) -> Job:
        name = self.new_id()
        items, sent_items = [], []
        for i in range(count):
            size = self.chance.randint(*kind.size)
            key = f"{name[:8]}x{i}"
            draw = self.chance.random()
            key = ("bad" if draw < 0.01 else "fails" if draw < 0.02 else "") + key
            path = f"{kind.route['prefix']}{i}/{size}.{key}"
            body = (key.encode() * 20)[: self.chance.randrange(16, 200)]
            headers = self.model_headers(kind, key, size)
            prompt, most = map(int, headers["Postpass-Tokens"].split(","))
            item = {"id": self.new_id(), "path": path, "headers": headers, "tokens": prompt + most}
            sent_items.append(item | {"body": base64.b64encode(body).decode()})
            items.append(item | {"body": digest(body), "size": size, "key": key, "mark": digest(path.encode(), body)})
        return Job(name, items, json.dumps({"items": sent_items}).encode())

    async def request_job(
        self, job: Job, zone: str, client: int, method: str, path: str, time_limit: float, extra_headers: dict[str, str]
    ) -> tuple[str, int, bytes]:
        """Sends a request about a job on a new connection to some edge, with one of its tenant's keys.

        Returns the edge's name, the status (0 if no whole answer came) and the body.
        """
        via, addr = self.load_balancer.pick(zone, client, self.chance.randrange(16))
        headers = {"Host": self.kinds["batch"].route["host"], "Connection": "close"} | extra_headers
        headers |= self.credentials(self.known_key(job.tenant))
        try:
            head, data = await call(addr, method, path, headers, limit=time_limit)
            return via, head.status, data
        except (Broken, Garbled):
            return via, 0, b""

    async def read_job(self, job: Job, zone: str, client: int, start: int, final: bool = False) -> int:
        began = self.now()
        path = f"/-/lots/{job.id}?startAfter={start}"
        poll_header = {} if final else {"Postpass-Poll-Ms": "1000"}
        via, status, data = await self.request_job(job, zone, client, "GET", path, 2.5, poll_header)
        event: Event = {"ev": "lot_read", "lot": job.id, "via": via, "began": began, "start": start, "status": status, "final": final,
                        "total": -1, "next": -1, "results": []}  # fmt: skip
        if status == 200:
            try:
                page = json.loads(data)
                event |= {"total": page["total"], "next": page["next"], "results": page["results"]}
                for i, row in enumerate(page["results"]):
                    job.seen.setdefault(start + i, row["id"])
            except (ValueError, KeyError, TypeError) as error:
                event |= {"status": -1, "why": repr(error)}
        self.log(event)
        return status

    async def read_item(self, job: Job, item: Event, zone: str, client: int, final: bool = False) -> int:
        began = self.now()
        via, status, data = await self.request_job(
            job, zone, client, "GET", f"/-/items/{job.id}?id={item['id']}", 1.5, {}
        )
        self.log({"ev": "item_read", "lot": job.id, "item": item["id"], "via": via, "began": began, "status": status,
                  "body": digest(data) if status == 200 else "", "final": final})  # fmt: skip
        return status

    async def cancel_job(self, job: Job, zone: str, client: int) -> None:
        self.log({"ev": "lot_ending", "lot": job.id})
        for _ in range(8):
            via, status, _ = await self.request_job(job, zone, client, "DELETE", f"/-/lots/{job.id}", 1.5, {})
            if status == 200:
                job.ended = True
                self.log({"ev": "lot_ended", "lot": job.id, "via": via})
                return
            await asyncio.sleep(0.4)

    async def audit(self, limit: float) -> None:
        """Reads every accepted job from its start once the run is over, and asks for some items that its results never listed.

        A job is read again until that succeeds, for `limit` seconds at most.
        """
        read_until = self.now() + limit
        for job in [x for x in self.jobs.values() if x.accepted]:
            zone, client = self.chance.choice(self.zones), 0
            status = 0
            while status != 200 and (self.now() < read_until or not status):
                status = await self.read_job(job, zone, client, 0, final=True)
                if status != 200:
                    await asyncio.sleep(0.3)
                    if self.now() >= read_until:
                        break
            self.log({"ev": "lot_audit", "lot": job.id, "status": status})
            unseen = [i for i in job.items if i["id"] not in job.seen.values()]
            for item in unseen[:2] if not job.ended else []:
                for _ in range(4):
                    status = await self.read_item(job, item, zone, client, final=True)
                    if status == 404:  # its result may have come since the job was read
                        await self.read_job(job, zone, client, 0, final=True)
                    if status in (200, 404):
                        break
                    await asyncio.sleep(0.3)


@dataclass(eq=False)
class Job:
    """A job as its client knows it. `items` are those that were sent, with digests in place of bodies."""

    id: str
    items: list[Event]
    body: bytes
    submitted_at: float = 0.0
    tenant: str = ""
    accepted: bool = False
    ended: bool = False
    seen: dict[int, str] = field(default_factory=dict)  # ids of the items that were read, by position in the results


def event_of(text: bytes) -> tuple[int, str]:
    """Returns the number and data of one event of a stream; the number is -1 if the event has none."""
    number, data = -1, ""
    for line in text.decode("latin-1").split("\n"):
        name, _, value = line.partition(":")
        if name == "id" and value.strip().isdigit():
            number = int(value)
        elif name == "data":
            data = value.removeprefix(" ")
    return number, data
