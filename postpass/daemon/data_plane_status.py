"""What operators can see of the data plane's duties: the gauges of the store, and the duties' fields of the status page."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Gauge

from postpass.batch.scheduler import Scheduler
from postpass.gateway.gateway import Gateway
from postpass.replication.partition import Partition
from postpass.replication.store import Store
from postpass.rpc.codec import Body


def owned_partitions(store: Store) -> list[Partition]:
    """Returns the partitions that this store owns now."""
    return [partition for partition in store.partitions.values() if partition.owning]


def unconfirmed_records(store: Store) -> int:
    """Returns how many records of owned partitions are not yet acknowledged as their stability predicate requires."""
    return sum(partition.record_log.last - partition.covered for partition in owned_partitions(store))


def replica_lag(store: Store) -> int:
    """Returns by how many records the slowest replica of an owned partition lags behind the owner."""
    return max(
        (
            partition.record_log.last - partition.acknowledgements.get(name, replica.disk, "persisted")
            for partition in owned_partitions(store)
            for name, replica in partition.mirrors.items()
        ),
        default=0,
    )


def open_jobs(store: Store) -> int:
    """Returns how many jobs of owned partitions are not finished."""
    jobs = (job for partition in owned_partitions(store) for job in partition.view.jobs.values())
    return sum(int(job.state == "open" and not job.complete) for job in jobs)


def register_store_gauges(registry: CollectorRegistry, store: Store) -> None:
    """Registers the gauges of a store; their values are computed when the metrics page is requested."""

    def gauge(name: str, description: str, current_value: Callable[[], float]) -> None:
        Gauge(f"postpass_{name}", description, registry=registry).set_function(current_value)

    gauge("parts_owned", "Partitions owned here", lambda: len(owned_partitions(store)))
    gauge("records_not_covered", "Records of owned partitions beyond the frontier", lambda: unconfirmed_records(store))
    gauge("mirror_lag_records", "How far the furthest mirror is behind", lambda: replica_lag(store))
    gauge(
        "cover_stalled_seconds",
        "For how long the frontier that stands still longest does",
        store.cover_watch.longest_stall,
    )
    gauge("lots_open", "Lots that are not finished", lambda: open_jobs(store))
    gauge(
        "losses",
        "How often more was lost than is tolerated",
        lambda: sum(partition.view.losses for partition in owned_partitions(store)),
    )
    gauge(
        "tape_bytes",
        "Memory of records not yet folded away",
        lambda: sum(partition.record_log.size for partition in store.partitions.values()),
    )
    gauge("disk_free_bytes", "Room left for the data folder", lambda: store.log.disk.space()[0])
    gauge("takeovers", "Partitions taken over since the start", lambda: store.counts["takeovers"])
    gauge("refills", "Snapshots sent to mirrors since the start", lambda: store.counts["refills"])


async def duty_status(store: Store | None, edge: Gateway | None, scheduler: Scheduler | None) -> Body:
    """Returns the fields that the duties add to the status page; a duty that is None adds nothing."""
    status: Body = {}
    if store is not None:
        status["store"] = (await store.on_parts({})).unwrap()
    if edge is not None:
        status["servers"] = worker_status(edge)
        status["unkept"] = {str(number): count for number, count in sorted(edge.unkept_jobs.items())}
    if scheduler is not None:
        status["sched"] = scheduler.status()
    return status


def worker_status(edge: Gateway) -> Body:
    """Returns what an edge knows of each worker, by `pool/name`."""
    return {
        f"{pool}/{name}": {
            "barred": edge.worker_load.barred_reason(pool, name, edge.admission.report_max_age),
            "mine": worker.in_flight.total(),
            "weights": worker.report.weights if worker.report else "",
            "running": worker.report.running if worker.report else 0,
            "waiting": worker.report.waiting if worker.report else 0,
        }
        for (pool, name), worker in sorted(edge.worker_load.workers.items())
    }
