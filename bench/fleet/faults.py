"""Faults and operations on a live fleet, one after another."""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
import time
from collections.abc import Iterable
from dataclasses import dataclass

import aiohttp

from bench.fleet.processes import (
    CONTROL,
    CUTTABLE_STORE,
    EDGE,
    STORE,
    TAKEN,
    Applied,
    ConfigurationRejectedError,
    Fleet,
)
from bench.plan import Raw, changed
from postpass.configuration.configuration import partition_of

ISOLATED = 4.0  # seconds
DISK_FULL = 5.0  # seconds
DISK_LEFT = 20000  # bytes
REBALANCE = 8.0  # seconds until a new store has taken over
ADDED_ROUTES = 300
RECOVERY_LIMIT = 30.0  # seconds until a configuration must be taken again
LEAVE_LIMIT = 30.0  # seconds until a daemon must have left after SIGTERM
NEVER = 99.0  # seconds that the notes give for what did not happen


@dataclass(eq=False)
class FaultInjector:
    """Causes faults and operations. Invariant: each note is of what was done."""

    fleet: Fleet
    session: aiohttp.ClientSession
    notes: list[str]
    rest: float = 3.0  # seconds after each fault

    async def run_all(self) -> None:
        """Each fault and operation once, in turn."""
        await self._lose_processes()
        await self._freeze_and_isolate()
        await self._fill_disks()
        await self._evacuate()
        await self._write_concurrently()
        await self._add_routes()
        await self._replace_stores()
        await self._restart_all()

    async def wipe(self) -> None:
        """More than is tolerated: three stores and control's primary and backup lose their disks at once."""
        fleet = self.fleet
        primary = await self._primary()
        replica_set = (await fleet.status(self.session, primary))["control"]
        names = ["s1", "s2", "s3", replica_set["primary"], replica_set["backup"]]
        self._note(f"at once, disks lost: {', '.join(names)}; started again 1 s later")
        for name in names:
            fleet.kill(name)
            shutil.rmtree(fleet.data_folder(name), ignore_errors=True)
        lost_at = time.time()
        await asyncio.sleep(1)
        for name in names:
            fleet.start(name)
        await self._apply_until_taken(lost_at)
        self._note(
            f"a manifest was taken again {time.time() - lost_at:.1f} s after the loss, as edition {fleet.revision}"
        )
        await asyncio.sleep(10)
        self._note_jobs_accepted_since(lost_at)

    # --- scenarios
    async def _lose_processes(self) -> None:
        for name in ("w1", "w2", "w3"):
            await self._restart(name, "worker replaced:", 1.0)
        await self._restart("p1", "plain back end killed:")
        await self._restart("e3", "edge killed:")
        await self._restart(await self._busiest_store(), "power of the busiest store:")
        await self._restart(await self._busiest_store(), "busiest store killed:", wipe=True)

    async def _freeze_and_isolate(self) -> None:
        await self._freeze(await self._busiest_store(), "owner", 5)
        await self._restart(await self._primary(), "power of the control primary:")
        await self._freeze(await self._primary(), "control primary", 4)
        await self._freeze(await self._active_scheduler(), "scheduling edge", 3)
        self._note(f"store {CUTTABLE_STORE} cut off from everything for {ISOLATED:g} s")
        self.fleet.isolation_mark.touch()
        await asyncio.sleep(ISOLATED)
        self.fleet.isolation_mark.unlink()
        await asyncio.sleep(self.rest)

    async def _fill_disks(self) -> None:
        self._note(f"every store's disk full ({DISK_LEFT // 1000} KB left) for {DISK_FULL:g} s")
        stores = self.fleet.urls(STORE)
        for name in stores:
            used = sum(file.stat().st_size for file in self.fleet.data_folder(name).iterdir())
            self.fleet.free_space_mark(name).write_text(f"{DISK_LEFT} {used}")
        await asyncio.sleep(DISK_FULL)
        for name in stores:
            self.fleet.free_space_mark(name).unlink()
        await asyncio.sleep(self.rest)

    async def _evacuate(self) -> None:
        fleet, before = self.fleet, self.fleet.configuration
        evacuated = changed(changed(before, "evacuated", ["d"]), "pools.gpu.servers.w1.leave", True)
        await self._apply(evacuated, "area d evacuated and worker w1 told to leave")
        fleet.log("evacuated", area="d")
        fleet.log("leave", server="w1")
        await asyncio.sleep(7)
        fleet.log("return", area="d")
        fleet.log("stay", server="w1")
        await self._apply(before, "both taken back")

    async def _write_concurrently(self) -> None:
        fleet, before = self.fleet, self.fleet.configuration
        kind = next(iter(before["classes"]))
        deadline = before["classes"][kind]["deadline"]
        self._note("two operators write at once, from the same edition")
        outcomes = await asyncio.gather(
            *(
                fleet.apply(
                    self.session,
                    changed(before, f"classes.{kind}.deadline", deadline + i),
                    fleet.revision,
                    f"op{i}",
                )
                for i in (1, 2)
            ),
            return_exceptions=True,
        )
        self.notes[-1] += f" ({sum(isinstance(outcome, Applied) for outcome in outcomes)} won)"
        fleet.configuration = self._last_taken()

    def _last_taken(self) -> Raw:
        events = reversed(self.fleet.events)
        content = next(e["content"] for e in events if e["ev"] == "applied" and e["answer"] in TAKEN)
        configuration: Raw = json.loads(content)
        return configuration

    async def _add_routes(self) -> None:
        routes = self.fleet.configuration["ways"]
        path, kind = next(iter(routes.items()))
        more = {f"{path}-{i}": kind for i in range(ADDED_ROUTES)}
        await self._apply(changed(self.fleet.configuration, "ways", routes | more), f"{ADDED_ROUTES} routes added")

    async def _replace_stores(self) -> None:
        fleet = self.fleet
        fifth = fleet.configuration["machines"]["s2"] | {"peer": "127.2.7.1:7000", "http": "127.2.7.1:8000"}
        fleet.kill("s2")
        fleet.configuration = changed(fleet.configuration, "machines.s5", fifth)
        fleet.start("s5")
        await self._apply(
            changed(fleet.configuration, "machines.s2.gone", True),
            "store s2 lost for good, an empty s5 at a new address put in its place",
        )
        await asyncio.sleep(REBALANCE)
        sixth = fleet.configuration["machines"]["s3"] | {"peer": "127.3.7.1:7000", "http": "127.3.7.1:8000"}
        fleet.configuration = changed(fleet.configuration, "machines.s6", sixth)
        fleet.start("s6")
        await self._apply(changed(fleet.configuration, "machines.s3.retire", True), "store s6 added, s3 retired")
        await asyncio.sleep(REBALANCE)

    async def _restart_all(self) -> None:
        fleet = self.fleet
        machines = fleet.configuration["machines"].items()
        names = [name for name, machine in machines if not machine.get("gone") and not machine.get("retire")]
        self._note(f"every daemon ({len(names)}) restarted by SIGTERM, one by one")
        for name in names:
            fleet.kill(name, signal.SIGTERM)
            began = time.time()
            while fleet.processes[name].poll() is None and time.time() - began < LEAVE_LIMIT:
                await asyncio.sleep(0.05)
            fleet.start(name)
            await asyncio.sleep(1.5)
        await asyncio.sleep(self.rest)

    # --- single faults
    def _note(self, text: str) -> None:
        self.notes.append(text)
        self.fleet.log("note", what=text)

    async def _restart(self, name: str, what: str, away: float = 2.0, wipe: bool = False) -> None:
        """Kills a process, with its disk if asked to, and starts it again after `away` seconds."""
        self._note(f"{what} {name}" + (", its disk lost" if wipe else "") + f", started again {away:g} s later")
        self.fleet.kill(name)
        if wipe:
            shutil.rmtree(self.fleet.data_folder(name), ignore_errors=True)
        await asyncio.sleep(away)
        self.fleet.start(name)
        await asyncio.sleep(self.rest)

    async def _freeze(self, name: str, what: str, span: float) -> None:
        self._note(f"{what} {name} frozen (SIGSTOP) for {span:g} s and woken")
        self.fleet.kill(name, signal.SIGSTOP)
        await asyncio.sleep(span)
        self.fleet.kill(name, signal.SIGCONT)
        await asyncio.sleep(self.rest)

    async def _apply(self, configuration: Raw, what: str) -> None:
        began = time.time()
        applied = await self.fleet.apply(self.session, configuration, self.fleet.revision)
        waits = f", not confirmed by {', '.join(applied.unconfirmed)}" if applied.unconfirmed else ""
        self._note(f"{what} (answered {applied.status} after {time.time() - began:.2f} s{waits})")
        self.fleet.configuration = configuration

    async def _apply_until_taken(self, lost_at: float) -> None:
        fleet = self.fleet
        configuration = changed(fleet.configuration, "name", fleet.configuration["name"] + "-again")
        while time.time() - lost_at < RECOVERY_LIMIT:
            try:
                await fleet.apply(self.session, configuration, fleet.revision)
                return
            except ConfigurationRejectedError as rejected:
                fleet.revision = rejected.revision_hint or fleet.revision

    def _note_jobs_accepted_since(self, lost_at: float) -> None:
        accepted = [e for e in self.fleet.events if e["ev"] == "lot" and e["answer"] == "kept"]
        first = min((e["t"] for e in accepted if e["began"] > lost_at), default=lost_at + NEVER)
        partitions: dict[int, float] = {}
        for event in accepted:
            if event["t"] > lost_at:
                partition = partition_of(event["id"], self.fleet.configuration["parts"])
                partitions.setdefault(partition, event["t"] - lost_at)
        self._note(f"lots were kept again {first - lost_at:.1f} s after the loss, in the last of "
                   f"{len(partitions)} partitions after {max(partitions.values(), default=NEVER):.1f} s")  # fmt: skip

    # --- who has a role now
    async def _busiest_store(self) -> str:
        seen = {name: await self.fleet.status(self.session, name) for name in self.fleet.urls(STORE)}
        return max(seen, key=lambda n: sum(p["owning"] for p in seen[n].get("store", {}).get("parts", [])))

    async def _primary(self) -> str:
        return await self._first(self.fleet.urls(CONTROL), "control", "leads") or "c1"

    async def _active_scheduler(self) -> str:
        return await self._first(self.fleet.urls(EDGE), "sched", "active") or "e1"

    async def _first(self, names: Iterable[str], section: str, key: str) -> str:
        """The first machine whose status says yes to a key; empty if none does."""
        for name in names:
            if (await self.fleet.status(self.session, name)).get(section, {}).get(key):
                return name
        return ""
