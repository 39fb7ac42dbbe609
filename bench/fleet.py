"""Starts a whole deployment on loopback as real processes, applies its manifest, runs its callers, causes
faults if asked to, prints a report, and stops everything that it started.

    python -m bench.fleet run kompressorlab --seconds 60 --faults --out docs/reports/kompressorlab.md
    python -m bench.fleet up couriers            # just the fleet, until Ctrl-C
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import fire

from bench.clients import Callers, Load
from bench.deploy import DEPLOYMENTS, Deployment
from bench.plan import changed, config
from postpass.configuration.configuration import partition_of
from sim.check import CHECKS, Bounds, History, breaches

Event = dict[str, Any]


CUTTABLE = "s4"  # the store that can be cut off


@dataclass(eq=False)
class Fleet:
    """Invariant: every process in `procs` was started here, and is ended here."""

    plan: Deployment
    root: Path
    procs: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    events: list[Event] = field(default_factory=list)
    revision: int = 0
    since: dict[str, float] = field(default_factory=dict)
    starts: Counter[str] = field(default_factory=Counter)
    configuration: dict[str, Any] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.configuration = self.plan.manifest

    def tell(self, ev: str, **more: Any) -> None:
        self.events.append({"t": time.time(), "ev": ev, **more})

    def spawn(self, name: str, words: list[str]) -> None:
        log = (self.root / f"{name}.log").open("ab")
        env = os.environ | {"PYTHONPATH": str(Path(__file__).parent.parent)}
        if name == CUTTABLE:
            env |= {"POSTPASS_CUT": str(self.root / f"{name}.cut")}
        self.procs[name] = subprocess.Popen(
            [sys.executable, "-m", *words], stdout=log, stderr=log, env=env, start_new_session=True
        )
        self.since[name] = time.time()
        self.starts[name] += 1

    def start(self, name: str) -> None:
        if name in self.configuration["machines"]:
            control = "control" in self.configuration["machines"][name]["duties"]
            raw = config(
                self.configuration, name, str(self.root / "data" / name) if control or name.startswith("s") else ""
            )
            file = self.root / f"{name}.json"
            file.write_text(json.dumps(raw))
            peer = raw["peer"]
            self.spawn(
                name,
                [
                    "bench.lag",
                    str(self.plan.delay),
                    "control-plane" if control else "data-plane",
                    f"--config={file}",
                    f"--peer={peer}",
                ],
            )
            return
        for pool in self.configuration["pools"].values():
            if name in pool["servers"]:
                s = pool["servers"][name]
                self.spawn(name, ["bench.standin", f"--kind={pool['kind']}", f"--name={name}", f"--http={s['url'][7:]}",
                                  f"--log={self.root / name}.jsonl", f"--area={s['area']}", f"--slots={s['slots']}"])  # fmt: skip

    def start_all(self) -> None:
        for pool in self.configuration["pools"].values():
            for name in pool["servers"]:
                self.start(name)
        for name in self.configuration["machines"]:
            self.start(name)

    def kill(self, name: str, sig: int = signal.SIGKILL) -> None:
        self.procs[name].send_signal(sig)
        if sig == signal.SIGKILL:
            self.procs[name].wait()

    def stop_all(self) -> dict[str, int]:
        """SIGTERM, then SIGKILL for what has not left; returns exit codes."""
        for proc in self.procs.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.terminate()
        until = time.time() + 15
        for proc in self.procs.values():
            try:
                proc.wait(max(0.1, until - time.time()))
            except subprocess.TimeoutExpired:
                proc.kill()
                proc.wait()
        return {n: p.returncode for n, p in self.procs.items()}

    def urls(self, duty: str) -> dict[str, str]:
        return {n: f"http://{m['http']}" for n, m in self.configuration["machines"].items() if duty in m["duties"]}

    async def apply(
        self, session: aiohttp.ClientSession, configuration: dict[str, Any], base: int, who: str = "op"
    ) -> int:
        for url in list(self.urls("control").values()) * 8:
            began = time.time()
            try:
                async with session.put(
                    f"{url}/v1/manifest",
                    json=configuration,
                    headers={"if-match": f'"{base}"'},
                    timeout=aiohttp.ClientTimeout(total=6),
                ) as got:
                    revision = int(got.headers.get("etag", '"0"').strip('"'))
                    waits = (await got.json()).get("unconfirmed", []) if got.status == 202 else []
                    self.tell("applied", who=who, answer=got.status, edition=revision, base=base, content=json.dumps(configuration, sort_keys=True),
                              began=began, again=False, waits=waits)  # fmt: skip
                    if got.status in (200, 202):
                        self.revision = revision
                        return revision
                    if got.status in (400, 412):
                        raise RuntimeError(await got.text())
            except (aiohttp.ClientError, OSError, TimeoutError):
                pass
            await asyncio.sleep(0.25)
        raise RuntimeError("the manifest was not taken")

    async def wait_ready(self, session: aiohttp.ClientSession, limit: float = 60) -> None:
        until = time.time() + limit
        while time.time() < until:
            seen = await asyncio.gather(*(self.status(session, n) for n in self.urls("store")))
            owned = {p["part"] for s in seen for p in s.get("store", {}).get("parts", []) if p["ready"]}
            edges = await asyncio.gather(*(self.status(session, n) for n in self.urls("edge")))
            up = all(s.get("servers") and not any(v["barred"] for v in s["servers"].values()) for s in edges)
            if len(owned) == self.configuration["parts"] and up:
                return
            await asyncio.sleep(0.3)
        raise RuntimeError("the fleet was not ready in time")

    async def status(self, session: aiohttp.ClientSession, name: str) -> dict[str, Any]:
        url = f"http://{self.configuration['machines'][name]['http']}/v1/status"
        try:
            async with session.get(url, timeout=aiohttp.ClientTimeout(total=1.5)) as got:
                return dict(await got.json())
        except (aiohttp.ClientError, OSError, TimeoutError):
            return {}

    async def sample(self, session: aiohttp.ClientSession) -> None:
        while True:
            for name in self.configuration["machines"]:
                began = time.time()
                seen = await self.status(session, name)
                if seen:
                    fit = seen["fresh"] if seen["duties"] else began - self.since[name] > 4
                    self.events.append(
                        {
                            "t": began,
                            "ev": "runs",
                            "daemon": f"{name}/{self.starts[name]}",
                            "edition": seen["edition"],
                            "fit": fit,
                        }
                    )
            await asyncio.sleep(0.5)

    def collect(self) -> None:
        """Takes in what the stand-in servers wrote down."""
        for file in self.root.glob("*.jsonl"):
            self.events += [json.loads(line) for line in file.read_text().splitlines() if line.endswith("}")]
        self.events.sort(key=lambda e: e["t"])


@dataclass(eq=False)
class Trouble:
    """Causes faults and operations on a live fleet, one after another. Invariant: each note is of what was done."""

    fleet: Fleet
    session: aiohttp.ClientSession
    notes: list[str]
    rest: float = 3.0

    def note(self, text: str) -> None:
        self.notes.append(text)
        self.fleet.tell("note", what=text)

    async def down(self, name: str, what: str, away: float = 2.0, wipe: bool = False) -> None:
        self.note(f"{what} {name}" + (", its disk lost" if wipe else "") + f", started again {away:g} s later")
        self.fleet.kill(name)
        if wipe:
            shutil.rmtree(self.fleet.root / "data" / name, ignore_errors=True)
        await asyncio.sleep(away)
        self.fleet.start(name)
        await asyncio.sleep(self.rest)

    async def freeze(self, name: str, what: str, span: float) -> None:
        self.note(f"{what} {name} frozen (SIGSTOP) for {span:g} s and woken")
        self.fleet.kill(name, signal.SIGSTOP)
        await asyncio.sleep(span)
        self.fleet.kill(name, signal.SIGCONT)
        await asyncio.sleep(self.rest)

    async def busiest(self) -> str:
        seen = {n: await self.fleet.status(self.session, n) for n in self.fleet.urls("store")}
        return max(seen, key=lambda n: sum(p["owning"] for p in seen[n].get("store", {}).get("parts", [])))

    async def primary(self) -> str:
        for name in self.fleet.urls("control"):
            if (await self.fleet.status(self.session, name)).get("control", {}).get("leads"):
                return name
        return "c1"

    async def active(self) -> str:
        for name in self.fleet.urls("edge"):
            if (await self.fleet.status(self.session, name)).get("sched", {}).get("active"):
                return name
        return "e1"

    async def apply(self, configuration: dict[str, Any], what: str) -> None:
        began = time.time()
        await self.fleet.apply(self.session, configuration, self.fleet.revision)
        last = next(e for e in reversed(self.fleet.events) if e["ev"] == "applied")
        named = f", not confirmed by {', '.join(last['waits'])}" if last["waits"] else ""
        self.note(f"{what} (answered {last['answer']} after {time.time() - began:.2f} s{named})")
        self.fleet.configuration = configuration

    async def all(self) -> None:
        fleet = self.fleet
        for name in ("w1", "w2", "w3"):
            await self.down(name, "worker replaced:", 1.0)
        await self.down("p1", "plain back end killed:")
        await self.down("e3", "edge killed:")
        await self.down(await self.busiest(), "power of the busiest store:")
        await self.down(await self.busiest(), "busiest store killed:", wipe=True)
        await self.freeze(await self.busiest(), "owner", 5)
        await self.down(await self.primary(), "power of the control primary:")
        await self.freeze(await self.primary(), "control primary", 4)
        await self.freeze(await self.active(), "scheduling edge", 3)
        self.note(f"store {CUTTABLE} cut off from everything for 4 s")
        mark = fleet.root / f"{CUTTABLE}.cut"
        mark.touch()
        await asyncio.sleep(4)
        mark.unlink()
        await asyncio.sleep(self.rest)
        self.note("every store's disk full (20 KB left) for 5 s")
        for name in fleet.urls("store"):
            used = sum(f.stat().st_size for f in (fleet.root / "data" / name).iterdir())
            (fleet.root / "data" / f"{name}.room").write_text(f"20000 {used}")
        await asyncio.sleep(5)
        for name in fleet.urls("store"):
            (fleet.root / "data" / f"{name}.room").unlink()
        await asyncio.sleep(self.rest)
        base = fleet.configuration
        configuration = changed(changed(base, "evacuated", ["d"]), "pools.gpu.servers.w1.leave", True)
        await self.apply(configuration, "area d evacuated and worker w1 told to leave")
        fleet.tell("evacuated", area="d")
        fleet.tell("leave", server="w1")
        await asyncio.sleep(7)
        fleet.tell("return", area="d")
        fleet.tell("stay", server="w1")
        await self.apply(base, "both taken back")
        kind = next(iter(base["classes"]))
        limit = base["classes"][kind]["deadline"]
        self.note("two operators write at once, from the same edition")
        got = await asyncio.gather(
            *(fleet.apply(self.session, changed(base, f"classes.{kind}.deadline", limit + i), fleet.revision, f"op{i}") for i in (1, 2)),
            return_exceptions=True,
        )  # fmt: skip
        self.notes[-1] += f" ({sum(isinstance(g, int) for g in got)} won)"
        fleet.configuration = next(
            json.loads(e["content"])
            for e in reversed(fleet.events)
            if e["ev"] == "applied" and e["answer"] in (200, 202)
        )
        way = next(iter(base["ways"]))
        more = {f"{way}-{i}": base["ways"][way] for i in range(300)}
        await self.apply(changed(fleet.configuration, "ways", fleet.configuration["ways"] | more), "300 routes added")
        old = fleet.configuration["machines"]["s2"]
        fresh = old | {"peer": "127.2.7.1:7000", "http": "127.2.7.1:8000"}
        fleet.kill("s2")
        fleet.configuration = changed(fleet.configuration, "machines.s5", fresh)
        fleet.start("s5")
        await self.apply(
            changed(fleet.configuration, "machines.s2.gone", True),
            "store s2 lost for good, an empty s5 at a new address put in its place",
        )
        await asyncio.sleep(8)
        sixth = fleet.configuration["machines"]["s3"] | {"peer": "127.3.7.1:7000", "http": "127.3.7.1:8000"}
        fleet.configuration = changed(fleet.configuration, "machines.s6", sixth)
        fleet.start("s6")
        await self.apply(changed(fleet.configuration, "machines.s3.retire", True), "store s6 added, s3 retired")
        await asyncio.sleep(8)
        names = [n for n, m in fleet.configuration["machines"].items() if not m.get("gone") and not m.get("retire")]
        self.note(f"every daemon ({len(names)}) restarted by SIGTERM, one by one")
        for name in names:
            fleet.kill(name, signal.SIGTERM)
            began = time.time()
            while fleet.procs[name].poll() is None and time.time() - began < 30:
                await asyncio.sleep(0.05)
            fleet.start(name)
            await asyncio.sleep(1.5)
        await asyncio.sleep(self.rest)

    async def wiping(self) -> None:
        """More than is tolerated: three stores and control's pair lose their disks at once."""
        fleet = self.fleet
        lead = await self.primary()
        pair = (await fleet.status(self.session, lead))["control"]
        names = ["s1", "s2", "s3", pair["primary"], pair["backup"]]
        self.note(f"at once, disks lost: {', '.join(names)}; started again 1 s later")
        for name in names:
            fleet.kill(name)
            shutil.rmtree(fleet.root / "data" / name, ignore_errors=True)
        at = time.time()
        await asyncio.sleep(1)
        for name in names:
            fleet.start(name)
        configuration = changed(fleet.configuration, "name", fleet.configuration["name"] + "-again")
        while time.time() - at < 30:
            try:
                await fleet.apply(self.session, configuration, fleet.revision)
                break
            except RuntimeError as bad:
                seen = json.loads(str(bad)).get("error", {})
                fleet.revision = int(seen.get("hint") or fleet.revision)
        self.note(f"a manifest was taken again {time.time() - at:.1f} s after the loss, as edition {fleet.revision}")
        await asyncio.sleep(10)
        kept = [e["t"] for e in fleet.events if e["ev"] == "lot" and e["answer"] == "kept" and e["began"] > at]
        parts: dict[int, float] = {}
        for e in fleet.events:
            if e["ev"] == "lot" and e["answer"] == "kept" and e["t"] > at:
                parts.setdefault(partition_of(e["id"], fleet.configuration["parts"]), e["t"] - at)
        self.note(f"lots were kept again {min(kept, default=at + 99) - at:.1f} s after the loss, in the last of "
                  f"{len(parts)} partitions after {max(parts.values(), default=99):.1f} s")  # fmt: skip


