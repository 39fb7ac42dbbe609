"""What daemons are told: confirmed reads, and who runs a version of the configuration."""

from __future__ import annotations

import asyncio

from result import Err, Ok

from postpass import events
from postpass.control.writer import Writer
from postpass.fault import MOVED, SHED, SLOW, Fault
from postpass.manifest import Manifest, shape
from postpass.wire import Body, PeerResponse
from postpass.world import now


class Feed(Writer):
    """Serves followers, confirms reads, and asks who runs a version."""

    async def on_ping(self, body: Body) -> PeerResponse:
        if "entry" in body:
            return Ok({"entry": self.entry(), "blank": self.blank()})
        return await super().on_ping(body)

    async def on_follow(self, body: Body) -> PeerResponse:
        if "who" in body:
            self.spoke[body["who"]] = now()
        return await super().on_follow(body)

    async def in_force(
        self, edition: int, before: Manifest | None, after: Manifest, asked: float, limit: float = 0.0
    ) -> list[str]:
        """Who of the old and the new manifest has neither said that it runs this edition nor is shown not to run.

        A process whose address refuses is not there; one that starts later serves only on fresh news, which are no
        older than this edition, since it was taken before.
        """
        until = asked + (limit or self.conf.bounds.manifest)
        mine = self.news.addr(self.conf.name)
        every = {n: m for man in (before, after) if man for n, m in man["machines"].items()}
        gone = {n for n, m in after["machines"].items() if m.get("gone")}
        waits = {n: m["peer"] for n, m in every.items() if n != self.conf.name and n not in gone}

        if after.get("announced"):
            # Those that send to workers and were heard lately; the others start afresh or are out of touch.
            quiet = now() - self.conf.bounds.detect
            sends = {n for n, m in after["machines"].items() if {"edge", "sched"} & set(m["duties"])}
            waits = {n: a for n, a in waits.items() if n in sends and max(self.spoke.get(n, 0), self.since) > quiet}
        b, peers = self.conf.bounds, dict(waits)

        def word(got: PeerResponse) -> bool:
            """Does this answer settle it: the edition runs there, or nothing does?"""
            if isinstance(got, Err):
                return got.unwrap_err().hint == "refused"
            return bool(got.unwrap().get("refused")) or got.unwrap().get("edition", 0) >= edition

        async def one(name: str, addr: str) -> None:
            turn = 0
            while name in waits and (left := until - now()) > 0:
                if turn % 2 == 0:
                    wait = min(left, b.follow)
                    ask = {"want": edition, "at": mine, "wait": wait * 0.9}
                    done = word(await self.lines.call(addr, "ping", ask, wait))
                else:
                    # The way from here may be cut, and another's not.
                    others = self.world.chance.sample(sorted(n for n in peers if n != name), min(3, len(peers) - 1))
                    ask = {"reach": addr, "want": edition}
                    got = await asyncio.gather(
                        *(self.lines.call(peers[o], "ping", ask, min(left, b.follow)) for o in others)
                    )
                    done = any(g.is_ok() and word(g) for g in got)
                if done:
                    waits.pop(name, None)
                    return
                turn += 1
                await asyncio.sleep(min(left, b.follow / 8))

        await asyncio.gather(*(one(n, a) for n, a in peers.items()))
        events.emit(144, self.conf.name, edition=edition, waits=",".join(sorted(waits)) or "for nobody")
        return sorted(waits)

    async def strangers(self, before: Manifest | None, after: Manifest) -> list[str]:
        """If keys or plug-ins come that were not used before: which daemons say that they don't know them."""
        if before is None or shape(after) <= shape(before):
            return []
        names = [n for n, m in after["machines"].items() if n != self.conf.name and not m.get("gone")]
        got = await asyncio.gather(
            *(
                self.lines.call(after["machines"][n]["peer"], "ping", {"fits": after}, self.conf.bounds.follow)
                for n in names
            )
        )
        return [
            f"machines.{n}: it does not know this manifest: {flaw}"
            for n, g in zip(names, got, strict=True)
            if isinstance(g, Ok)
            for flaw in g.unwrap().get("flaws", [])[:3]
        ]

    async def confirmed(self) -> int:
        """The edition in force, confirmed by a round trip that begins after this call; 0 if that can't be had now.
        Those who ask meanwhile share the next round."""

        async def one_round() -> int:
            async with self.confirmation_lock:
                self.next_confirmation = None
                if self.epoch:
                    # What is being written now counts as well: the round comes after it.
                    async with self.lock:
                        edition = self.held.state.edition
                        return edition if await self.confirm_leadership() else 0
                addr = self.addr(self.leader) if self.leader != self.conf.name else ""
                if not addr:
                    return 0
                got = await self.lines.call(addr, "read", {"brief": 1}, self.conf.bounds.follow)
                if isinstance(got, Err):
                    return 0
                edition = int(got.unwrap()["edition"])
                if edition > self.news.edition:
                    await self.fetch(addr, self.conf.bounds.follow)
                return edition

        if self.next_confirmation is None:
            self.next_confirmation = asyncio.create_task(one_round())
            self.fetches.add(self.next_confirmation)
            self.next_confirmation.add_done_callback(self.fetches.discard)
        return await asyncio.shield(self.next_confirmation)

    async def read_waiting(self, wait: float) -> PeerResponse:
        """For a daemon that starts: held until there is a primary that confirms what is in force."""
        until = now() + min(wait, self.conf.bounds.manifest)
        while True:
            led = self.led_now
            edition = await self.confirmed()
            if edition:
                return Ok({"edition": edition})
            if not await self.wait_for_leader(led, until):
                return Err(Fault("read", self.conf.name, "no primary now; ask again", SHED))

    async def on_read(self, body: Body) -> PeerResponse:
        if "wait" in body:
            return await self.read_waiting(float(body["wait"]))
        if body.get("brief") and self.epoch:
            edition = await self.confirmed()
            if not edition:
                return Err(Fault("read", self.conf.name, "could not be confirmed; ask again", SLOW))
            return Ok({"edition": edition})
        if not self.epoch:
            hint = self.witness.pair.primary if self.witness.pair.primary != self.conf.name else ""
            return Err(Fault("read", self.conf.name, "not the primary", MOVED, hint))
        state = self.held.state
        async with self.lock:
            state = self.held.state
            if not await self.confirm_leadership():
                return Err(Fault("read", self.conf.name, "could not be confirmed; ask again", SLOW))
        if body.get("source"):
            return Ok({"edition": state.edition, "source": state.source, "version": state.man.get("version", 0)})
        return Ok({"edition": state.edition, "manifest": state.manifest, "losses": state.losses})
