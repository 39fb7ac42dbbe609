"""The stand-in operator of an announced fleet: configurations whole and patched, races, invalid ones, evacuations,
stores to be emptied, and reading back; each sent again as the platform's pages say."""

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
    """What a patch makes of a configuration."""
    out = copy.deepcopy(base)
    out["version"] = patch["version"]
    for part in LISTS:
        gone = set(patch.get("remove", {}).get(part, []))
        items = {i["name"]: i for i in out.get(part, []) if i["name"] not in gone}
        items |= {i["name"]: i for i in patch.get("upsert", {}).get(part, [])}
        if part in out or items:
            out[part] = list(items.values())
    return out


def canonical(config: Settings) -> Settings:
    """A configuration for comparing: the order of its lists says nothing."""
    return {k: sorted(v, key=lambda i: str(i.get("name", ""))) if isinstance(v, list) else v for k, v in config.items()}


def content_digest(config: Settings) -> str:
    """Identifies a configuration, whatever the order of its keys and lists."""
    return hashlib.sha256(json.dumps(canonical(config), sort_keys=True).encode()).hexdigest()[:12]


def request_digest(method: str, base: int, body: Any) -> str:
    """Identifies a request. A whole configuration is the same whatever it builds on; a patch is not."""
    text = body.decode("latin-1") if isinstance(body, bytes) else body
    named = json.dumps([method, base if method == "PATCH" else 0, text], sort_keys=True)
    return hashlib.sha256(named.encode()).hexdigest()[:12]