def rank(vals: list[float], part: float) -> float:
    return sorted(vals)[min(len(vals) - 1, int(len(vals) * part))] if vals else 0.0


def report(
    fleet: Fleet, seconds: float, notes: list[str], codes: dict[str, int], command: str, excused: bool = False
) -> str:
    ev = fleet.events
    found = breaches(History(ev, Bounds(ramp=fleet.configuration["ramp"]), excused))
    rows = []
    calls: dict[str, list[Event]] = defaultdict(list)
    for e in ev:
        if e["ev"] in ("call", "view"):
            calls[e["kind"]].append(e)
    for kind, es in calls.items():
        ends = Counter(e["end"] for e in es)
        firsts = [e["first"] - e["began"] for e in es if e.get("first")]
        whole = [e["t"] - e["began"] for e in es if e["end"] == "done"]
        rows.append(f"| {kind} | {len(es)} | {ends['done']} | {ends['shed']} | {ends['error']} | {ends['broken']} | "
                    f"{rank(firsts, 0.5) * 1e3:.0f} / {rank(firsts, 0.95) * 1e3:.0f} / {rank(firsts, 0.99) * 1e3:.0f} | "
                    f"{rank(whole, 0.5) * 1e3:.0f} / {rank(whole, 0.95) * 1e3:.0f} / {rank(whole, 0.99) * 1e3:.0f} |")  # fmt: skip
    lots = [e for e in ev if e["ev"] == "lot"]
    answers = Counter(e["answer"] for e in lots)
    first_whole: dict[str, float] = {}
    for e in ev:
        if e["ev"] == "page" and e["whole"]:
            first_whole.setdefault(e["id"], e["t"])
    kept = [e for e in lots if e["answer"] == "kept"]
    on_time = sum(first_whole.get(e["id"], 1e18) <= e["due"] for e in kept)
    late = sum(e["due"] < first_whole.get(e["id"], 0) for e in kept)
    spans = [first_whole[e["id"]] - e["began"] for e in kept if e["id"] in first_whole]
    submit = [e["t"] - e["began"] for e in kept]
    errors = Counter(f"{e['end']}: {e['why'][:90]}" for es in calls.values() for e in es if e["end"] != "done")

    def last(kind: str, same: Callable[[Event, Event], bool]) -> str:
        marks = [e for e in ev if e["ev"] == kind]
        late = [
            e["t"] - m["t"] for m in marks for e in ev if e["ev"] == "took" and same(e, m) and 0 < e["t"] - m["t"] < 6.9
        ]
        return f"{max(late, default=0.0):.2f} s" if marks else "not caused"

    acked = [e for e in ev if e["ev"] == "applied" and e["answer"] in (200, 202) and e["base"] > 0]
    behind = [
        e["t"] - a["t"]
        for a in acked
        for e in ev
        if e["ev"] == "runs" and e["fit"] and e["t"] > a["t"] and e["edition"] < a["edition"]
    ]
    kept_at = sorted(e["t"] for e in kept)
    gap = max((b - a for a, b in zip(kept_at, kept_at[1:], strict=False)), default=0.0)
    done_at = sorted(e["t"] for e in ev if e["ev"] == "call" and e["end"] == "done")
    call_gap = max((b - a for a, b in zip(done_at, done_at[1:], strict=False)), default=0.0)
    lines = [
        f"# {fleet.plan.name}: the main job on real processes", "",
        f"Made by `{command}` on {time.strftime('%Y-%m-%d')}; {os.cpu_count()} cores shared by "
        f"{len(fleet.procs)} processes and the callers, so absolute times mean little.", "",
        f"{seconds:.0f} s in all; {fleet.plan.delay:g} ms each way between areas (asyncio timers round up to about 1 ms).", "",
        "| class | calls | done | shed | error | broken | first piece, ms p50 / p95 / p99 | whole, ms p50 / p95 / p99 |",
        "|---|---|---|---|---|---|---|---|", *rows, "",
        f"Lots: {len(lots)} handed in, {answers['kept']} kept, {answers['shed']} shed, {answers['unknown']} unknown at the last ask, "
        f"{answers['bad']} refused as bad; {on_time} whole by their due time, {late} late, {len(kept) - len(spans)} of the kept never seen whole.", "",
        f"Time to `kept`: p50 {rank(submit, 0.5) * 1e3:.0f} ms, p95 {rank(submit, 0.95) * 1e3:.0f} ms, worst {max(submit, default=0):.2f} s. "
        f"Handed in to whole: p50 {rank(spans, 0.5):.1f} s, p95 {rank(spans, 0.95):.1f} s.", "",
        f"Bounds as read here: a leaving worker's last new work {last('leave', lambda e, m: e['worker'] == m['server'])} after the answer (2 s), "
        f"an evacuated area's {last('evacuated', lambda e, m: e['area'] == m['area'])} (5 s); a daemon still on an older edition "
        f"{max(behind, default=0.0):.2f} s after the answer (2 s; each daemon is asked about every half second); longest time without a "
        f"lot kept {gap:.1f} s, at {fleet.plan.load.lots[next(iter(fleet.plan.load.lots))][0] + 8:.1f} lots a second, probes included (12 s); without a live call done {call_gap:.1f} s.", "",
        "Faults and operations, in turn:", "", *(f"- {n}" for n in notes), "" if notes else "- none\n",
        "## What must never happen", "",
        *("- " + " ".join((CHECKS[n].__doc__ or n).split()).rstrip(".") + ": " + (f"**{len(found[n])} breaches**, first: {found[n][0]}" if n in found else "none seen")  # type: ignore[union-attr]
          for n in CHECKS), "",
        "## Calls that were not done", "", *(f"- {n} x {w}" for w, n in errors.most_common(12)), "" if errors else "- none\n",
        "Exit codes at SIGTERM: " + (", ".join(f"{n}: {c}" for n, c in sorted(codes.items()) if c != 0) or "0 of all") + ".", "",
    ]  # fmt: skip
    return "\n".join(lines)


