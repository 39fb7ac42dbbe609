"""A crowd beside another one, beside restarts, and before the end of a process. Numbers and sizes are fixed."""

from __future__ import annotations

import signal
import threading

import pytest

from tests.crowds.clients import run_crowd
from tests.crowds.deployment import Deployment, Machine
from tests.crowds.judgement import assert_serves, assert_within_limits
from tests.crowds.soak import END_LIMIT_S, KINDS, close_all, crowd_of, restart, soak

SEEDS = (1, 2, 3)


def test_a_process_ends_in_time_while_a_crowd_stays(edge: Machine) -> None:
    members = [member for kind in KINDS for member in crowd_of(edge, kind, count=10)]
    try:
        run_crowd(members)
        assert_within_limits(edge)
        assert edge.process is not None
        edge.process.send_signal(signal.SIGTERM)
        assert edge.process.wait(END_LIMIT_S) == 0, edge.log()[-2000:]
    finally:
        close_all(members)


def test_two_crowds_at_once(edge: Machine) -> None:
    members = crowd_of(edge, "bodies", "/jobs/crowd") + crowd_of(edge, "chunks")
    try:
        run_crowd(members)
        assert_serves(edge)
    finally:
        close_all(members)
    assert_serves(edge)


def test_a_crowd_beside_the_restart_of_a_store(deployment: Deployment, edge: Machine) -> None:
    members = crowd_of(edge, "bodies", "/jobs/crowd")
    sending = threading.Thread(target=run_crowd, args=(members,))
    try:
        sending.start()
        restart(deployment, deployment.of("store")[0], signal.SIGTERM)
        sending.join()
        assert_serves(edge)
    finally:
        close_all(members)
    assert_serves(edge)


@pytest.mark.parametrize("seed", SEEDS)
def test_crowds_restarts_and_signals_in_series(deployment: Deployment, seed: int) -> None:
    soak(deployment, seed)
