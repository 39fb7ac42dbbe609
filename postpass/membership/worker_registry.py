"""Workers of an announced fleet: how the state changes when a worker announces itself, ends, or falls silent.

Pure functions of `State`, used by the primary of control (`postpass.control.registry`). A worker is either in the pool that it
names or, as long as the operator has not configured that pool, in `State.unassigned`.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from postpass.configuration.configuration import Configuration, Pool, Server
from postpass.configuration.settings import address_errors
from postpass.membership.registry import State, WorkerAnnouncement, with_parts

MAX_ENDED_WORKERS = 512  # number of ended workers that are remembered, so that a late message doesn't add them again


@dataclass(frozen=True)
class AssignedWorker:
    """A worker's record in the state, with the name of the pool that the worker asked for."""

    pool: str
    server: Server


def find_worker(state: State, worker: str) -> AssignedWorker | None:
    """Returns the worker with this id, whether or not its pool is configured; None if there is none."""
    for name, pool in state.configuration["pools"].items():
        if worker in pool["servers"]:
            return AssignedWorker(name, pool["servers"][worker])
    groups = state.unassigned.items()
    return next((AssignedWorker(name, group[worker]) for name, group in groups if worker in group), None)


def all_workers(state: State) -> dict[str, Server]:
    """Returns all workers by their ids, those of configured pools first."""
    workers: dict[str, Server] = {}
    for group in (*(p["servers"] for p in state.configuration["pools"].values()), *state.unassigned.values()):
        workers.update(group)
    return workers


def server_of(announcement: WorkerAnnouncement) -> Server:
    """Returns the configuration's record of a worker with this announcement."""
    server: Server = {"url": announcement["url"], "area": announcement["area"], "slots": announcement["slots"]}
    if announcement.get("leave"):
        server["leave"] = True
    if announcement.get("cold"):
        server["cold"] = True
    return server


def is_current(configuration: Configuration | None, worker: str, announcement: WorkerAnnouncement) -> bool:
    """Returns whether the configuration contains the worker exactly as announced.

    In that case the announcement is only a heartbeat and changes nothing.
    """
    pool = configuration["pools"].get(announcement["pool"]) if configuration else None
    present = pool["servers"].get(worker) if pool else None
    return present is not None and present == server_of(announcement)


def announcement_errors(announcement: WorkerAnnouncement, zones: Sequence[str]) -> list[str]:
    """Returns what is wrong with a worker's announcement, one line for each error with its path.

    If `zones` is empty, no zone is known yet and the worker's zone is not checked.
    """
    url, zone = announcement["url"], announcement["area"]
    errors = [] if url.startswith("http://") else [f"url: want http://IP:PORT, got {url!r:.60}"]
    errors += address_errors("url", url.removeprefix("http://"))
    if zones and zone not in zones:
        errors.append(f"area: unknown area {zone!r:.60}")
    if announcement["slots"] < 1:
        errors.append(f"slots: want at least 1, got {announcement['slots']}")
    return errors if announcement["pool"] else [*errors, "pool: want a name, got an empty string"]


def with_worker(state: State, worker: str, announcement: WorkerAnnouncement) -> State:
    """Returns the state with a worker as it announced itself.

    An id that has ended stays ended; a worker that announced that it leaves goes on leaving; a worker that names another
    pool is removed from its former one. A worker that has the same address is removed. If it still runs, because this
    announcement came late, it is added again by its next heartbeat; but one that was leaving can't be.
    """
    if worker in state.ended:
        return state
    present = find_worker(state, worker)
    new = server_of(announcement)
    if present is not None and present.server.get("leave"):
        new["leave"] = True
    if present == AssignedWorker(announcement["pool"], new):
        return state
    others = workers_at(state, new["url"], worker)
    if others:
        state = without_silent(state, others)
    if present is not None and present.pool != announcement["pool"]:
        state = _without(state, [worker])
    return _with_assigned(state, worker, announcement["pool"], new)


def workers_at(state: State, url: str, worker: str) -> list[str]:
    """Returns the workers with this address, without the given one."""
    return [name for name, server in all_workers(state).items() if server["url"] == url and name != worker]


def without_ended(state: State, workers: Iterable[str]) -> State:
    """Returns the state without workers that announced their end; messages of them that arrive later are ignored."""
    workers = list(workers)
    return _remember_ended(_without(state, workers), workers)


def without_silent(state: State, workers: Iterable[str]) -> State:
    """Returns the state without silent workers; one that was leaving can't be added again, any other can."""
    workers = list(workers)
    workers_by_id = all_workers(state)
    leaving = [w for w in workers if w in workers_by_id and workers_by_id[w].get("leave")]
    return _remember_ended(_without(state, workers), leaving)


def _with_assigned(state: State, worker: str, pool_name: str, server: Server) -> State:
    """Returns the state with a worker added to its pool, or to the unassigned ones if the pool is not configured."""
    pools = state.configuration["pools"]
    if pool_name in pools:
        pool = pools[pool_name]
        updated_pool: Pool = {**pool, "servers": {**pool["servers"], worker: server}}
        return with_parts(state, pools={**pools, pool_name: updated_pool})
    group = {**state.unassigned.get(pool_name, {}), worker: server}
    return replace(state, unassigned={**state.unassigned, pool_name: group})


def _without(state: State, workers: Iterable[str]) -> State:
    """Returns the state without these workers in any pool; the same object if it contains none of them."""
    removed = set(workers)
    for name, pool in state.configuration["pools"].items():
        if removed & set(pool["servers"]):
            remaining_pool: Pool = {**pool, "servers": {w: s for w, s in pool["servers"].items() if w not in removed}}
            state = with_parts(state, pools={**state.configuration["pools"], name: remaining_pool})
    if any(removed & set(group) for group in state.unassigned.values()):
        groups = {name: {w: s for w, s in g.items() if w not in removed} for name, g in state.unassigned.items()}
        state = replace(state, unassigned={name: group for name, group in groups.items() if group})
    return state


def _remember_ended(state: State, workers: Iterable[str]) -> State:
    """Returns the state in which these workers are recorded as ended; at most `MAX_ENDED_WORKERS`, the newest, are kept."""
    new = [w for w in workers if w not in state.ended]
    return replace(state, ended=[*state.ended, *new][-MAX_ENDED_WORKERS:]) if new else state
