"""Workers of an announced fleet: how an announcement, an end and a silence change the state.

Pure functions over `State`, called by the primary of control (`postpass.control.registry`). A worker stands either in
the pool that it names or, while the operator has not configured that pool, among `State.unassigned`.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from postpass.configuration.configuration import Configuration, Pool, Server
from postpass.configuration.settings import address_errors
from postpass.membership.registry import State, WorkerAnnouncement, with_parts

MAX_ENDED_WORKERS = 512  # lives of workers that are known to have ended, so that a late message doesn't bring them back


@dataclass(frozen=True)
class AssignedWorker:
    """A worker as the state holds it, with the name of the pool that it asked for."""

    pool: str
    server: Server


def find_worker(state: State, worker: str) -> AssignedWorker | None:
    """The worker of this id, whether or not its pool is configured."""
    for name, pool in state.configuration["pools"].items():
        if worker in pool["servers"]:
            return AssignedWorker(name, pool["servers"][worker])
    groups = state.unassigned.items()
    return next((AssignedWorker(name, group[worker]) for name, group in groups if worker in group), None)


def all_workers(state: State) -> dict[str, Server]:
    """Every worker by its id, those of configured pools first."""
    out: dict[str, Server] = {}
    for group in (*(p["servers"] for p in state.configuration["pools"].values()), *state.unassigned.values()):
        out.update(group)
    return out


def server_of(announcement: WorkerAnnouncement) -> Server:
    """The configuration's record of a worker that announced itself so."""
    made: Server = {"url": announcement["url"], "area": announcement["area"], "slots": announcement["slots"]}
    if announcement.get("leave"):
        made["leave"] = True
    if announcement.get("cold"):
        made["cold"] = True
    return made


def is_current(configuration: Configuration | None, worker: str, announcement: WorkerAnnouncement) -> bool:
    """Does the configuration say of this worker what it says of itself? Then its announcement is a mere heartbeat."""
    pool = configuration["pools"].get(announcement["pool"]) if configuration else None
    present = pool["servers"].get(worker) if pool else None
    return present is not None and present == server_of(announcement)


def announcement_flaws(announcement: WorkerAnnouncement, zones: Sequence[str]) -> list[str]:
    """What the configuration could not take of a worker's announcement, each flaw with its path; with no `zones` the
    worker's zone is not checked, since none is known."""
    url, zone = announcement["url"], announcement["area"]
    out = [] if url.startswith("http://") else [f"url: want http://IP:PORT, got {url!r:.60}"]
    out += address_errors("url", url.removeprefix("http://"))
    if zones and zone not in zones:
        out.append(f"area: unknown area {zone!r:.60}")
    if announcement["slots"] < 1:
        out.append(f"slots: want at least 1, got {announcement['slots']}")
    return out if announcement["pool"] else [*out, "pool: want a name, got an empty string"]


def with_worker(state: State, worker: str, announcement: WorkerAnnouncement) -> State:
    """The state with a worker as it announced itself.

    Cases: a life that has ended stays ended; one that said it leaves goes on leaving; whichever worker had the same
    address before has ended; a worker that names another pool leaves the one it was in.
    """
    if worker in state.ended:
        return state
    present = find_worker(state, worker)
    new = server_of(announcement)
    if present is not None and present.server.get("leave"):
        new["leave"] = True
    if present == AssignedWorker(announcement["pool"], new):
        return state
    earlier = [w for w, server in all_workers(state).items() if server["url"] == new["url"] and w != worker]
    if earlier:
        state = _remember_ended(_without(state, earlier), earlier)
    if present is not None and present.pool != announcement["pool"]:
        state = _without(state, [worker])
    return _assigned(state, worker, announcement["pool"], new)


def without_ended(state: State, workers: Iterable[str]) -> State:
    """The state without workers that said they end: whatever comes of them later is late."""
    workers = list(workers)
    return _remember_ended(_without(state, workers), workers)


def without_silent(state: State, workers: Iterable[str]) -> State:
    """The state without workers that are not heard any more; one that was leaving doesn't come back, any other may."""
    workers = list(workers)
    every = all_workers(state)
    leaving = [w for w in workers if w in every and every[w].get("leave")]
    return _remember_ended(_without(state, workers), leaving)


def _assigned(state: State, worker: str, pool_name: str, server: Server) -> State:
    """The state with a worker put in its pool, or among the unassigned ones if the pool is not configured."""
    pools = state.configuration["pools"]
    if pool_name in pools:
        pool = pools[pool_name]
        made: Pool = {**pool, "servers": {**pool["servers"], worker: server}}
        return with_parts(state, pools={**pools, pool_name: made})
    group = {**state.unassigned.get(pool_name, {}), worker: server}
    return replace(state, unassigned={**state.unassigned, pool_name: group})


def _without(state: State, workers: Iterable[str]) -> State:
    """The state with these workers taken out of all pools; the very state if it holds none of them."""
    removed = set(workers)
    for name, pool in state.configuration["pools"].items():
        if removed & set(pool["servers"]):
            rest: Pool = {**pool, "servers": {w: s for w, s in pool["servers"].items() if w not in removed}}
            state = with_parts(state, pools={**state.configuration["pools"], name: rest})
    if any(removed & set(group) for group in state.unassigned.values()):
        groups = {name: {w: s for w, s in g.items() if w not in removed} for name, g in state.unassigned.items()}
        state = replace(state, unassigned={name: group for name, group in groups.items() if group})
    return state


def _remember_ended(state: State, workers: Iterable[str]) -> State:
    """The state that knows these lives as ended; the oldest are forgotten beyond `MAX_ENDED_WORKERS`."""
    new = [w for w in workers if w not in state.ended]
    return replace(state, ended=[*state.ended, *new][-MAX_ENDED_WORKERS:]) if new else state
