"""The simulated operator of an announced fleet.

It sends complete configurations, patches, concurrent changes, invalid configurations, evacuations and requests to empty a
store, reads the configuration back, and retries each as the platform's documentation asks.
"""

from __future__ import annotations

import asyncio
import copy
import hashlib
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from sim.http1 import Broken, Garbled, call
from sim.workers import Event

Settings = dict[str, Any]
LISTS = ("routes", "services", "tenants")
TENANTS = "tenants"


def patched(base: Settings, patch: Settings) -> Settings:
    """Returns the configuration that a patch makes of another one."""
    result = copy.deepcopy(base)
    result["version"] = patch["version"]
    for part in LISTS:
        removed = set(patch.get("remove", {}).get(part, []))
        items = {i["name"]: i for i in result.get(part, []) if i["name"] not in removed}
        items |= {i["name"]: i for i in patch.get("upsert", {}).get(part, [])}
        if part in result or items:
            result[part] = list(items.values())
    return result


def canonical_form(config: Settings) -> Settings:
    """Returns a configuration in the form used to compare two: with its lists sorted, since their order has no meaning."""
    return {k: sorted(v, key=lambda i: str(i.get("name", ""))) if isinstance(v, list) else v for k, v in config.items()}


def content_digest(config: Settings) -> str:
    """Returns a digest of a configuration that does not depend on the order of its keys and lists."""
    return hashlib.sha256(json.dumps(canonical_form(config), sort_keys=True).encode()).hexdigest()[:12]


def request_digest(method: str, base: int, body: Any) -> str:
    """Returns a digest that identifies a request.

    A complete configuration is the same request whatever version it builds on; a patch is not.
    """
    text = body.decode("latin-1") if isinstance(body, bytes) else body
    named = json.dumps([method, base if method == "PATCH" else 0, text], sort_keys=True)
    return hashlib.sha256(named.encode()).hexdigest()[:12]


