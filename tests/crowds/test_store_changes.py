"""Jobs at real processes while stores are added, frozen and restarted; two short runs of the search in `store_changes`."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.crowds.deployment import Deployment
from tests.crowds.store_changes import play


@pytest.fixture
def blank_deployment() -> Iterator[Deployment]:
    """A deployment without any machine."""
    deployment = Deployment()
    yield deployment
    deployment.close()


@pytest.mark.parametrize("seed", [1, 2])
def test_accepted_jobs_are_found_while_stores_change(blank_deployment: Deployment, seed: int) -> None:
    """Guards against accepted jobs that are answered with 404 or 410, and against edges that are ready before the stores."""
    clients = play(blank_deployment, seed)
    assert clients.breaches == []
    assert clients.accepted and clients.reads