async def main_job(fleet: Fleet, seconds: float, with_faults: bool, wipe: bool, notes: list[str]) -> None:
    fleet.start_all()
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=2)) as session:
        await asyncio.sleep(2.0)
        await fleet.apply(session, fleet.configuration, 0)
        await fleet.wait_ready(session)
        # Fresh workers warm up before the crowd comes: the ramp is held against the load by scenarios.
        await asyncio.sleep(fleet.configuration["ramp"])
        edges = list(fleet.urls("edge").values())
        clients = Callers(edges, session, random.Random(1), time.time, fleet.events.append, fleet.plan.load)
        # Small ones, many of them, so that a gap is measured and not set by the rate.
        live, lot = next(iter(fleet.plan.load.live)), next(iter(fleet.plan.load.lots))
        few = Load({live: 5.0}, {}, {lot: (8.0, 1)}, fleet.plan.load.within, {live: 3})
        probes = Callers(edges, session, random.Random(2), time.time, fleet.events.append, few, count=10_000_000)
        sampler = asyncio.create_task(fleet.sample(session))
        trouble = Trouble(fleet, session, notes)
        both = asyncio.gather(clients.run(1e9), probes.run(1e9))
        if with_faults:
            await asyncio.sleep(3)
            await trouble.all()
        elif wipe:
            await asyncio.sleep(8)
            await trouble.wiping()
        else:
            await asyncio.sleep(seconds)
        clients.until = probes.until = 0.0
        await both
        if not wipe:
            await clients.audit(60)
            await probes.audit(60)
        sampler.cancel()


