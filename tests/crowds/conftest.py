"""Fixtures of the crowds' tests: one deployment for all, and a fresh edge for each."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.crowds.clients import call
from tests.crowds.deployment import FRONT_PORT, READY_PORT, Deployment, Machine, wait_until
from tests.crowds.running_deployment import running_deployment


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    for item in items:
        if "tests/crowds/" in str(item.path):
            item.add_marker(pytest.mark.crowd)


@pytest.fixture(scope="module")
def deployment() -> Iterator[Deployment]:
    """Control, stores and a worker, with a configuration in force."""
    with running_deployment() as made:
        yield made


@pytest.fixture
def edge(deployment: Deployment) -> Iterator[Machine]:
    """An edge of its own, which is ready and answers. It is killed after the test."""
    machine = deployment.add_started("edge")
    wait_until(lambda: call(f"{machine.ip}:{READY_PORT}", "GET", "/-/ready").status == 200, "the edge is ready")
    front = f"{machine.ip}:{FRONT_PORT}"
    headers = {"Postpass-Attempt-Id": "first"}
    wait_until(lambda: call(front, "POST", "/live/first", b"first", headers).status == 200, "the edge answers")
    yield machine
    assert machine.process is not None
    machine.process.kill()
    machine.process.wait()
