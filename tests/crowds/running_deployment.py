"""A deployment that has a configuration in force and a worker."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from tests.crowds.clients import call_as_json
from tests.crowds.deployment import ZONES, Deployment, configuration, wait_until
from tests.crowds.worker import Worker


@contextmanager
def running_deployment() -> Iterator[Deployment]:
    """Control, stores and a worker, with a configuration in force."""
    made = Deployment()
    cores = [made.add("core", zone) for zone in ZONES]
    for machine in cores:
        made.start(machine)
    for zone in ZONES:
        made.add_started("store", zone)
    worker = Worker(made.worker_address(), made.control_addresses())
    worker.start()
    try:
        wait_until(
            lambda: call_as_json(made.control_addresses()[0], "PUT", "/-/config", configuration(), {"If-Match": "0"}).status == 200,
            "the configuration is taken",
        )  # fmt: skip
        made.bootstrap = False
        yield made
    finally:
        worker.stop()
        made.close()