@dataclass(eq=False)
class Operator:
    """`config` is the newest acknowledged configuration."""

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
        """One order, sent until it is answered for good: status, body, whether any try was unclear, who answered.
        `change` is the number of a configuration order, whose attempts are logged."""
        data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        turn = start if start >= 0 else self.chance.randrange(64)
        unclear, pause, rude, began = False, 0.1, 0, self.now()
        while True:
            every = self.directory()
            addr, where, sent = every[turn % len(every)], path, self.now()
            status, got, by = 0, b"", ""
            for _ in range(3):
                try:
                    limit = 1.0 + len(data) / 1e6
                    more = {"Content-Type": "application/json"} | (headers or {})
                    head, got = await call(addr, method, where, more, data, limit)
                    status, by = head.status, self.whose(addr.rpartition(":")[0])
                except (Broken, Garbled) as bad:
                    unclear = unclear or "no connection" not in str(bad)
                    status = 0
                    break
                if status != 307 or "location" not in head.headers:
                    break
                addr, _, rest = head.headers["location"].removeprefix("http://").partition("/")
                where = "/" + rest
            self.log({"ev": "told", "sent": self.sent, "method": method, "path": path, "status": status, "via": by,
                      "why": got[:200].decode("latin-1")})  # fmt: skip
            if change:
                self.log({"ev": "attempt", "change": change, "status": status, "via": by, "began": sent})
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                return status, got, unclear, by
            if 400 <= status < 500 and status not in (408, 429):
                rude += 1
                if rude >= 3:
                    return status, got, unclear, by
            unclear = unclear or status >= 500
            if self.now() - began > keep:
                return status, got, unclear, by
            turn += 1
            await asyncio.sleep(pause * (0.8 + 0.4 * self.chance.random()))
            pause = min(pause * 1.6, 1.0)

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
        """Sends one configuration or patch; `whole` is what it would make, None if it can't be read."""
        self.sent += 1
        number = self.sent
        began = self.now()
        self.log({"ev": "change", "change": number, "method": method, "base": base, "valid": valid,
                  "request": request_digest(method, base, body), "version": whole["version"] if whole else 0, "config": canonical(whole) if whole else None})  # fmt: skip
        got = await self.call(method, "/-/config", body, {"If-Match": str(base)}, start, keep, number)
        status, text, unclear, by = got
        self.log({"ev": "changed", "change": number, "status": status, "unclear": unclear, "via": by, "began": began,
                  "why": text[:200].decode("latin-1")})  # fmt: skip
        if status == 200 and whole is not None:
            self.acked_by = by
            if whole["version"] > self.version:
                self.config = whole
        return status

    async def put(self, config: Settings, base: int, **more: Any) -> int:
        return await self.change("PUT", config, config, base, **more)

    async def patch(self, patch: Settings, base: Settings | None = None, **more: Any) -> int:
        base = base or self.config
        return await self.change("PATCH", patch, patched(base, patch), base["version"], **more)

    def step(self) -> int:
        return self.version + self.chance.randint(1, 4)

    async def retime(self) -> int:
        """A change of a time-out: nothing that clients would notice."""
        route = copy.deepcopy(
            self.chance.choice([r for r in self.config["routes"] if not r["name"].startswith("r-late")])
        )
        route["timeoutMs"] = int(route["timeoutMs"]) + 100
        return await self.patch({"version": self.step(), "upsert": {"routes": [route]}})

    async def add_route(self, like: str, service: str = "") -> str:
        """A new route like another one; clients find it in `config`. Empty if it lost against another change."""
        route = copy.deepcopy(next(r for r in self.config["routes"] if r["name"] == like))
        name = f"r-late{self.sent}"
        route |= {"name": name, "prefix": f"/late{self.sent}/"}
        if service:
            route.pop("split", None)
            route["service"] = service
        status = await self.patch({"version": self.step(), "upsert": {"routes": [route]}})
        return name if status == 200 else ""

    async def move(self, name: str, service: str) -> int:
        route = copy.deepcopy(next(r for r in self.config["routes"] if r["name"] == name))
        route.pop("split", None)
        route["service"] = service
        return await self.patch({"version": self.step(), "upsert": {"routes": [route]}})

    async def split(self, name: str, weights: dict[str, int]) -> int:
        route = copy.deepcopy(next(r for r in self.config["routes"] if r["name"] == name))
        route.pop("service", None)
        route["split"] = [{"service": s, "weight": w} for s, w in weights.items()]
        return await self.patch({"version": self.step(), "upsert": {"routes": [route]}})

    async def drop_route(self, name: str) -> int:
        return await self.patch({"version": self.step(), "remove": {"routes": [name]}})

    async def rekey(self) -> int:
        """One tenant's first key is taken away, and a new one is added."""
        tenant = copy.deepcopy(self.chance.choice(self.config[TENANTS]))
        tenant["keys"] = [*tenant["keys"][1:], f"key{self.chance.randrange(1 << 48):012x}"]
        return await self.patch({"version": self.step(), "upsert": {TENANTS: [tenant]}})

    async def set_keys(self, name: str, keys: list[str]) -> int:
        """A tenant has these keys from now on, and none of its older ones."""
        tenant = copy.deepcopy(next(t for t in self.config["tenants"] if t["name"] == name)) | {"keys": keys}
        return await self.patch({"version": self.step(), "upsert": {"tenants": [tenant]}})

    async def race(self) -> list[int]:
        """Two changes on top of the same version, at once, at two daemons."""
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
        """A configuration that must be refused."""
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
        self.log({"ev": "evac_sent", "zone": zone, "on": on})
        status, _, unclear, by = await self.call("POST" if on else "DELETE", f"/-/evac/{zone}", keep=self.ack_s * 4)
        self.log({"ev": "evac", "zone": zone, "on": on, "status": status, "via": by, "unclear": unclear})
        self.acked_by = by if status == 200 else self.acked_by
        return status

    async def retire(self, node: str, span: float) -> str:
        """Asks for a store to be emptied and waits until it is; returns how that went."""
        status, _, _, by = await self.call("POST", f"/-/retire/{node}", {"overS": span}, keep=self.ack_s)
        self.log({"ev": "retire", "node": node, "status": status, "via": by})
        until = self.now() + span * 2
        while status in (200, 202, 409) and self.now() < until:
            await asyncio.sleep(0.5)
            got = await self.call("GET", f"/-/retire/{node}", keep=2.0)
            state = json.loads(got[1]).get("state", "") if got[0] == 200 else ""
            if state == "done":
                self.log({"ev": "retired", "node": node})
                return "done"
        return f"{status}"

    async def read_back(self) -> None:
        """At the end of a day: reads the configuration back, again and again for as long as it takes to be in touch."""
        until = self.now() + self.contact_s
        while self.now() < until:
            began = self.now()
            status, text, _, by = await self.call("GET", "/-/config", keep=self.contact_s)
            config = None
            if status == 200:
                try:
                    config = canonical(json.loads(text))
                except (ValueError, AttributeError):
                    pass
            self.log({"ev": "read_back", "status": status, "began": began, "via": by, "config": config})
            await asyncio.sleep(0.3)