class Commands:
    """A deployment on loopback."""

    def run(
        self,
        name: str,
        seconds: float = 60,
        faults: bool = False,
        wipe: bool = False,
        out: str = "",
        keep: bool = False,
        scale: float = 1.0,
    ) -> int:
        """Runs the main job and prints its report; exit 1 if anything happened that must never happen.

        Args:
          name: kompressorlab or couriers.
          seconds: how long the callers call.
          faults: cause every fault and operation of the list in turn, for as long as that takes.
          wipe: lose more than is tolerated, and measure the time until service is back.
          out: a file for the report.
          keep: keep the folder with logs and data.
          scale: a factor on the callers' rates.
        """
        plan = DEPLOYMENTS[name]
        if scale != 1.0:
            load = plan.load
            plan = Deployment(plan.name, plan.manifest, type(load)(
                {k: v * scale for k, v in load.live.items()}, {k: v * scale for k, v in load.plain.items()},
                {k: (r * scale, n) for k, (r, n) in load.lots.items()}, load.within, load.pieces), plan.delay)  # fmt: skip
        root = Path(tempfile.mkdtemp(prefix=f"postpass-{name}-"))
        (root / "data").mkdir()
        fleet, notes = Fleet(plan, root), list[str]()
        began = time.time()
        try:
            asyncio.run(main_job(fleet, seconds, faults, wipe, notes))
        finally:
            codes = fleet.stop_all()
        fleet.collect()
        command = (
            f"python -m bench.fleet run {name}"
            + (" --faults" if faults else " --wipe" if wipe else f" --seconds {seconds:g}")
            + (f" --scale {scale:g}" if scale != 1 else "")
        )
        page = report(fleet, time.time() - began, notes, codes, command, wipe)
        print(page)
        if out:
            Path(out).parent.mkdir(parents=True, exist_ok=True)
            Path(out).write_text(page)
        if keep:
            print(f"logs and data: {root}", file=sys.stderr)
        else:
            shutil.rmtree(root)
        return 1 if breaches(History(fleet.events, Bounds(ramp=plan.manifest["ramp"]), wipe)) else 0

    def up(self, name: str, folder: str = "run") -> int:
        """Starts a deployment and leaves it running until Ctrl-C or SIGTERM.

        Args:
          name: kompressorlab or couriers.
          folder: where logs and data go.
        """
        root = Path(folder).absolute()
        (root / "data").mkdir(parents=True, exist_ok=True)
        fleet = Fleet(DEPLOYMENTS[name], root)

        async def hold() -> None:
            stop = asyncio.Event()
            for sig in (signal.SIGINT, signal.SIGTERM):
                asyncio.get_running_loop().add_signal_handler(sig, stop.set)
            fleet.start_all()
            controls = ",".join(u[7:] for u in fleet.urls("control").values())
            edges = ",".join(u[7:] for u in fleet.urls("edge").values())
            print(f"export POSTPASS_CONTROL={controls}\nexport POSTPASS_EDGE={edges}", flush=True)
            await stop.wait()

        try:
            asyncio.run(hold())
        finally:
            fleet.stop_all()
        return 0


if __name__ == "__main__":
    sys.exit(fire.Fire(Commands(), serialize=lambda got: None if isinstance(got, int) else got))