@dataclass(eq=False)
class Operator:
    """An operator and its log.

    Attributes:
        directory: returns the addresses that orders may be sent to.
        whose: returns the name of the machine that has an IP address.
        log: records an event.
        now: returns the time in seconds.
        chance: the source of randomness.
        ack_s: the time in which the platform promises an answer; some orders are retried for a multiple of it.
        contact_s: how long the operator tries to read the configuration back at the end of a day.
        config: the newest acknowledged configuration.
        sent: the number of configurations and patches sent.
        acked_by: the machine that acknowledged last.
    """

    directory: Callable[[], list[str]]
    whose: Callable[[str], str]
    log: Callable[[Event], None]
    now: Callable[[], float]
    chance: random.Random
    ack_s: float = 4.0
    contact_s: float = 3.0
    config: Settings = field(default_factory=dict)
    sent: int = 0
    acked_by: str = ""

    @property
    def version(self) -> int:
        return int(self.config.get("version", 0))

    async def call(
        self, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None, start: int = -1, keep: float = 1e9,
        change: int = 0,
    ) -> tuple[int, bytes, bool, str]:  # fmt: skip
        """Sends an order, and retries it at other addresses until it has a final answer.

        Args:
            method: of the request.
            path: of the request.
            body: bytes, or what is sent as JSON; None for an empty body.
            headers: further headers.
            start: the index of the first address to try; a random one if negative.
            keep: after how many seconds no further attempt is made.
            change: the number of a configuration order, whose attempts are logged; 0 for other orders.

        Returns:
            The status, the body, whether any attempt may have taken effect without a clear answer, and the machine that
            answered.
        """
        data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        address_index = start if start >= 0 else self.chance.randrange(64)
        unclear, retry_delay, refusals, began_at = False, 0.1, 0, self.now()
        while True:
            addresses = self.directory()
            addr, target_path, sent = addresses[address_index % len(addresses)], path, self.now()
            status, response_body, answered_by = 0, b"", ""
            for _ in range(3):
                try:
                    limit = 1.0 + len(data) / 1e6
                    request_headers = {"Content-Type": "application/json"} | (headers or {})
                    head, response_body = await call(addr, method, target_path, request_headers, data, limit)
                    status, answered_by = head.status, self.whose(addr.rpartition(":")[0])
                except (Broken, Garbled) as error:
                    unclear = unclear or "no connection" not in str(error)
                    status = 0
                    break
                if status != 307 or "location" not in head.headers:
                    break
                addr, _, rest = head.headers["location"].removeprefix("http://").partition("/")
                target_path = "/" + rest
            self.log({"ev": "told", "sent": self.sent, "method": method, "path": path, "status": status, "via": answered_by,
                      "why": response_body[:200].decode("latin-1")})  # fmt: skip
            if change:
                self.log({"ev": "attempt", "change": change, "status": status, "via": answered_by, "began": sent})
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                return status, response_body, unclear, answered_by
            if 400 <= status < 500 and status not in (408, 429):
                refusals += 1
                if refusals >= 3:
                    return status, response_body, unclear, answered_by
            unclear = unclear or status >= 500
            if self.now() - began_at > keep:
                return status, response_body, unclear, answered_by
            address_index += 1
            await asyncio.sleep(retry_delay * (0.8 + 0.4 * self.chance.random()))
            retry_delay = min(retry_delay * 1.6, 1.0)

    async def change(
        self,
        method: str,
        body: Any,
        whole: Settings | None,
        base: int,
        valid: bool = True,
        start: int = -1,
        keep: float = 1e9,
    ) -> int:
        """Sends a configuration or a patch.

        Args:
            method: PUT or PATCH.
            body: the configuration or patch.
            whole: the configuration that results from it; None if the body can't be parsed.
            base: the version that it builds on.
            valid: whether it should be accepted.
            start: see `call`.
            keep: see `call`.

        Returns:
            The status of the final answer, or of the last attempt.
        """
        self.sent += 1
        number = self.sent
        began = self.now()
        self.log({"ev": "change", "change": number, "method": method, "base": base, "valid": valid,
                  "request": request_digest(method, base, body), "version": whole["version"] if whole else 0, "config": canonical_form(whole) if whole else None})  # fmt: skip
        response = await self.call(method, "/-/config", body, {"If-Match": str(base)}, start, keep, number)
        status, text, unclear, by = response
        self.log({"ev": "changed", "change": number, "status": status, "unclear": unclear, "via": by, "began": began,
                  "why": text[:200].decode("latin-1")})  # fmt: skip
        if status == 200 and whole is not None:
            self.acked_by = by
            if whole["version"] > self.version:
                self.config = whole
        return status

    async def put(self, config: Settings, base: int, **options: Any) -> int:
        return await self.change("PUT", config, config, base, **options)

    async def patch(self, patch: Settings, base: Settings | None = None, **options: Any) -> int:
        base = base or self.config
        return await self.change("PATCH", patch, patched(base, patch), base["version"], **options)

    def step(self) -> int:
        """Draws a version number a little above the current one."""
        return self.version + self.chance.randint(1, 4)

    async def retime(self) -> int:
        """Changes a timeout, which clients do not notice."""
        route = copy.deepcopy(
            self.chance.choice([r for r in self.config["routes"] if not r["name"].startswith("r-late")])
        )
        route["timeoutMs"] = int(route["timeoutMs"]) + 100
        return await self.patch({"version": self.step(), "upsert": {"routes": [route]}})

    async def add_route(self, like: str, service: str = "") -> str:
        """Adds a route like another one; clients find it in `config`.

        Returns its name, or an empty string if the change was not accepted, as when it lost against another change.
        """
        route = copy.deepcopy(next(r for r in self.config["routes"] if r["name"] == like))
        name = f"r-late{self.sent}"
        route |= {"name": name, "prefix": f"/late{self.sent}/"}
        if service:
            route.pop("split", None)
            route["service"] = service
        status = await self.patch({"version": self.step(), "upsert": {"routes": [route]}})
        return name if status == 200 else ""

    async def move(self, name: str, service: str) -> int:
        """Sends all requests of a route to one service."""
        route = copy.deepcopy(next(r for r in self.config["routes"] if r["name"] == name))
        route.pop("split", None)
        route["service"] = service
        return await self.patch({"version": self.step(), "upsert": {"routes": [route]}})

    async def split(self, name: str, weights: dict[str, int]) -> int:
        """Splits the requests of a route among services by weight."""
        route = copy.deepcopy(next(r for r in self.config["routes"] if r["name"] == name))
        route.pop("service", None)
        route["split"] = [{"service": s, "weight": w} for s, w in weights.items()]
        return await self.patch({"version": self.step(), "upsert": {"routes": [route]}})

    async def drop_route(self, name: str) -> int:
        return await self.patch({"version": self.step(), "remove": {"routes": [name]}})

    async def rekey(self) -> int:
        """Removes the first key of a random tenant, and adds a new one."""
        tenant = copy.deepcopy(self.chance.choice(self.config[TENANTS]))
        tenant["keys"] = [*tenant["keys"][1:], f"key{self.chance.randrange(1 << 48):012x}"]
        return await self.patch({"version": self.step(), "upsert": {TENANTS: [tenant]}})

    async def set_keys(self, name: str, keys: list[str]) -> int:
        """Replaces the keys of a tenant."""
        tenant = copy.deepcopy(next(t for t in self.config["tenants"] if t["name"] == name)) | {"keys": keys}
        return await self.patch({"version": self.step(), "upsert": {"tenants": [tenant]}})

    async def race(self) -> list[int]:
        """Sends two changes that build on the same version, at the same time, to two daemons; returns both statuses."""
        base = self.config
        jobs = []
        for i in range(2):
            route = copy.deepcopy(base["routes"][0])
            route["timeoutMs"] = int(route["timeoutMs"]) + 10 * (i + 1)
            version = base["version"] + 1 + (self.chance.random() < 0.5) * i
            jobs.append(
                self.patch({"version": version, "upsert": {"routes": [route]}}, base, start=i, keep=self.ack_s * 3)
            )
        return list(await asyncio.gather(*jobs))

    async def invalid(self, how: str) -> int:
        """Sends a configuration that must be refused, with an error of the kind `how`."""
        whole = copy.deepcopy(self.config) | {"version": self.step()}
        base = self.version
        route: Settings = whole["routes"][0]
        if how == "cut_short":
            text = json.dumps(whole).encode()
            return await self.change("PUT", text[: len(text) // 2], None, base, False, keep=self.ack_s)
        if how == "unknown_service":
            route.pop("split", None)
            route["service"] = "nowhere"
        elif how == "same_place":
            whole["routes"].append(copy.deepcopy(route) | {"name": "r-same"})
        elif how == "shared_key":
            whole[TENANTS][0]["keys"].append(whole[TENANTS][1]["keys"][0])
        elif how == "no_weight":
            service = route.pop("service", None) or route["split"][0]["service"]
            route["split"] = [{"service": service, "weight": 0}]
        elif how == "no_timeout":
            route["timeoutMs"] = 0
        elif how == "shared_key":
            key = next(key for tenant in whole["tenants"] for key in tenant["keys"])
            whole["tenants"].append({"name": "t-same", "keys": [key]})
        elif how == "old_version":
            whole["version"] = base
            route["timeoutMs"] = int(route["timeoutMs"]) + 7
        elif how == "stale_match":
            base = max(0, base - 1)
        else:
            raise ValueError(f"no invalid configuration of the kind {how!r}")
        return await self.change("PUT", whole, whole, base, False, keep=self.ack_s)

    async def evacuate(self, zone: str, on: bool = True) -> int:
        """Evacuates a zone, or ends its evacuation if `on` is false."""
        self.log({"ev": "evac_sent", "zone": zone, "on": on})
        status, _, unclear, by = await self.call("POST" if on else "DELETE", f"/-/evac/{zone}", keep=self.ack_s * 4)
        self.log({"ev": "evac", "zone": zone, "on": on, "status": status, "via": by, "unclear": unclear})
        self.acked_by = by if status == 200 else self.acked_by
        return status

    async def retire(self, node: str, span: float) -> str:
        """Asks for a store to be emptied, and waits until it is.

        Returns "done", or the status of the request if it was refused or the store was not empty after 2 * `span` seconds.
        """
        status, _, _, by = await self.call("POST", f"/-/retire/{node}", {"overS": span}, keep=self.ack_s)
        self.log({"ev": "retire", "node": node, "status": status, "via": by})
        deadline = self.now() + span * 2
        while status in (200, 202, 409) and self.now() < deadline:
            await asyncio.sleep(0.5)
            response = await self.call("GET", f"/-/retire/{node}", keep=2.0)
            state = json.loads(response[1]).get("state", "") if response[0] == 200 else ""
            if state == "done":
                self.log({"ev": "retired", "node": node})
                return "done"
        return f"{status}"

    async def read_back(self) -> None:
        """Reads the configuration back repeatedly for `contact_s` seconds, at the end of a day."""
        deadline = self.now() + self.contact_s
        while self.now() < deadline:
            began = self.now()
            status, text, _, by = await self.call("GET", "/-/config", keep=self.contact_s)
            config = None
            if status == 200:
                try:
                    config = canonical_form(json.loads(text))
                except (ValueError, AttributeError):
                    pass
            self.log({"ev": "read_back", "status": status, "began": began, "via": by, "config": config})
            await asyncio.sleep(0.3)
