"""Tests what the head of a worker's answer proves."""

from __future__ import annotations

import pytest

from postpass.configuration.header_names import Dialect
from postpass.gateway.response_check import NOT_RUN_STATUSES, Proof, ResponseHeaderNames, check_response

NAMES = ResponseHeaderNames.of(Dialect())
ID, SEAL, NOT_RUN = (b"x-call-id", b"c"), (b"x-seal", b"s"), (b"x-not-run", b"1")


def proof(status: int, *headers: tuple[bytes, bytes]) -> Proof:
    return check_response(status, [ID, *headers], NAMES).proof


def test_a_success_needs_the_seal_and_a_plain_body() -> None:
    assert proof(200, SEAL) is Proof.ANSWER and proof(200) is Proof.NONE
    assert proof(200, SEAL, (b"content-encoding", b"gzip")) is Proof.NONE


@pytest.mark.parametrize("status", sorted(NOT_RUN_STATUSES - {421}))
def test_a_rejection_needs_the_header_that_it_did_not_run(status: int) -> None:
    assert proof(status, NOT_RUN) is Proof.NOT_RUN and proof(status) is Proof.NONE


def test_another_worker_and_failures() -> None:
    assert proof(421) is Proof.OTHER_WORKER and proof(404) is Proof.ANSWER
    assert proof(400, NOT_RUN) is Proof.ANSWER and proof(500, SEAL) is Proof.ANSWER
    assert proof(101) is Proof.NONE and proof(700) is Proof.NONE


@pytest.mark.parametrize("headers", [(NOT_RUN,), (NOT_RUN, SEAL)])
def test_a_success_that_did_not_run_is_no_answer(headers: tuple[tuple[bytes, bytes], ...]) -> None:
    assert proof(200, *headers) is Proof.NONE
